// Limits and JSON helpers shared by the HTTP clients of the cloud and the state service.
#pragma once

#include <cstddef>

#include "protocol/base_types.h"
#include "transport/http_client.h"

namespace saddleslip::protocol {

// The largest response body that a client reads when it lists items.
inline constexpr std::size_t kMaxResponseBytes = 8u << 20;
// The number of items per page when a client lists items, as a query parameter.
inline constexpr const char* kPageSize = "500";

// Parses the response body as a JSON object. If it is not one, logs a warning and returns JSON
// null.
Json parse_object(const transport::HttpResult& response);

// Returns whether `object` is a JSON object whose field `field` is an array.
bool has_array(const Json& object, const char* field);

}  // namespace saddleslip::protocol
