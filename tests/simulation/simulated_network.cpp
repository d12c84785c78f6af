#include "simulation/simulated_network.h"

namespace saddleslip::testing {

std::string controller_name(std::size_t controller) {
  std::string name("n");
  name += std::to_string(controller);
  return name;
}

bool SimulatedNetwork::is_cut(const std::string& first, const std::string& second) const {
  return cuts_.contains({first, second}) || cuts_.contains({second, first});
}

}  // namespace saddleslip::testing
