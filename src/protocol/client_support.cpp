#include "protocol/client_support.h"

#include "base/log.h"

namespace saddleslip::protocol {

Json parse_object(const transport::Answer& answer) {
  Json object = Json::parse(answer.body, nullptr, false);
  if (object.is_object()) return object;
  spdlog::warn("garbled answer with status {} ({} bytes)", answer.status, answer.body.size());
  return Json();
}

bool has_list(const Json& object, const char* field) {
  return object.is_object() && object.contains(field) && object.at(field).is_array();
}

}  // namespace saddleslip::protocol
