// Replies to requests that fail.
#pragma once

#include <string>

#include "protocol/messages.h"
#include "transport/http.h"

namespace saddleslip {

// `retry_after_s`: seconds for the header Retry-After; zero: without it.
inline transport::Reply error_reply(int status, const std::string& reason, int retry_after_s = 0) {
  return {status, protocol::error_body(reason), retry_after_s};
}

}  // namespace saddleslip
