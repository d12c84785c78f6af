// Network addresses of the form host:port.
#pragma once

#include <string>

namespace saddleslip::base {

// A host and a TCP port.
struct Address {
  std::string host;
  int port = 0;
  // Returns the address as "host:port".
  std::string str() const { return host + ":" + std::to_string(port); }
};

// Parses an address such as "10.0.0.1:8080". If it is malformed, throws BadSettings for the
// settings field `field`.
Address parse_address(const std::string& text, const std::string& field);

}  // namespace saddleslip::base
