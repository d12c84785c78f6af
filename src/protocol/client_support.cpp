#include "protocol/client_support.h"

#include "base/log.h"

namespace saddleslip::protocol {

Json parse_object(const transport::HttpResult& response) {
  Json object = Json::parse(response.body, nullptr, false);
  if (object.is_object()) return object;
  spdlog::warn("response is not a JSON object: status={} bytes={}", response.status,
               response.body.size());
  return Json();
}

bool has_array(const Json& object, const char* field) {
  return object.is_object() && object.contains(field) && object.at(field).is_array();
}

}  // namespace saddleslip::protocol
