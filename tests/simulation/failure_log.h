// What went wrong in a scenario: broken rules and expectations that were not met.
#pragma once

#include <string>
#include <vector>

#include "simulation/simulated_clock.h"

namespace saddleslip::testing {

class FailureLog {
 public:
  explicit FailureLog(const SimulatedClock& clock) : clock_(clock) {}

  // Records a failure with the simulated time.
  void add(const std::string& what);
  // Says which line of the scenario was played when the failures were found.
  void add_position(int line_number, const std::string& line);
  bool empty() const { return lines_.empty(); }
  const std::vector<std::string>& lines() const { return lines_; }

 private:
  const SimulatedClock& clock_;
  std::vector<std::string> lines_;
};

}  // namespace saddleslip::testing
