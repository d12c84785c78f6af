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
  std::string text();
  double number() { return std::stod(text()); }
  // Returns the next argument as a number, or std::nullopt if there is no further argument.
  std::optional<double> optional_number();
  std::size_t count() { return std::stoul(text()); }
  // Reads a controller's name (n0, n1, ...) and returns the controller's index.
  std::size_t controller() { return std::stoul(text().substr(1)); }
  // Reads the next argument and returns whether it is this word.
  bool is(const std::string& word) { return text() == word; }
  // Returns the rest of the line, with the space before it.
  std::string rest();
  // Returns the remaining arguments, which have the form key=value. A key alone gets the value 1.
  std::map<std::string, std::string> options();

 private:
  std::istringstream in_;
  std::string command_;
};

}  // namespace saddleslip::testing
