// Addresses of sockets on the loopback interface.
#pragma once

#include <netinet/in.h>

#include <cstdint>

namespace saddleslip::testing {

inline sockaddr_in loopback_address(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

}  // namespace saddleslip::testing
