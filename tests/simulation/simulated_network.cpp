#include "simulation/simulated_network.h"

namespace saddleslip::testing {

std::string controller_name(std::size_t controller) {
  std::string name("n");
  name += std::to_string(controller);
  return name;
}

bool SimulatedNetwork::is_cut(const std::string& a, const std::string& b) const {
  return cuts_.contains({a, b}) || cuts_.contains({b, a});
}

}  // namespace saddleslip::testing
