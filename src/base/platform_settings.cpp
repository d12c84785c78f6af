// The platform's file (JSON): parsing, and the checks of each field.
#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "base/settings.h"

namespace saddleslip::base {

using Json = nlohmann::json;

namespace {

// The share of a worker's lease that a member's authority lease may take by default: its machines are
// taken over well inside the worker's lease.
constexpr double kDefaultTtlShare = 0.45;

[[noreturn]] void fail(const std::string& field, const std::string& reason) {
  throw BadSettings(SettingsFile::kPlatform, field, reason);
}

// One object of the file. Reads its fields, and throws BadSettings with the field's path from the root
// if one is wrong. Refers to the object.
class Section {
 public:
  Section(const Json& object, std::string path) : object_(object), path_(std::move(path)) {}

  bool has(const char* field) const { return object_.is_object() && object_.contains(field); }
  bool has_list(const char* field) const { return has(field) && object_.at(field).is_array(); }

  const Json& required(const char* field) const {
    if (!has(field)) fail(path_ + field, "is missing");
    return object_.at(field);
  }

  // A list that may be missing; null counts as missing if `allow_null`.
  const Json& list(const char* field, bool allow_null) const {
    static const Json kNone = Json::array();
    if (!has(field) || (allow_null && object_.at(field).is_null())) return kNone;
    if (!object_.at(field).is_array()) fail(path_ + field, "must be an array");
    return object_.at(field);
  }

  std::string text(const char* field) const {
    const Json& value = required(field);
    if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
      fail(path_ + field, "must be a non-empty string");
    }
    return value.get<std::string>();
  }
  std::string text_or_empty(const char* field) const { return has(field) ? text(field) : ""; }

  double number(const char* field, double fallback, double min = 0.0) const {
    if (!has(field) || object_.at(field).is_null()) return fallback;
    const Json& value = object_.at(field);
    if (!value.is_number() || !std::isfinite(value.get<double>()) || value.get<double>() < min) {
      fail(path_ + field, "must be a number of at least " + Json(min).dump());
    }
    return value.get<double>();
  }

  Address address(const char* field) const { return parse_address(text(field), path_ + field); }

  // An object in this one; empty if it is missing or null. `shown_as` names it in the error if it is
  // something else.
  Section section(const char* field, const std::string& shown_as) const {
    static const Json kNone = Json::object();
    const std::string path = path_ + field + ".";
    if (!object_.contains(field) || object_.at(field).is_null()) return {kNone, path};
    if (!object_.at(field).is_object()) fail(shown_as, "must be an object");
    return {object_.at(field), path};
  }

 private:
  const Json& object_;
  std::string path_;  // empty, or ends with a dot
};

void read_controllers(const Section& root, Settings& settings) {
  settings.member = MemberId(root.text("member"));
  settings.zone = root.text_or_empty("area");
  settings.listen = root.address("serve_on");
  settings.peer_listen = root.address("peer_listen");
  for (const Json& entry : root.list("siblings", true)) {
    const Section peer(entry, "siblings.");
    settings.peers.push_back(
        {MemberId(peer.text("member")), peer.text_or_empty("area"), peer.address("address")});
    if (settings.peers.back().member == settings.member) fail("siblings", "names this member");
  }
  settings.controller_zones.insert(settings.zone);
  for (const Peer& peer : settings.peers) settings.controller_zones.insert(peer.zone);
}

void read_endpoints(const Section& root, Settings& settings) {
  const Section endpoints(root.required("endpoints"), "endpoints.");
  settings.cloud = endpoints.address("cloud");
  settings.state = endpoints.address("state");
}

void read_zones(const Section& section, Settings& settings) {
  if (!section.has_list("zones")) return;
  for (const Json& zone : section.required("zones")) {
    if (!zone.is_string()) fail("settings.zones", "must hold strings");
    settings.zones.push_back(zone.get<std::string>());
  }
}

void read_teams(const Section& section, Settings& settings) {
  for (const Json& entry : section.list("teams", false)) {
    const Section fields(entry, "settings.teams.");
    Team team;
    team.guaranteed_cores = fields.number("cpus", 0);
    team.max_cores = fields.number("cpus_max", 0);
    team.guaranteed_gpus = fields.number("gpus", 0);
    team.max_gpus = fields.number("gpus_max", 0);
    if (!settings.teams.emplace(fields.text("name"), team).second) {
      fail("", "a team is named twice");
    }
  }
}

ObjectiveKind parse_kind(const std::string& name) {
  if (name == "wait") return ObjectiveKind::kWait;
  if (name == "deadline") return ObjectiveKind::kDeadline;
  if (name == "finished") return ObjectiveKind::kFinished;
  return ObjectiveKind::kOther;
}

// Entries that are no objects are ignored: kinds of a later platform may be written in another way.
void read_objectives(const Section& section, Settings& settings) {
  if (!section.has_list("objectives")) return;
  for (const Json& entry : section.required("objectives")) {
    if (!entry.is_object()) continue;
    const Section fields(entry, "settings.objectives.");
    Objective objective;
    objective.kind = parse_kind(entry.value("kind", ""));
    if (entry.contains("class") && entry.at("class").is_string()) {
      objective.job_class = entry.at("class");
    }
    objective.within_s = fields.number("within_s", 0);
    objective.times = fields.number("times", 1);
    objective.share = fields.number("share", 0);
    settings.objectives.push_back(std::move(objective));
  }
}

void read_workers(const Section& workers, Settings& settings) {
  settings.heartbeat_interval = Seconds(workers.number("report_s", 3.0, 0.05));
  settings.worker_lease = Seconds(workers.number("lease_s", 20.0, 0.5));
  settings.cancel_within = Seconds(workers.number("cancel_s", 45.0));
}

// Limits that the state service will have later come into force without notice: the smaller ones hold
// from the start, so that nothing is stored that could not be rewritten afterwards.
void read_state_limits(const Section& state, Settings& settings) {
  const Section next = state.section("next", "settings.state.next");
  const auto smaller = [&](const char* field, double fallback, double min) {
    const double present = state.number(field, fallback, min);
    return std::min(present, next.number(field, present, min));
  };
  settings.state_rps = smaller("rps", 200, 1);
  settings.state_write_rps = smaller("write_rps", 60, 1);
  settings.value_bytes = static_cast<std::size_t>(smaller("value_kb", 16, 1) * 1024);
  settings.txn_ops = static_cast<std::size_t>(smaller("txn_ops", 12, 4));
}

void read_cloud(const Section& cloud, Settings& settings) {
  settings.cloud_rps = cloud.number("rps", 2, 0.01);
  settings.list_lag = Seconds(cloud.number("list_lag_s", 10));
}

void read_process_limits(const Section& section, Settings& settings) {
  constexpr double kBytesPerMegabyte = 1 << 20;
  const Section quota = section.section("quota", "quota");
  settings.sockets = static_cast<int>(quota.number("sockets", 800, 32));
  settings.memory_bytes =
      static_cast<std::size_t>(quota.number("mem_mb", 104, 16) * kBytesPerMegabyte);
  settings.clock_off = Seconds(section.number("skew_ms", 250) / 1000.0);
}

}  // namespace

Settings parse_settings(const std::string& json_text) {
  const Json json = Json::parse(json_text, nullptr, false);
  if (json.is_discarded() || !json.is_object()) fail("", "not a JSON object");
  const Section root(json, "");
  Settings settings;
  // The order of the reads decides which of several faults is reported.
  read_controllers(root, settings);
  read_endpoints(root, settings);
  const Section section = root.section("settings", "settings");
  const auto controllers = static_cast<double>(settings.peers.size() + 1);
  settings.size = static_cast<int>(section.number("size", controllers, 1));
  read_zones(section, settings);
  read_teams(section, settings);
  read_objectives(section, settings);
  read_workers(section.section("workers", "workers"), settings);
  read_state_limits(section.section("state", "state"), settings);
  read_cloud(section.section("cloud", "cloud"), settings);
  read_process_limits(section, settings);
  settings.tuning.member_ttl =
      std::max(kShortestMemberTtl,
               std::min({settings.tuning.member_ttl, settings.worker_lease * kDefaultTtlShare,
                         longest_member_ttl(settings)}));
  return settings;
}

}  // namespace saddleslip::base
