#include "protocol/clients.h"

#include <algorithm>

#include "base/log.h"

namespace saddleslip::protocol {

using transport::Answer;
using transport::Sent;

namespace {

constexpr std::size_t kMaxAnswer = 8u << 20;
constexpr std::size_t kMostCalls = 16;  // at once: a slow store must not make users queue

Json parse(const Answer& a) {
  Json j = Json::parse(a.body, nullptr, false);
  if (!j.is_object()) {
    spdlog::warn("garbled answer with status {} ({} bytes)", a.status, a.body.size());
    return Json();
  }
  return j;
}

std::uint64_t number(const Json& at, const char* field) {
  const auto it = at.find(field);
  return it != at.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

std::optional<Item> parse_item(const Json& j) {
  if (!j.is_object() || !j.contains("key") || !j.at("key").is_string() || !j.contains("v")) {
    return {};
  }
  return Item{j.at("key").get<std::string>(), j.at("v"), Version(number(j, "mark"))};
}

}  // namespace

StateClient::StateClient(const base::Address& address, std::size_t most_changes)
    : most_changes_(most_changes),
      http_(address, kMostCalls),
      renewals_(address, 2),
      watches_(address, 1) {}

StateClient::Committed StateClient::commit(const Transaction& txn, Seconds timeout) {
  Json preconditions = Json::array();
  for (const auto& [key, version] : txn.preconditions) {
    preconditions.push_back({{"key", key}, {"mark", version.get()}});
  }
  Json writes = Json::array();
  for (const Put& p : txn.writes) {
    if (!p.value) {
      writes.push_back({{"remove", p.key}});
      continue;
    }
    Json w = {{"write", p.key}, {"v", *p.value}};
    if (p.lease) w["tether"] = p.lease->get();
    writes.push_back(std::move(w));
  }
  const Answer a = http_.post(
      "/commit", Json{{"guards", std::move(preconditions)}, {"writes", std::move(writes)}}.dump(),
      timeout);
  Committed c;
  if (a.sent == Sent::kNo) {
    c.outcome = Outcome::kRefused;
    return c;
  }
  if (a.sent == Sent::kMaybe) return c;
  switch (a.status) {
    case 200:
    case 409: {
      const Json j = parse(a);
      if (!j.is_object() || !j.contains("ledger")) return c;
      c.revision = Revision(number(j, "ledger"));
      c.outcome = a.status == 200 ? Outcome::kDone : Outcome::kConflict;
      if (const auto failed = j.find("failed"); failed != j.end() && failed->is_array()) {
        for (const Json& f : *failed) {
          if (f.is_string()) c.failed.push_back(f.get<std::string>());
        }
      }
      return c;
    }
    case 429:
    case 503:
      c.outcome = Outcome::kRefused;
      return c;
    case 400:
      spdlog::error("the state service calls a transaction malformed: {}", a.body.substr(0, 200));
      c.outcome = Outcome::kMalformed;
      return c;
    default:
      return c;
  }
}

StateClient::Got StateClient::get(const std::string& key, Seconds timeout) {
  const Answer a = http_.get("/store/" + key, timeout);
  Got g;
  if (a.sent != Sent::kYes) return g;
  if (a.status == 404) {
    g.answered = true;
    g.item.key = key;
  } else if (a.status == 200) {
    const Json j = parse(a);
    if (auto item = parse_item(j); item && item->version.get() > 0) {
      g.answered = true;
      g.item = std::move(*item);
    }
  }
  return g;
}

StateClient::Listed StateClient::list(const std::string& prefix, const std::string& after,
                                      Seconds timeout) {
  std::string path = "/store?starts=" + prefix + "&page=500";
  if (!after.empty()) path += "&after=" + after;
  const Answer a = http_.get(path, timeout, kMaxAnswer);
  Listed l;
  if (!a.ok()) return l;
  const Json j = parse(a);
  if (!j.is_object() || !j.contains("items") || !j.at("items").is_array()) return l;
  for (const Json& i : j.at("items")) {
    auto item = parse_item(i);
    if (!item) return l;
    l.items.push_back(std::move(*item));
  }
  l.more = j.contains("more") && j.at("more").is_boolean() && j.at("more").get<bool>();
  l.revision = Revision(number(j, "ledger"));
  l.answered = true;
  return l;
}

std::optional<LeaseId> StateClient::create_lease(Seconds ttl, Seconds timeout) {
  const Answer a = renewals_.post(
      "/leases", Json{{"ttl_ms", static_cast<std::uint64_t>(ttl.count() * 1000)}}.dump(), timeout);
  if (!a.ok()) return {};
  const auto id = number(parse(a), "tether");
  if (id == 0) return {};
  return LeaseId(id);
}

StateClient::Renewed StateClient::renew_lease(LeaseId lease, Seconds timeout) {
  const Answer a =
      renewals_.post("/leases/" + std::to_string(lease.get()) + "/renew", "{}", timeout);
  if (a.ok()) return Renewed::kYes;
  return a.sent == Sent::kYes && a.status == 404 ? Renewed::kGone : Renewed::kUnknown;
}

void StateClient::delete_lease(LeaseId lease, Seconds timeout) {
  renewals_.del("/leases/" + std::to_string(lease.get()), timeout);
}

namespace {

std::string changes_path(const std::string& prefix, Revision after, Seconds wait) {
  return "/changes?starts=" + prefix + "&after=" + std::to_string(after.get()) +
         "&block_ms=" + std::to_string(static_cast<long>(wait.count() * 1000));
}

}  // namespace

StateClient::Watched StateClient::watch(const std::string& prefix, Revision after, Seconds wait) {
  return parse_changes(
      watches_.get(changes_path(prefix, after, wait), wait + Seconds(3.0), most_changes_), after);
}

StateClient::Watched StateClient::changes(const std::string& prefix, Revision after,
                                          Seconds timeout) {
  return parse_changes(http_.get(changes_path(prefix, after, Seconds(0)), timeout, most_changes_),
                       after);
}

StateClient::Watched StateClient::parse_changes(const Answer& a, Revision after) {
  Watched w;
  w.after = after;
  if (a.too_large) {
    // It would never get smaller: what was missed is read anew, page by page.
    w.what = Watched::What::kTooOld;
    return w;
  }
  if (a.sent != Sent::kYes) return w;
  if (a.status == 410) {
    w.what = Watched::What::kTooOld;
    return w;
  }
  if (a.status != 200) return w;
  const Json j = parse(a);
  if (!j.is_object() || !j.contains("events") || !j.at("events").is_array()) return w;
  for (const Json& e : j.at("events")) {
    if (!e.is_object()) return {};
    if (const auto removed = e.find("remove"); removed != e.end() && removed->is_string()) {
      w.events.push_back({removed->get<std::string>(), Json(), Version(number(e, "mark"))});
    } else if (const auto written = e.find("write"); written != e.end() && written->is_string()) {
      w.events.push_back(
          {written->get<std::string>(), e.value("v", Json()), Version(number(e, "mark"))});
    } else {
      return {};
    }
  }
  w.revision = Revision(number(j, "ledger"));
  w.what = Watched::What::kEvents;
  return w;
}

CloudClient::CloudClient(const base::Address& address) : http_(address, 2) {}

std::optional<std::vector<MachineType>> CloudClient::catalogue() {
  const Answer a = http_.get("/catalog", Seconds(3.0));
  if (!a.ok()) return {};
  return parse_catalogue(parse(a));
}

CloudClient::Rented CloudClient::rent(const std::string& request, const std::string& type,
                                      const std::string& zone, bool spot, int count) {
  const Answer a = http_.post("/rentals",
                              Json{{"hire", request},
                                   {"breed", type},
                                   {"paddock", zone},
                                   {"strays", spot},
                                   {"how_many", std::clamp(count, 1, kMaxRentedPerCall)}}
                                  .dump(),
                              Seconds(5.0));
  Rented r;
  if (a.sent == Sent::kNo) {
    r.what = Rented::What::kRefused;
    return r;
  }
  if (a.sent == Sent::kMaybe) return r;
  if (a.status == 200) {
    const Json j = parse(a);
    if (!j.is_object() || !j.contains("mounts") || !j.at("mounts").is_array()) return r;
    for (const Json& m : j.at("mounts")) {
      if (m.is_string()) r.machines.emplace_back(m.get<std::string>());
    }
    r.what = Rented::What::kMachines;
  } else if (a.status == 503 && a.body.find("no capacity") != std::string::npos) {
    r.what = Rented::What::kNoCapacity;
  } else if (a.status == 429 || a.status == 503 || a.status == 400) {
    if (a.status == 400)
      spdlog::error("the cloud calls a rental malformed: {}", a.body.substr(0, 200));
    r.what = Rented::What::kRefused;
  }
  return r;
}

bool CloudClient::release(const std::vector<MachineId>& machines) {
  Json names = Json::array();
  for (const MachineId& m : machines) names.push_back(m.get());
  return http_.post("/rentals/release", Json{{"mounts", std::move(names)}}.dump(), Seconds(5.0))
      .ok();
}

std::optional<std::vector<CloudMachine>> CloudClient::list() {
  std::vector<CloudMachine> all;
  std::string after;
  for (;;) {
    const Answer a = http_.get("/rentals?page=500" + (after.empty() ? "" : "&after=" + after),
                               Seconds(5.0), kMaxAnswer);
    if (!a.ok()) return {};
    const Json j = parse(a);
    if (!j.is_object() || !j.contains("mounts") || !j.at("mounts").is_array()) return {};
    for (const Json& m : j.at("mounts")) {
      if (!m.is_object()) return {};
      try {
        CloudMachine c;
        c.id = MachineId(m.at("name_id").get<std::string>());
        c.type = m.at("breed").get<std::string>();
        c.zone = m.at("paddock").get<std::string>();
        c.spot = m.value("strays", false);
        const auto state = m.at("status").get<std::string>();
        c.state = state == "running"  ? CloudState::kRunning
                  : state == "failed" ? CloudState::kFailed
                                      : CloudState::kStarting;
        c.age = Seconds(m.value("held_s", 0.0));
        after = c.id.get();
        all.push_back(std::move(c));
      } catch (const Json::exception&) {
        return {};
      }
    }
    if (!j.value("more", false) || j.at("mounts").empty()) return all;
  }
}

std::shared_ptr<transport::HttpClient> WorkerClient::connection(const std::string& address) {
  const std::lock_guard lock(mutex_);
  auto at = http_.find(address);
  if (at == http_.end()) {
    if (http_.size() >= most_) {
      http_.erase(std::min_element(http_.begin(), http_.end(), [](const auto& x, const auto& y) {
        return x.second.used < y.second.used;
      }));
    }
    try {
      auto http = std::make_shared<transport::HttpClient>(
          base::parse_address(address, "a worker's endpoint"), 1);
      at = http_.emplace(address, Slot{std::move(http), 0}).first;
    } catch (const base::BadSettings& e) {
      spdlog::warn("{}", e.what());
      return nullptr;
    }
  }
  at->second.used = ++uses_;
  return at->second.http;
}

WorkerClient::Answered WorkerClient::order(const std::string& address, FencingToken fencing_token,
                                           AgentIncarnation agent_incarnation,
                                           const std::vector<Command>& commands, Seconds timeout) {
  const auto http = connection(address);
  if (!http) return {};
  const Answer a =
      http->post("/orders", orders(fencing_token, agent_incarnation, commands), timeout);
  Answered out;
  out.sent = a.sent;
  if (a.sent != Sent::kYes) return out;
  out.executed = a.status == 200;
  if (a.status == 200 || a.status == 409) out.heartbeat = parse_heartbeat(a.body);
  return out;
}

}  // namespace saddleslip::protocol
