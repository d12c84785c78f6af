// HTTP messages as the layers above see them: JSON bodies, and no headers but one.
#pragma once

#include <string>

namespace saddleslip::transport {

// A request that a server received.
struct Request {
  std::string method;  // in capitals, such as "GET"
  std::string path;    // without the query
  std::string body;    // empty: none was sent
};

// What a handler answers to a request.
struct Reply {
  int status = 200;  // an HTTP status code
  std::string body;
  int retry_after_s = 0;  // the Retry-After header, in seconds; 0: no such header
};

}  // namespace saddleslip::transport
