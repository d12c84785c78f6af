// Replies to requests that fail.
#pragma once

#include <string>

#include "protocol/messages.h"
#include "transport/http.h"

namespace saddleslip {

// Returns a reply with the given HTTP status and an error body that states the reason. A positive
// `retry_after_s` is sent in the Retry-After header, in seconds; 0 omits the header.
inline transport::Reply error_reply(int status, const std::string& reason, int retry_after_s = 0) {
  return {status, protocol::error_body(reason), retry_after_s};
}

}  // namespace saddleslip
