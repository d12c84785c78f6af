#include "simulation/command_line.h"

namespace saddleslip::testing {

std::string CommandLine::text() {
  std::string word;
  in_ >> word;
  return word;
}

std::optional<double> CommandLine::optional_number() {
  const std::string word = text();
  if (word.empty()) return std::nullopt;
  return std::stod(word);
}

std::string CommandLine::rest() {
  std::string line;
  std::getline(in_, line);
  return line;
}

std::map<std::string, std::string> CommandLine::options() {
  std::map<std::string, std::string> out;
  for (std::string word = text(); !word.empty(); word = text()) {
    const auto equals = word.find('=');
    out[word.substr(0, equals)] = equals == std::string::npos ? "1" : word.substr(equals + 1);
  }
  return out;
}

}  // namespace saddleslip::testing
