// A log of what a scenario played, to compare two versions of the decisions line by line.
#pragma once

#include <fstream>
#include <string>

namespace saddleslip::testing {

// Writes one event a line with its simulated time. Does nothing until it is opened.
class ScenarioTrace {
 public:
  // Writes to `<$SADDLESLIP_TRACE_DIR>/<scenario>.txt`; does nothing if the variable is not set.
  void open(const std::string& scenario);
  bool is_open() const { return out_.is_open(); }
  // The parts are separated by spaces.
  template <class... Partitions>
  void write(double at, const Partitions&... partitions) {
    if (!out_.is_open()) return;
    out_ << at;
    ((out_ << ' ' << partitions), ...);
    out_ << '\n';
  }
  // For long texts: their length and a hash of them.
  void write_digest(double at, const std::string& event, const std::string& text);

 private:
  std::ofstream out_;
};

}  // namespace saddleslip::testing
