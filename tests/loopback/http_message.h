// Splits a byte stream into HTTP/1.1 messages with a Content-Length.
#pragma once

#include <optional>
#include <string>

namespace saddleslip::testing {

// An HTTP request or response.
struct HttpMessage {
  std::string first_line;  // the request line or the status line
  std::string body;
  bool closes_connection = false;  // "Connection: close"

  // Returns the status of a response, or 0 if the message is not a response.
  int status() const;
};

// Removes the first complete message from the buffer and returns it, or nothing if none is
// complete.
std::optional<HttpMessage> take_message(std::string& buffer);

// Returns a POST request with a JSON body.
std::string encode_post(const std::string& path, const std::string& body);
// Returns a response with a JSON body.
std::string encode_response(int status, const std::string& body);

}  // namespace saddleslip::testing
