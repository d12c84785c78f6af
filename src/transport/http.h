// What the layers above see of HTTP.
#pragma once

#include <map>
#include <optional>
#include <string>

namespace saddleslip::transport {

struct Request {
  std::string method;
  std::string path;
  std::string body;
};

struct Reply {
  int status = 200;
  std::string body;
  int retry_after_s = 0;  // 0: no such header
};

}  // namespace saddleslip::transport
