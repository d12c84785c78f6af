// HTTP requests and replies as the layers above the transport see them: JSON bodies, and no headers
// except Retry-After.
#pragma once

#include <string>

namespace saddleslip::transport {

// A request that a server received.
struct Request {
  std::string method;  // in upper case, such as "GET"
  std::string path;    // without the query string
  std::string body;    // empty if the request has none
};

// The reply of a handler to a request.
struct Reply {
  int status = 200;       // an HTTP status code
  std::string body;       // JSON
  int retry_after_s = 0;  // the value of the Retry-After header; 0 omits the header
};

}  // namespace saddleslip::transport
