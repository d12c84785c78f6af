#include "base/settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>

namespace saddleslip::base {

using Json = nlohmann::json;

namespace {

const Json& need(const Json& at, const char* field, const std::string& where) {
  if (!at.is_object() || !at.contains(field)) {
    throw BadSettings("settings: " + where + field + " is missing");
  }
  return at.at(field);
}

std::string need_string(const Json& at, const char* field, const std::string& where = "") {
  const Json& v = need(at, field, where);
  if (!v.is_string() || v.get_ref<const std::string&>().empty()) {
    throw BadSettings("settings: " + where + field + " must be a non-empty string");
  }
  return v.get<std::string>();
}

double number_or(const Json& at, const char* field, double fallback, const std::string& where,
                 double least = 0.0) {
  if (!at.is_object() || !at.contains(field) || at.at(field).is_null()) return fallback;
  const Json& v = at.at(field);
  if (!v.is_number() || !std::isfinite(v.get<double>()) || v.get<double>() < least) {
    throw BadSettings("settings: " + where + field + " must be a number of at least " +
                      Json(least).dump());
  }
  return v.get<double>();
}

constexpr Seconds kLeastTtl{1.0};
constexpr Seconds kWorkerDelay{1.0};  // until a worker whose lease is gone has ended its tasks

// A cancelled task ends at the latest when the authority of whoever may not have heard of it has ended,
// and then the lease that it gave last.
Seconds longest_ttl(const Settings& s) {
  const Seconds left = s.cancel_within - s.worker_lease * (1.0 + 2.0 * kDrift) - kWorkerDelay;
  return std::min(s.worker_lease * 0.5, left);
}

const Json kNone = Json::object();

const Json& section(const Json& at, const char* field, const std::string& where = "") {
  if (!at.contains(field) || at.at(field).is_null()) return kNone;
  if (!at.at(field).is_object()) {
    throw BadSettings("settings: " + where + field + " must be an object");
  }
  return at.at(field);
}

// The limits of the state service. Those that it will have later come without notice: the smaller ones
// hold from the start, so that nothing is stored that could not be rewritten afterwards.
void read_state_limits(Settings& settings, const Json& state) {
  const std::string now = "settings.state.", later = "settings.state.next.";
  const Json& next = section(state, "next", now);
  const auto smaller = [&](const char* field, double otherwise, double least) {
    const double present = number_or(state, field, otherwise, now, least);
    return std::min(present, number_or(next, field, present, later, least));
  };
  settings.state_rps = smaller("rps", 200, 1);
  settings.state_write_rps = smaller("write_rps", 60, 1);
  settings.value_bytes = static_cast<std::size_t>(smaller("value_kb", 16, 1) * 1024);
  settings.txn_ops = static_cast<std::size_t>(smaller("txn_ops", 12, 4));
}

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw BadSettings("cannot read " + path);
  std::stringstream text;
  text << in.rdbuf();
  if (in.bad()) throw BadSettings("cannot read " + path);
  return text.str();
}

}  // namespace

Address parse_address(const std::string& text, const std::string& field) {
  const auto colon = text.rfind(':');
  Address a;
  if (colon != std::string::npos && colon > 0) {
    const std::string port = text.substr(colon + 1);
    if (!port.empty() && port.size() <= 5 &&
        std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; })) {
      a.host = text.substr(0, colon);
      a.port = std::stoi(port);
    }
  }
  if (a.port < 1 || a.port > 65535) {
    throw BadSettings("settings: " + field + " must be host:port, not '" + text + "'");
  }
  return a;
}

Settings parse_settings(const std::string& json_text) {
  const Json root = Json::parse(json_text, nullptr, false);
  if (root.is_discarded() || !root.is_object()) {
    throw BadSettings("settings: not a JSON object");
  }
  Settings s;
  s.member = MemberId(need_string(root, "member"));
  s.zone = root.contains("area") ? need_string(root, "area") : "";
  s.listen = parse_address(need_string(root, "serve_on"), "serve_on");
  s.peer_listen = parse_address(need_string(root, "peer_listen"), "peer_listen");
  if (root.contains("siblings") && !root.at("siblings").is_null()) {
    if (!root.at("siblings").is_array()) throw BadSettings("settings: siblings must be an array");
    for (const Json& p : root.at("siblings")) {
      Peer sib{MemberId(need_string(p, "member", "siblings.")),
               p.contains("area") ? need_string(p, "area", "siblings.") : "",
               parse_address(need_string(p, "address", "siblings."), "siblings.address")};
      if (sib.member == s.member) throw BadSettings("settings: siblings names this member");
      s.peers.push_back(std::move(sib));
    }
  }
  const Json& services = need(root, "endpoints", "");
  s.cloud = parse_address(need_string(services, "cloud", "endpoints."), "endpoints.cloud");
  s.state = parse_address(need_string(services, "state", "endpoints."), "endpoints.state");

  const Json& params = section(root, "settings");
  s.size = static_cast<int>(
      number_or(params, "size", static_cast<double>(s.peers.size() + 1), "settings.", 1));
  if (params.contains("zones") && params.at("zones").is_array()) {
    for (const Json& z : params.at("zones")) {
      if (!z.is_string()) throw BadSettings("settings: settings.zones must hold strings");
      s.zones.push_back(z.get<std::string>());
    }
  }
  if (params.contains("teams")) {
    if (!params.at("teams").is_array())
      throw BadSettings("settings: settings.teams must be an array");
    for (const Json& t : params.at("teams")) {
      Team team;
      const std::string w = "settings.teams.";
      team.guaranteed_cores = number_or(t, "cpus", 0, w);
      team.max_cores = number_or(t, "cpus_max", 0, w);
      team.guaranteed_gpus = number_or(t, "gpus", 0, w);
      team.max_gpus = number_or(t, "gpus_max", 0, w);
      if (!s.teams.emplace(need_string(t, "name", w), team).second) {
        throw BadSettings("settings: a team is named twice");
      }
    }
  }
  if (params.contains("objectives") && params.at("objectives").is_array()) {
    for (const Json& o : params.at("objectives")) {
      if (!o.is_object()) continue;
      Objective obj;
      obj.kind = o.value("kind", "");
      if (o.contains("class") && o.at("class").is_string()) obj.job_class = o.at("class");
      obj.within_s = number_or(o, "within_s", 0, "settings.objectives.");
      obj.times = number_or(o, "times", 1, "settings.objectives.");
      obj.share = number_or(o, "share", 0, "settings.objectives.");
      s.objectives.push_back(std::move(obj));
    }
  }
  const Json& workers = section(params, "workers");
  s.heartbeat_interval = Seconds(number_or(workers, "report_s", 3.0, "settings.workers.", 0.05));
  s.worker_lease = Seconds(number_or(workers, "lease_s", 20.0, "settings.workers.", 0.5));
  s.cancel_within = Seconds(number_or(workers, "cancel_s", 45.0, "settings.workers."));
  read_state_limits(s, section(params, "state"));
  const Json& cloud = section(params, "cloud");
  s.cloud_rps = number_or(cloud, "rps", 2, "settings.cloud.", 0.01);
  s.list_lag = Seconds(number_or(cloud, "list_lag_s", 10, "settings.cloud."));
  const Json& limits = section(params, "quota");
  s.sockets = static_cast<int>(number_or(limits, "sockets", 800, "settings.quota.", 32));
  s.memory_bytes =
      static_cast<std::size_t>(number_or(limits, "mem_mb", 104, "settings.quota.", 16) * (1 << 20));
  s.clock_off = Seconds(number_or(params, "skew_ms", 250, "settings.") / 1000.0);

  // A member's authority must end, and its machines be taken over, well inside a worker's lease.
  s.controller_zones.insert(s.zone);
  for (const Peer& sib : s.peers) s.controller_zones.insert(sib.zone);
  s.tuning.member_ttl =
      std::max(kLeastTtl, std::min({s.tuning.member_ttl, s.worker_lease * 0.45, longest_ttl(s)}));
  return s;
}

std::optional<std::string> caution(const Settings& settings) {
  if (settings.tuning.member_ttl <= longest_ttl(settings)) return {};
  std::ostringstream out;
  out << "settings: a controller's authority (" << settings.tuning.member_ttl.count()
      << " s) and then a worker's lease (" << settings.worker_lease.count()
      << " s) may outlast cancel_s (" << settings.cancel_within.count()
      << " s), or half a lease: cancelled tasks may stay too long";
  return out.str();
}

void apply_tuning(Settings& settings, const std::string& yaml_text) {
  YAML::Node root;
  try {
    root = YAML::Load(yaml_text);
  } catch (const YAML::Exception& e) {
    throw BadSettings("operators' settings: " + std::string(e.what()));
  }
  if (root.IsNull()) return;
  if (!root.IsMap()) throw BadSettings("operators' settings: not a map");
  Tuning& t = settings.tuning;
  const auto seconds = [](Seconds& to, double least, double most) {
    return [&to, least, most](double v) {
      if (v < least || v > most) return false;
      to = Seconds(v);
      return true;
    };
  };
  const auto plain = [](double& to, double least, double most) {
    return [&to, least, most](double v) {
      if (v < least || v > most) return false;
      to = v;
      return true;
    };
  };
  const std::map<std::string, std::function<bool(double)>> fields = {
      {"round_period_s", seconds(t.round_period, 0.05, 60)},
      {"member_ttl_s", seconds(t.member_ttl, kLeastTtl.count(), longest_ttl(settings).count())},
      {"idle_return_s", seconds(t.idle_return, 0, 86400)},
      {"longest_wait_s", seconds(t.longest_wait, 1, 86400)},
      {"record_within_s", seconds(t.record_within, 0, 600)},
      {"headroom", plain(t.headroom, 0, 10)},
      {"mute_release_s", seconds(t.silent_release, 0, 86400)},
      {"spot_share", plain(t.spot_share, 0, 1)},
      {"max_connections",
       [&t](double v) {
         if (v < 8 || v > 100000 || v != std::floor(v)) return false;
         t.max_connections = static_cast<int>(v);
         return true;
       }},
  };
  for (const auto& entry : root) {
    std::string name;
    try {
      name = entry.first.as<std::string>();
      const auto field = fields.find(name);
      if (field == fields.end()) {
        throw BadSettings("operators' settings: unknown field '" + name + "'");
      }
      const double v = entry.second.as<double>();
      if (!std::isfinite(v) || !field->second(v)) {
        throw BadSettings("operators' settings: " + name + " is out of range");
      }
    } catch (const YAML::Exception&) {
      throw BadSettings("operators' settings: " + name + " must be a number");
    }
  }
}

Settings load_settings(const std::string& path, const std::optional<std::string>& operators_path) {
  Settings s = parse_settings(read_file(path));
  if (operators_path) apply_tuning(s, read_file(*operators_path));
  return s;
}

}  // namespace saddleslip::base
