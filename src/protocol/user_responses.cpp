#include "protocol/user_responses.h"

#include <array>

#include "protocol/wire_fields.h"

namespace saddleslip::protocol {

namespace {

// Names in response bodies, in the order of JobStatus. A cancelled job is called withdrawn there.
constexpr std::array<const char*, 4> kStatusNames = {"queued", "running", "done", "withdrawn"};

}  // namespace

std::string user_status(const JobId& id, JobStatus status, std::optional<TaskNumber> done,
                        std::optional<TaskNumber> running) {
  Json json = {{wire::kId, id.get()}, {"status", kStatusNames[static_cast<std::size_t>(status)]}};
  if (done) json["done"] = *done;
  if (running) json["running"] = *running;
  return json.dump();
}

std::string error_body(const std::string& reason) {
  return Json{{"error", reason}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace saddleslip::protocol
