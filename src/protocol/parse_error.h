// Why a message was not accepted.
#pragma once

#include <string>

namespace saddleslip::protocol {

// The first fault that was found in a message.
struct ParseError {
  std::string field;   // the wire name of the field; empty: the message as a whole
  std::string reason;  // what is wrong with it, e.g. "must be a number in range"

  // One line, as users see it.
  std::string message() const { return field.empty() ? reason : field + " " + reason; }
};

}  // namespace saddleslip::protocol
