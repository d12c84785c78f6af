// A line of a scenario, split into a command and its arguments.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <sstream>
#include <string>

namespace saddleslip::testing {

// Reads a command's arguments from left to right. Functions that read a number throw
// std::invalid_argument if the next argument is missing or not a number.
class CommandLine {
 public:
  explicit CommandLine(const std::string& text) : in_(text) { in_ >> command_; }

  const std::string& command() const { return command_; }
  // Returns the next argument, or an empty string if there is none.
  std::string next_text();
  double next_number() { return std::stod(next_text()); }
  // Returns the next argument as a number, or std::nullopt if there is no further argument.
  std::optional<double> next_optional_number();
  std::size_t next_count() { return std::stoul(next_text()); }
  // Reads a controller's name (n0, n1, ...) and returns the controller's index.
  std::size_t next_controller() { return std::stoul(next_text().substr(1)); }
  // Reads the next argument and returns whether it is this word.
  bool next_is(const std::string& word) { return next_text() == word; }
  // Returns the rest of the line, with the space before it.
  std::string remaining_text();
  // Returns the remaining arguments, which have the form key=value. A key alone gets the value 1.
  std::map<std::string, std::string> remaining_options();

 private:
  std::istringstream in_;
  std::string command_;
};

}  // namespace saddleslip::testing
