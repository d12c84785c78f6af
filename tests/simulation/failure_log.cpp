#include "simulation/failure_log.h"

#include <sstream>

namespace saddleslip::testing {

void FailureLog::add(const std::string& failure) {
  std::ostringstream out;
  out.precision(4);
  out << "at " << clock_.seconds() << ": " << failure;
  lines_.push_back(out.str());
}

void FailureLog::add_scenario_line(int line_number, const std::string& line) {
  lines_.push_back("in line " + std::to_string(line_number) + ": " + line);
}

}  // namespace saddleslip::testing
