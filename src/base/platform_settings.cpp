// Parses the platform's settings file (JSON) and checks each field.
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "base/settings.h"

namespace saddleslip::base {

using Json = nlohmann::json;

namespace {

// The default upper bound of a member's authority lease, as a share of a worker's lease. It leaves
// other members enough time to take over the member's machines before their leases expire.
constexpr double kDefaultMaxTtlShare = 0.45;

[[noreturn]] void throw_settings_error(const std::string& field, const std::string& reason) {
  throw BadSettings(SettingsFile::kPlatform, field, reason);
}

// A JSON object in the settings file. Its functions read and check one field each, and throw
// BadSettings with the field's path from the root if the value is invalid. Keeps a reference to the
// JSON object.
class ObjectReader {
 public:
  ObjectReader(const Json& object, std::string path) : object_(object), path_(std::move(path)) {}

  // Returns whether the field exists, whatever its type.
  bool has(const char* field) const { return object_.is_object() && object_.contains(field); }
  // Returns whether the field exists and is an array.
  bool has_array(const char* field) const { return has(field) && object_.at(field).is_array(); }

  // Returns a field that must exist.
  const Json& required(const char* field) const {
    if (!has(field)) throw_settings_error(path_ + field, "is missing");
    return object_.at(field);
  }

  // Returns an array, or an empty one if the field is missing. If `allow_null`, null is treated as
  // missing.
  const Json& array(const char* field, bool allow_null) const {
    static const Json kEmpty = Json::array();
    if (!has(field) || (allow_null && object_.at(field).is_null())) return kEmpty;
    if (!object_.at(field).is_array()) throw_settings_error(path_ + field, "must be an array");
    return object_.at(field);
  }

  // Returns a string that must exist and not be empty.
  std::string text(const char* field) const {
    const Json& value = required(field);
    if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
      throw_settings_error(path_ + field, "must be a non-empty string");
    }
    return value.get<std::string>();
  }
  // Returns a string that must not be empty if it exists, or "" if the field is missing.
  std::string text_or_empty(const char* field) const { return has(field) ? text(field) : ""; }

  // Returns a number of at least `min`, or `fallback` if the field is missing or null.
  double number(const char* field, double fallback, double min = 0.0) const {
    if (!has(field) || object_.at(field).is_null()) return fallback;
    const Json& value = object_.at(field);
    if (!value.is_number() || !std::isfinite(value.get<double>()) || value.get<double>() < min) {
      throw_settings_error(path_ + field, "must be a number of at least " + Json(min).dump());
    }
    return value.get<double>();
  }

  // Returns an address that must exist.
  Address address(const char* field) const { return parse_address(text(field), path_ + field); }

  // Returns a nested object, or an empty one if the field is missing or null. If it has another
  // type, the error names the field `shown_as`.
  ObjectReader nested_object(const char* field, const std::string& shown_as) const {
    static const Json kEmpty = Json::object();
    const std::string path = path_ + field + ".";
    if (!object_.contains(field) || object_.at(field).is_null()) return {kEmpty, path};
    if (!object_.at(field).is_object()) throw_settings_error(shown_as, "must be an object");
    return {object_.at(field), path};
  }

 private:
  const Json& object_;
  std::string path_;  // the prefix of field paths; empty or ends with a dot
};

// Reads this member's name, zone and addresses, and those of its peers.
void read_controllers(const ObjectReader& root, Settings& settings) {
  settings.member = MemberId(root.text("member"));
  settings.zone = root.text_or_empty("area");
  settings.listen = root.address("serve_on");
  settings.peer_listen = root.address("peer_listen");
  for (const Json& entry : root.array("siblings", true)) {
    const ObjectReader peer(entry, "siblings.");
    settings.peers.push_back(
        {MemberId(peer.text("member")), peer.text_or_empty("area"), peer.address("address")});
    if (settings.peers.back().member == settings.member)
      throw_settings_error("siblings", "must not contain this member");
  }
  settings.controller_zones.insert(settings.zone);
  for (const Peer& peer : settings.peers) settings.controller_zones.insert(peer.zone);
}

// Reads the addresses of the cloud and the state service.
void read_endpoints(const ObjectReader& root, Settings& settings) {
  const ObjectReader endpoints(root.required("endpoints"), "endpoints.");
  settings.cloud = endpoints.address("cloud");
  settings.state = endpoints.address("state");
}

// Reads the zones of the platform.
void read_zones(const ObjectReader& settings_object, Settings& settings) {
  if (!settings_object.has_array("zones")) return;
  for (const Json& zone : settings_object.required("zones")) {
    if (!zone.is_string()) throw_settings_error("settings.zones", "must contain only strings");
    settings.zones.push_back(zone.get<std::string>());
  }
}

// Reads the teams and their quotas.
void read_teams(const ObjectReader& settings_object, Settings& settings) {
  for (const Json& entry : settings_object.array("teams", false)) {
    const ObjectReader fields(entry, "settings.teams.");
    Team team;
    team.guaranteed_cores = fields.number("cpus", 0);
    team.max_cores = fields.number("cpus_max", 0);
    team.guaranteed_gpus = fields.number("gpus", 0);
    team.max_gpus = fields.number("gpus_max", 0);
    if (!settings.teams.emplace(fields.text("name"), team).second) {
      throw_settings_error("", "settings.teams has two teams of the same name");
    }
  }
}

// Returns the kind of this name, or kOther if the name is unknown.
ObjectiveKind parse_objective_kind(const std::string& name) {
  if (name == "wait") return ObjectiveKind::kWait;
  if (name == "deadline") return ObjectiveKind::kDeadline;
  if (name == "finished") return ObjectiveKind::kFinished;
  return ObjectiveKind::kOther;
}

// Reads the service-level objectives. Ignores entries that are not objects, since a later version
// of the platform may write other kinds differently.
void read_objectives(const ObjectReader& settings_object, Settings& settings) {
  if (!settings_object.has_array("objectives")) return;
  for (const Json& entry : settings_object.required("objectives")) {
    if (!entry.is_object()) continue;
    const ObjectReader fields(entry, "settings.objectives.");
    Objective objective;
    objective.kind = parse_objective_kind(entry.value("kind", ""));
    if (entry.contains("class") && entry.at("class").is_string()) {
      objective.job_class = entry.at("class");
    }
    objective.within_s = fields.number("within_s", 0);
    objective.times = fields.number("times", 1);
    objective.share = fields.number("share", 0);
    settings.objectives.push_back(std::move(objective));
  }
}

// Reads the timing of heartbeats, worker leases and cancellations.
void read_workers(const ObjectReader& workers, Settings& settings) {
  settings.heartbeat_interval = Seconds(workers.number("report_s", 3.0, 0.05));
  settings.worker_lease = Seconds(workers.number("lease_s", 20.0, 0.5));
  settings.cancel_within = Seconds(workers.number("cancel_s", 45.0));
}

// Reads the current and the announced limits of the state service. Announced limits may take effect
// without notice, so the smaller of both is used from the start. Otherwise records could be stored
// that are too large to be written again later.
void read_state_limits(const ObjectReader& state, Settings& settings) {
  const ObjectReader announced = state.nested_object("next", "settings.state.next");
  const auto smaller_limit = [&](const char* field, double fallback, double min) {
    const double current = state.number(field, fallback, min);
    return std::min(current, announced.number(field, current, min));
  };
  settings.state_rps = smaller_limit("rps", 200, 1);
  settings.state_write_rps = smaller_limit("write_rps", 60, 1);
  settings.value_bytes = static_cast<std::size_t>(smaller_limit("value_kb", 16, 1) * 1024);
  settings.max_transaction_writes = static_cast<std::size_t>(smaller_limit("txn_ops", 12, 4));
}

// Reads the limits of the cloud.
void read_cloud(const ObjectReader& cloud, Settings& settings) {
  settings.cloud_rps = cloud.number("rps", 2, 0.01);
  settings.list_lag = Seconds(cloud.number("list_lag_s", 10));
}

// Reads the limits of this process and the maximum clock difference.
void read_process_limits(const ObjectReader& settings_object, Settings& settings) {
  constexpr double kBytesPerMegabyte = 1 << 20;
  const ObjectReader quota = settings_object.nested_object("quota", "quota");
  settings.sockets = static_cast<int>(quota.number("sockets", 800, 32));
  settings.memory_bytes =
      static_cast<std::size_t>(quota.number("mem_mb", 104, 16) * kBytesPerMegabyte);
  settings.max_clock_difference = Seconds(settings_object.number("skew_ms", 250) / 1000.0);
}

}  // namespace

Settings parse_settings(const std::string& json_text) {
  const Json json = Json::parse(json_text, nullptr, false);
  if (json.is_discarded() || !json.is_object())
    throw_settings_error("", "the file must be a JSON object");
  const ObjectReader root(json, "");
  Settings settings;
  // If several fields are invalid, the order of these calls decides which one is reported.
  read_controllers(root, settings);
  read_endpoints(root, settings);
  const ObjectReader settings_object = root.nested_object("settings", "settings");
  const auto controllers = static_cast<double>(settings.peers.size() + 1);
  settings.controller_count = static_cast<int>(settings_object.number("size", controllers, 1));
  read_zones(settings_object, settings);
  read_teams(settings_object, settings);
  read_objectives(settings_object, settings);
  read_workers(settings_object.nested_object("workers", "workers"), settings);
  read_state_limits(settings_object.nested_object("state", "state"), settings);
  read_cloud(settings_object.nested_object("cloud", "cloud"), settings);
  read_process_limits(settings_object, settings);
  settings.tuning.member_ttl =
      std::max(kMinMemberTtl,
               std::min({settings.tuning.member_ttl, settings.worker_lease * kDefaultMaxTtlShare,
                         max_member_ttl(settings)}));
  return settings;
}

}  // namespace saddleslip::base
