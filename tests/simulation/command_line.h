// One line of a scenario: a command and its words.
#pragma once

#include <map>
#include <sstream>
#include <string>

namespace saddleslip::testing {

class CommandLine {
 public:
  explicit CommandLine(const std::string& text) : in_(text) { in_ >> word_; }

  const std::string& word() const { return word_; }
  // The next word; empty: there is none.
  std::string text() {
    std::string s;
    in_ >> s;
    return s;
  }
  double number() { return std::stod(text()); }
  std::size_t count() { return std::stoul(text()); }
  // A controller's number, from its name: n0, n1, ...
  std::size_t node() { return std::stoul(text().substr(1)); }
  // All that is left, with the space before it.
  std::string rest() {
    std::string s;
    std::getline(in_, s);
    return s;
  }
  // All that is left, as key=value; a key alone has the value 1.
  std::map<std::string, std::string> options() {
    std::map<std::string, std::string> out;
    for (std::string s = text(); !s.empty(); s = text()) {
      const auto eq = s.find('=');
      out[s.substr(0, eq)] = eq == std::string::npos ? "1" : s.substr(eq + 1);
    }
    return out;
  }

 private:
  std::istringstream in_;
  std::string word_;
};

}  // namespace saddleslip::testing
