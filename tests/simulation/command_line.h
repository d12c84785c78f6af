// One line of a scenario: a command and its arguments.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <sstream>
#include <string>

namespace saddleslip::testing {

// Reads the arguments from left to right. Numbers throw std::invalid_argument if there is none.
class CommandLine {
 public:
  explicit CommandLine(const std::string& text) : in_(text) { in_ >> command_; }

  const std::string& command() const { return command_; }
  // The next argument; empty: there is none.
  std::string text();
  double number() { return std::stod(text()); }
  // None: there is no further argument.
  std::optional<double> optional_number();
  std::size_t count() { return std::stoul(text()); }
  // A controller's number, from its name: n0, n1, ...
  std::size_t controller() { return std::stoul(text().substr(1)); }
  // Is the next argument this word?
  bool is(const std::string& word) { return text() == word; }
  // All that is left, with the space before it.
  std::string rest();
  // All that is left, as key=value; a key alone has the value 1.
  std::map<std::string, std::string> options();

 private:
  std::istringstream in_;
  std::string command_;
};

}  // namespace saddleslip::testing
