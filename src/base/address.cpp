#include "base/address.h"

#include <algorithm>

#include "base/settings_error.h"

namespace saddleslip::base {

namespace {

constexpr std::size_t kMaxPortDigits = 5;
constexpr int kMaxPort = 65535;

bool is_port(const std::string& text) {
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  if (text.empty() || text.size() > kMaxPortDigits) return false;
  if (!std::all_of(text.begin(), text.end(), is_digit)) return false;
  const int port = std::stoi(text);
  return port >= 1 && port <= kMaxPort;
}

}  // namespace

Address parse_address(const std::string& text, const std::string& field) {
  const auto colon = text.rfind(':');
  if (colon != std::string::npos && colon > 0) {
    const std::string port = text.substr(colon + 1);
    if (is_port(port)) return {text.substr(0, colon), std::stoi(port)};
  }
  throw BadSettings(SettingsFile::kPlatform, field,
                    "must have the form host:port, but is '" + text + "'");
}

}  // namespace saddleslip::base
