// A trace of a scenario's events, which allows comparing the decisions of two versions line by
// line.
#pragma once

#include <fstream>
#include <string>

namespace saddleslip::testing {

// Writes one event per line with its simulated time. Writes nothing until the trace is opened.
class ScenarioTrace {
 public:
  // Opens `<$SADDLESLIP_TRACE_DIR>/<scenario>.txt`. Does nothing if the variable is not set.
  void open(const std::string& scenario);
  bool is_open() const { return out_.is_open(); }
  // Writes an event's time and fields, separated by spaces.
  template <class... Fields>
  void write(double seconds, const Fields&... fields) {
    if (!out_.is_open()) return;
    out_ << seconds;
    ((out_ << ' ' << fields), ...);
    out_ << '\n';
  }
  // Writes an event with the length and the hash of a text that is too long for the trace.
  void write_digest(double seconds, const std::string& event, const std::string& text);

 private:
  std::ofstream out_;
};

}  // namespace saddleslip::testing
