// The log of a scenario's failures: violated protocol rules and unmet expectations.
#pragma once

#include <string>
#include <vector>

#include "simulation/simulated_clock.h"

namespace saddleslip::testing {

// Collects failure messages, each with the simulated time at which it was recorded.
class FailureLog {
 public:
  explicit FailureLog(const SimulatedClock& clock) : clock_(clock) {}

  // Records a failure together with the current simulated time.
  void add(const std::string& failure);
  // Records the scenario line that was being played when the failures were found.
  void add_scenario_line(int line_number, const std::string& line);
  bool empty() const { return lines_.empty(); }
  const std::vector<std::string>& lines() const { return lines_; }

 private:
  const SimulatedClock& clock_;
  std::vector<std::string> lines_;
};

}  // namespace saddleslip::testing
