// Network addresses.
#pragma once

#include <string>

namespace saddleslip::base {

struct Address {
  std::string host;
  int port = 0;
  std::string str() const { return host + ":" + std::to_string(port); }
};

// Parses e.g. "10.0.0.1:8080". Throws BadSettings, which names `field`.
Address parse_address(const std::string& text, const std::string& field);

}  // namespace saddleslip::base
