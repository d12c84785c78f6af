// The reason why a message was rejected as malformed.
#pragma once

#include <string>

namespace saddleslip::protocol {

// The first error found in a message.
struct ParseError {
  std::string field;   // the field's name in the message; empty: the whole message
  std::string reason;  // the requirement that is not met, e.g. "must be a number in range"

  // Returns the error message that is sent to users, on one line.
  std::string message() const { return field.empty() ? reason : field + " " + reason; }
};

}  // namespace saddleslip::protocol
