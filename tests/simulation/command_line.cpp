#include "simulation/command_line.h"

namespace saddleslip::testing {

std::string CommandLine::next_text() {
  std::string word;
  in_ >> word;
  return word;
}

std::optional<double> CommandLine::next_optional_number() {
  const std::string word = next_text();
  if (word.empty()) return std::nullopt;
  return std::stod(word);
}

std::string CommandLine::remaining_text() {
  std::string line;
  std::getline(in_, line);
  return line;
}

std::map<std::string, std::string> CommandLine::remaining_options() {
  std::map<std::string, std::string> out;
  for (std::string word = next_text(); !word.empty(); word = next_text()) {
    const auto equals = word.find('=');
    out[word.substr(0, equals)] = equals == std::string::npos ? "1" : word.substr(equals + 1);
  }
  return out;
}

}  // namespace saddleslip::testing
