// What the clients of this folder share.
#pragma once

#include <cstddef>

#include "protocol/base_types.h"
#include "transport/http_client.h"

namespace saddleslip::protocol {

// Answers that are larger are not read.
inline constexpr std::size_t kMaxAnswerBytes = 8u << 20;
// Items on a page of a list.
inline constexpr const char* kPageSize = "500";

// The JSON object in an answer; null, with a warning in the log, if there is none.
Json parse_object(const transport::Answer& answer);

// True if `object` holds a list in that field.
bool has_list(const Json& object, const char* field);

}  // namespace saddleslip::protocol
