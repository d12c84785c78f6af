#include "world.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "coordination/intake.h"

namespace saddleslip::testing {

using protocol::StateClient;
using Outcome = StateClient::Outcome;

namespace {

constexpr double kStep = 0.05;
constexpr double kPull = 0.5;
constexpr double kNoResponse = 4;  // a worker waits so long where nothing refuses its connection
// The operators' checks of a whole day.
constexpr double kForgottenAfter = 75;
constexpr double kLeftWaitingAfter = 90;
constexpr double kServedWithin = 240;

std::string name(std::size_t n) {
  return "n" + std::to_string(n);
}

double cores_of(const std::string& machine_type) {
  return machine_type == "big" ? 8 : 4;
}

bool active(const std::string& state) {
  return state != "ended";
}

}  // namespace

Time World::now() const {
  return Time(std::chrono::duration_cast<base::SteadyClock::duration>(base::Seconds(1000 + t_)));
}

void World::broken(const std::string& what) {
  std::ostringstream out;
  out.precision(4);
  out << "at " << t_ << ": " << what;
  failures_.push_back(out.str());
}

bool World::cut(const std::string& a, const std::string& b) const {
  return cuts_.contains({a, b}) || cuts_.contains({b, a});
}

// --- the state service

bool World::state_reachable(std::size_t node) const {
  return !state_down_ && !cut(name(node), "state");
}

void World::write(const std::string& key, const Json& value, std::uint64_t lease,
                  std::uint64_t revision) {
  if (value.is_null()) {
    store_.erase(key);
  } else {
    store_[key] = {value, revision, lease};
  }
  changes_.push_back({revision, {key, value, base::Version(revision)}, t_});
}

StateClient::Committed World::apply(const protocol::Transaction& txn) {
  StateClient::Committed c;
  for (const auto& [key, version] : txn.guards) {
    const auto at = store_.find(key);
    if ((at == store_.end() ? 0 : at->second.version) != version.get()) c.failed.push_back(key);
  }
  c.revision = base::Revision(revision_);
  // The store's limits hold whatever the conditions: seen at fleet size, a record of all booting
  // machines that no value holds was refused for ever.
  const auto& limits = nodes_[0].settings;
  if (txn.writes.size() > limits.txn_ops || txn.guards.size() > limits.txn_ops * 4)
    broken("a transaction of " + std::to_string(txn.writes.size()) + " changes and " +
           std::to_string(txn.guards.size()) + " conditions");
  for (const auto& w : txn.writes) {
    if (w.value && w.value->dump().size() > limits.value_bytes)
      broken("a value too large for the store: " + w.key);
  }
  c.outcome = Outcome::kConflict;
  if (!c.failed.empty()) return c;
  for (const auto& w : txn.writes) {
    if (w.lease && !leases_.contains(w.lease->get())) {
      c.outcome = Outcome::kMalformed;
      return c;
    }
  }
  ++revision_;
  for (const auto& w : txn.writes) {
    write(w.key, w.value ? *w.value : Json(), w.lease ? w.lease->get() : 0, revision_);
  }
  c.revision = base::Revision(revision_);
  c.outcome = Outcome::kDone;
  return c;
}

StateClient::Committed World::commit(std::size_t node, const protocol::Transaction& txn) {
  StateClient::Committed c;
  if (!state_reachable(node)) {
    c.outcome = Outcome::kRefused;
    return c;
  }
  if (const auto late = late_commit_.find(node); late != late_commit_.end()) {
    late_commits_.emplace_back(t_ + late->second, txn);
    late_commit_.erase(late);
    return c;
  }
  c = apply(txn);
  if (lose_commit_.erase(node) > 0) {
    c = {};
    nodes_[node].busy_until = t_ + 1.5;
  }
  return c;
}

StateClient::Got World::get(std::size_t node, const std::string& key) {
  StateClient::Got g;
  if (!state_reachable(node)) return g;
  g.answered = true;
  g.item.key = key;
  const auto at = store_.find(key);
  if (at != store_.end()) g.item = {key, at->second.value, base::Version(at->second.version)};
  return g;
}

void World::expire_leases() {
  if (state_down_) return;
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (t_ < it->second.until) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, k] : store_) {
      if (k.lease == it->first) keys.push_back(key);
    }
    if (!keys.empty()) ++revision_;
    for (const auto& key : keys) write(key, Json(), 0, revision_);
    it = leases_.erase(it);
  }
}

// --- workers

World::Worker& World::add_worker(const std::string& id, const std::string& type,
                                 const std::string& zone, bool spot, double boots) {
  Worker w;
  w.id = id;
  w.type = type;
  w.zone = zone;
  w.spot = spot;
  w.boots = boots;
  w.last_answered = boots;
  w.next_report = boots;
  return workers_[id] = w;
}

protocol::Report World::report_of(Worker& w) {
  Json tasks = Json::array();
  for (const auto& [id, attempts] : w.tasks) {
    for (const Task& t : attempts) {
      tasks.push_back({{"stride", id.job.get() + "/" + std::to_string(id.no)},
                       {"remount", t.attempt},
                       {"status", t.state},
                       {"cause", t.cause}});
    }
  }
  Json j = {{"mount", w.id},         {"endpoint", w.id + ":1"}, {"breed", w.type},
            {"paddock", w.zone},     {"strays", w.spot},        {"ride", w.session},
            {"tally", ++w.sequence}, {"reins", w.token},        {"strides", tasks}};
  if (w.taken_at) j["recall_s"] = *w.taken_at - t_;
  auto r = protocol::parse_report(j.dump());
  if (!r) broken("the stand-in's report can't be parsed");
  return *r;
}

void World::check_start(const Worker& w, const TaskId& task) {
  ++starts_;
  const auto j = jobs_.find(task.job);
  if (j == jobs_.end()) return broken("invented: a task of an unknown job starts");
  ++j->second.starts;
  const auto& spec = j->second.spec;
  const std::string text = task.job.get() + "/" + std::to_string(task.no);
  std::map<std::string, int> zones;
  for (const auto& [id, other] : workers_) {
    for (const auto& [t, attempts] : other.tasks) {
      const bool on = std::any_of(attempts.begin(), attempts.end(),
                                  [](const Task& a) { return active(a.state); });
      if (!on || t.job != task.job || !other.alive) continue;
      if (t == task && id != w.id)
        broken("ran_twice: " + text + " starts on " + w.id + ", is on " + id);
      if (t != task) ++zones[other.zone];
    }
  }
  if (!coordination::may_run(spec, w.type, w.zone, w.spot)) broken("wrong_place: " + text);
  if (spec.one_zone && !zones.empty() && !zones.contains(w.zone))
    broken("wrong_place: " + text + " in another zone");
  if (spec.spread && zones[w.zone] + 1 > static_cast<int>((spec.tasks + 1) / 2)) {
    broken("wrong_place: too many of " + spec.id.get() + " in " + w.zone);
  }
}

void World::check_command(std::size_t n, const TaskId& task) {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end() || !job->second.cancelled_at) return;
  bool hears = state_reachable(n);
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    hears = hears || (m != n && nodes_[m].up && !cut(name(n), name(m)));
  }
  const double since = t_ - *job->second.cancelled_at;
  if (since > (hears ? 0 : nodes_[n].settings.tuning.member_ttl.count()))
    broken("ran_cancelled: " + name(n) + " commands a start of " + task.job.get() + " " +
           std::to_string(since) + " s after its cancellation was confirmed");
}

void World::execute(Worker& w, const std::vector<Command>& commands) {
  for (const Command& c : commands) {
    auto& attempts = w.tasks[c.task];
    const auto at = std::find_if(attempts.begin(), attempts.end(),
                                 [&](const Task& t) { return t.attempt == c.attempt.get(); });
    if (c.op == Command::Op::kRun) {
      if (at != attempts.end()) continue;
      Task t{c.attempt.get(), "pulling", "", t_ + kPull, 0};
      const auto job = jobs_.find(c.task.job);
      double used = 0;
      for (const auto& [id, all] : w.tasks) {
        const auto other = jobs_.find(id.job);
        for (const Task& a : all) {
          if (active(a.state) && other != jobs_.end()) used += other->second.spec.need.cores();
        }
      }
      if (std::any_of(attempts.begin(), attempts.end(),
                      [](const Task& a) { return active(a.state); })) {
        t.state = "ended";
        t.cause = "busy";
      } else if (job == jobs_.end()) {
        t.state = "ended";
        t.cause = "unknown";
      } else if (used + job->second.spec.need.cores() > cores_of(w.type) + 1e-6) {
        t.state = "ended";
        t.cause = "no_room";
      }
      attempts.push_back(t);
    } else if (at != attempts.end()) {
      if (c.op == Command::Op::kForget) {
        if (at->state == "ended") attempts.erase(at);
      } else if (active(at->state)) {
        at->state = "ended";
        at->cause = "halted";
      }
    }
    if (attempts.empty()) w.tasks.erase(c.task);
  }
}

void World::end_session(Worker& w) {
  w.tasks.clear();
  ++w.session;
  w.last_answered = t_;
}

void World::report(Worker& w) {
  w.next_report = t_ + report_s_;
  const std::size_t n = w.node;
  const auto next = [&] {
    w.node = (w.node + 1) % nodes_.size();
    w.next_report = t_ + 1.0;
  };
  if (!nodes_[n].up || !nodes_[n].loaded) return next();
  if (w.mute || cut(name(n), "workers") || cut(name(n), w.id) || cut(name(n), w.zone) ||
      t_ < nodes_[n].frozen_until) {
    next();
    if (silent_cuts_) w.next_report += kNoResponse;
    return;
  }
  const auto rep = report_of(w);
  if (w.copies_after >= 0) late_reports_.push_back({t_ + w.copies_after, rep});
  const auto reply = nodes_[n].controller->hello(rep, now());
  nodes_[n].rung = true;
  if (w.deaf) {
    next();
    w.next_report += kNoResponse;
    return;
  }
  const Json body = Json::parse(reply.body, nullptr, false);
  if (reply.status == 421 && body.contains("trailboss")) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (name(i) != body["trailboss"] || i == n) continue;
      w.node = i;
      w.next_report = t_ + 0.1;
      return;
    }
  }
  if (reply.status != 200) return next();
  const auto token = body["reins"].get<std::uint64_t>();
  if (token < w.token) return;
  w.token = token;
  w.last_answered = t_;
  std::vector<Command> commands;
  for (const Json& c : body["calls"]) {
    const std::string stride = c["stride"];
    const auto slash = stride.rfind('/');
    Command cmd;
    cmd.op = c["call"] == "run"    ? Command::Op::kRun
             : c["call"] == "kill" ? Command::Op::kKill
                                   : Command::Op::kForget;
    cmd.task = {JobId(stride.substr(0, slash)),
                static_cast<TaskNo>(std::stoul(stride.substr(slash + 1)))};
    cmd.attempt = base::Attempt(c["remount"].get<std::uint64_t>());
    if (cmd.op == Command::Op::kRun) check_command(n, cmd.task);
    commands.push_back(cmd);
  }
  execute(w, commands);
  if (!commands.empty()) w.next_report = std::min(w.next_report, t_ + 0.5);
}

void World::deliver(const coordination::Order& order, std::size_t from) {
  const auto at = workers_.find(order.machine.get());
  if (at == workers_.end() || !at->second.alive || at->second.hung || t_ < at->second.boots) return;
  Worker& w = at->second;
  if (w.deaf) return;
  if (order.token.get() >= w.token && order.session.get() == w.session) {
    w.token = order.token.get();
    execute(w, order.commands);
  }
  const auto rep = report_of(w);
  if (nodes_[from].up) nodes_[from].controller->order_answered(order.machine, rep, now());
}

void World::step_workers() {
  for (auto& [id, w] : workers_) {
    if (!w.alive || t_ < w.boots) continue;
    if (w.taken_at && t_ >= *w.taken_at) {
      w.alive = false;
      w.tasks.clear();
      continue;
    }
    // A hung machine may go on at any time within its lease, not after it.
    if (t_ - w.last_answered > lease_s_) end_session(w);
    if (w.hung) continue;
    bool changed = false;
    for (auto& [task, attempts] : w.tasks) {
      for (Task& a : attempts) {
        const auto job = jobs_.find(task.job);
        if (a.state == "pulling" && t_ >= a.ready) {
          // On its machine from here on.
          check_start(w, task);
          if (!job->second.began) {
            job->second.began = t_;
            job->second.waited = t_ - std::max(job->second.submitted, troubles_over_);
          }
          a.state = "running";
          a.ends = t_ + job->second.fails_after.value_or(job->second.run);
          if (w.sick) {
            a.state = "ended";
            a.cause = "error";
          }
          changed = true;
        } else if (a.state == "running" && t_ >= a.ends &&
                   job->second.spec.kind != protocol::Kind::kService) {
          const bool failed = job->second.fails_after.has_value();
          a.state = "ended";
          a.cause = failed ? "error" : "done";
          if (!failed) job->second.done.insert(task.no);
          changed = true;
        }
      }
    }
    if (changed) w.next_report = std::min(w.next_report, t_ + 0.2);
    if (t_ >= w.next_report) report(w);
  }
}

// --- controllers

void World::start_node(std::size_t n) {
  NodeSim& node = nodes_[n];
  Json siblings = Json::array();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (i != n) siblings.push_back({{"member", name(i)}, {"address", "10.0.0.1:1"}});
  }
  const Json j = {
      {"member", name(n)},
      {"serve_on", "10.0.0.1:1"},
      {"peer_listen", "10.0.0.1:2"},
      {"siblings", siblings},
      {"endpoints", {{"cloud", "10.0.0.1:3"}, {"state", "10.0.0.1:4"}}},
      {"settings",
       {{"size", nodes_.size()},
        {"teams", Json::parse("[" + teams_ + "]")},
        {"workers", {{"report_s", report_s_}, {"lease_s", lease_s_}, {"cancel_s", cancel_s_}}},
        {"cloud", {{"list_lag_s", 5}}}}}};
  node.settings = base::parse_settings(j.dump());
  base::apply_tuning(node.settings, operators_);
  node.mutex = std::make_unique<std::mutex>();
  node.controller = std::make_unique<coordination::Controller>(node.settings);
  node.users = std::make_unique<Users>(
      node.settings, *node.mutex, *node.controller,
      Users::Store{[this, n] { return catch_up(n); },
                   [this, n](const std::string& key) { return get(n, key); },
                   [this, n](const protocol::Transaction& txn) { return commit(n, txn); },
                   [this] { return 1000 + t_; }, [this, n] { nodes_[n].rung = true; },
                   [this, n](const JobId& id) { tell_cancelled(n, id); }});
  node.up = true;
  node.loaded = false;
  node.lease.reset();
  node.next_beat = node.next_round = node.next_tell = node.next_fleet = node.busy_until = 0;
  node.back_at = node.records_at = -1;
}

bool World::takes_word(std::size_t from, std::size_t n) const {
  return n != from && nodes_[n].up && nodes_[n].loaded && t_ >= nodes_[n].frozen_until &&
         !cut(name(from), name(n));
}

void World::tell_cancelled(std::size_t n, const JobId& id) {
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    if (!takes_word(n, m)) continue;
    nodes_[m].controller->told_cancelled(id);
    nodes_[m].rung = true;
  }
}

void World::load(std::size_t n) {
  if (!state_reachable(n)) return;
  NodeSim& node = nodes_[n];
  auto& ledger = node.controller->ledger();
  const auto read = [&](bool records) {
    for (const auto& [key, k] : store_) {
      if (key.starts_with(protocol::kFinals) || key.starts_with(protocol::kChunks) != records)
        continue;
      ledger.apply({key, k.value, base::Version(k.version)}, now());
    }
  };
  if (node.records_at < 0) {
    read(false);
    node.load_from = revision_;
    node.records_at = t_ + node.load_takes;
  }
  if (t_ < node.records_at) return;
  read(true);
  ledger.caught_up(base::Revision(node.load_from));
  node.records_at = -1;
  node.loaded = true;
}

void World::take_in(std::size_t n, double lag) {
  NodeSim& node = nodes_[n];
  auto& ledger = node.controller->ledger();
  std::uint64_t upto = ledger.revision().get();
  for (const Change& change : changes_) {
    if (change.revision <= ledger.revision().get() || change.at + lag > t_) continue;
    if (ledger.apply(change.item, now())) node.rung = true;
    if (change.item.key == protocol::kViewKey || change.item.key == protocol::kLeadKey)
      node.beat_now = true;
    upto = std::max(upto, change.revision);
  }
  ledger.caught_up(base::Revision(upto));
  node.controller->follow(now());
}

bool World::catch_up(std::size_t n) {
  if (!nodes_[n].loaded || !state_reachable(n)) return false;
  take_in(n, 0);
  return true;
}

void World::refresh(std::size_t n, const std::vector<std::string>& keys) {
  for (const auto& key : keys) {
    if (key.compare(0, protocol::kJobs.size(), protocol::kJobs) != 0 &&
        key.compare(0, protocol::kChunks.size(), protocol::kChunks) != 0) {
      continue;
    }
    const auto got = get(n, key);
    if (got.answered && got.item.version.get() != 0)
      nodes_[n].controller->ledger().apply(got.item, now());
  }
}

void World::beat(std::size_t n) {
  NodeSim& node = nodes_[n];
  const auto ttl = node.settings.tuning.member_ttl;
  node.next_beat = t_ + ttl.count() / 4;
  node.beat_now = false;
  if (!state_reachable(n)) return;
  if (!node.lease) {
    leases_[++next_lease_] = {ttl.count(), t_ + ttl.count()};
    node.lease = base::LeaseId(next_lease_);
    const protocol::Life life{base::MemberId(name(n)), base::Incarnation(next_lease_)};
    node.controller->begin_life(life, now());
    const auto txn = node.controller->member_record(*node.lease);
    const auto done = commit(n, txn);
    if (done.outcome != Outcome::kDone) {
      node.controller->end_life();
      node.lease.reset();
      return;
    }
    node.controller->ledger().apply(txn, done.revision, now());
  }
  const auto lease = leases_.find(node.lease->get());
  if (lease == leases_.end()) {
    node.lease.reset();
    node.controller->end_life();
    node.beat_now = true;
    return;
  }
  node.controller->tell_time(now(), 1000 + t_);
  lease->second.until = t_ + ttl.count();
  node.controller->lease_taken(now());
  if (catch_up(n)) node.controller->renewed(now());
  if (const auto txn = node.controller->claim(now())) commit(n, *txn);
  if (const auto txn = node.controller->tend_view(now(), *node.lease)) {
    const auto done = commit(n, *txn);
    if (done.outcome == Outcome::kDone) {
      node.controller->ledger().apply(*txn, done.revision, now());
      node.controller->follow(now());
      node.beat_now = true;
      node.rung = true;
    }
  }
}

void World::round(std::size_t n) {
  NodeSim& node = nodes_[n];
  auto& c = *node.controller;
  node.rung = false;
  node.next_round = t_ + node.settings.tuning.round_period.count();
  const auto send = [&](std::vector<coordination::Order> orders) {
    for (auto& o : orders) {
      for (const Command& command : o.commands) {
        if (command.op == Command::Op::kRun) check_command(n, command.task);
      }
      if (lose_orders_) continue;
      if (t_ < hold_orders_until_) {
        late_.push_back({hold_orders_until_, o.machine.get(), o, n});
        continue;
      }
      if (cut(name(n), "workers") || cut(name(n), o.machine.get())) continue;
      const auto w = workers_.find(o.machine.get());
      if (w != workers_.end() && w->second.hung) {
        late_.push_back({-1, o.machine.get(), o, n});
        continue;
      }
      deliver(o, n);
      if (repeat_orders_) late_.push_back({t_ + 20, o.machine.get(), o, n});
    }
  };
  for (int i = 0; i < 6; ++i) {
    c.follow(now());
    auto routed = c.route(now());
    for (auto& [member, offers] : routed) {
      for (std::size_t m = 0; m < nodes_.size(); ++m) {
        if (name(m) != member.get() || !nodes_[m].up || (m != n && cut(name(n), name(m)))) continue;
        nodes_[m].controller->add_offers(offers, now());
        nodes_[m].rung = true;
      }
    }
    const auto plan = c.plan(now(), coordination::Pace::kNormal);
    bool went = false;
    if (!plan.empty()) {
      const auto done = commit(n, plan.txn);
      went = done.outcome == Outcome::kDone;
      if (went) {
        send(c.committed(plan, base::Version(done.revision.get()), now()));
      } else if (done.outcome == Outcome::kConflict) {
        refresh(n, done.failed);
      } else if (done.outcome == Outcome::kUnknown) {
        std::vector<std::string> keys;
        for (const auto& w : plan.txn.writes) keys.push_back(w.key);
        refresh(n, keys);
      }
    }
    send(c.stops(now()));
    if (plan.empty() || (went && !plan.more)) break;
  }
  for (const auto& txn : {c.finish_one(), c.sweep_orphans()}) {
    if (!txn) continue;
    const auto done = commit(n, *txn);
    if (done.outcome == Outcome::kDone) {
      c.ledger().apply(*txn, done.revision, now());
      node.rung = true;
    }
  }
}

void World::fleet(std::size_t n) {
  NodeSim& node = nodes_[n];
  auto& c = *node.controller;
  node.next_fleet = t_ + 1;
  if (!c.leads(now())) return;
  if (c.ledger().catalogue().empty()) {
    Json types = Json::array();
    for (const auto& [type, cores] : {std::pair("small", 4), std::pair("big", 8)}) {
      types.push_back({{"sku", type},
                       {"cores", cores},
                       {"gpus", 0},
                       {"memory_gb", cores * 4},
                       {"price", cores * 0.1},
                       {"market_price", cores * 0.04},
                       {"ready_s", 5},
                       {"fetch_gb_per_s", 1},
                       {"cache_gb", 50},
                       {"paddocks", {"a", "b"}}});
    }
    protocol::Transaction txn;
    txn.writes.push_back({protocol::kCatalogueKey, Json{{"breeds", types}}, {}});
    commit(n, txn);
    return;
  }
  auto actions = c.plan_fleet(now(), 1000 + t_);
  if (cloud_down_) return;
  if (!actions.release.empty()) {
    for (const auto& id : actions.release) {
      workers_.erase(id.get());
      ++releases_;
    }
    c.released(actions.release, now());
    node.rung = true;
  }
  for (const auto& r : actions.plan.rent) {
    const std::string hire =
        name(n) + "-" + std::to_string(c.self().life.get()) + "-" + std::to_string(++node.hires);
    if (hires_.contains(hire)) broken("a rental's name is used twice: " + hire);
    auto& got = hires_[hire];
    const bool offered = !r.kind.spot || spot_offered_;
    for (int i = 0; offered && i < r.count && capacity_[r.kind.type] > 0; ++i) {
      --capacity_[r.kind.type];
      const std::string id = "i-" + std::to_string(next_machine_++);
      add_worker(id, r.kind.type, r.kind.zone, r.kind.spot, t_ + 5);
      got.emplace_back(id);
    }
    if (static_cast<int>(got.size()) < r.count) c.refused(r.kind, now());
    c.rented(r.kind, got, 1000 + t_);
  }
}

void World::step_node(std::size_t n) {
  NodeSim& node = nodes_[n];
  if (!node.up) {
    if (node.back_at >= 0 && t_ >= node.back_at) start_node(n);
    return;
  }
  if (t_ < node.busy_until || t_ < node.frozen_until) return;
  if (!node.loaded) load(n);
  if (!node.loaded) return;
  auto& c = *node.controller;
  if (state_reachable(n)) {
    const double lag = watch_lag_.contains(n) ? watch_lag_[n] : 0;
    take_in(n, lag);
  }
  if (t_ >= node.next_beat || node.beat_now) beat(n);
  if (t_ >= node.next_tell) {
    node.next_tell = t_ + 0.7;
    for (std::size_t m = 0; m < nodes_.size(); ++m) {
      if (!takes_word(n, m)) continue;
      const auto status = c.status(base::MemberId(name(m)), now());
      const auto said = nodes_[m].controller->heard_status(status, now());
      c.status_taken(base::MemberId(name(m)), said.again ? 0 : status.upto);
      if (said.again) node.next_tell = t_;
      c.sibling_reached(base::MemberId(name(m)), now());
      c.machines_gone(said.gone, now());
      c.close_idle(said.close);
      c.drain(said.drain);
    }
  }
  if (t_ >= node.next_round || node.rung) round(n);
  if (t_ >= node.next_fleet) fleet(n);
}

// --- users and rules

void World::submit(std::size_t n, JobSim& job) {
  Json j = to_json(job.spec);
  if (!nodes_[n].up || !nodes_[n].loaded) return;
  const auto r = nodes_[n].users->submit(j.dump(), now());
  if (r.status == 201 || r.status == 200) job.accepted = true;
  if ((r.status == 400 || r.status == 422) && job.accepted)
    broken("forgotten: " + job.spec.id.get());
}

bool World::troubled() const {
  if (state_down_ || !cuts_.empty() || !late_commit_.empty() || !watch_lag_.empty()) return true;
  return std::any_of(nodes_.begin(), nodes_.end(), [this](const NodeSim& n) {
    return !n.up || !n.loaded || t_ < n.frozen_until;
  });
}

void World::poll() {
  next_poll_ = t_ + 0.5;
  if (troubled()) troubles_over_ = t_;
  for (auto& [id, job] : jobs_) {
    if (!job.accepted) submit(0, job);
    if (!job.accepted) continue;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!nodes_[n].up || !nodes_[n].loaded || t_ < nodes_[n].frozen_until || unasked_.contains(n))
        continue;
      if (job.cancel_asked && !job.cancelled_at && job.told_final.empty()) {
        const auto r = nodes_[n].users->cancel(id, now());
        if (r.status == 200) job.cancelled_at = t_;
      }
      const auto r = nodes_[n].users->status(id);
      if (r.status == 404) broken("forgotten: " + id.get());
      if (r.status != 200) continue;
      job.known_at = t_;
      std::string status = Json::parse(r.body)["status"];
      if (status == "withdrawn") status = "cancelled";  // the wire's word for it
      if (!job.told_final.empty() && status != job.told_final) {
        broken("went_back: " + id.get() + " from " + job.told_final + " to " + status);
      }
      if (status == "done" && job.done.size() < job.spec.tasks) broken("not_done: " + id.get());
      if (status == "cancelled" && !job.cancel_asked)
        broken("went_back: " + id.get() + " cancelled by nobody");
      if (status == "done" || status == "cancelled") job.told_final = status;
    }
  }
  check_waiting();
  for (const auto& [id, job] : jobs_) {
    if (job.accepted && t_ - std::max(job.known_at, troubles_over_) > kForgottenAfter)
      broken("forgotten: no question about " + id.get() + " is answered");
  }
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    if (!nodes_[n].up || !nodes_[n].loaded || unasked_.contains(n)) continue;
    if (nodes_[n].users->status(JobId("run-999999")).status == 200) broken("invented: run-999999");
  }
}

void World::check_rules() {
  std::map<std::string, double> use;
  for (const auto& [id, w] : workers_) {
    if (!w.alive) continue;
    for (const auto& [task, attempts] : w.tasks) {
      const auto job = jobs_.find(task.job);
      if (job == jobs_.end()) continue;
      for (const Task& a : attempts) {
        if (a.state != "running") continue;
        use[job->second.spec.team] += job->second.spec.need.cores();
        if (job->second.cancelled_at && t_ > *job->second.cancelled_at + cancel_s_) {
          broken("ran_cancelled: " + task.job.get() + "/" + std::to_string(task.no));
          return;
        }
      }
    }
  }
  for (const Json& team : Json::parse("[" + teams_ + "]")) {
    const double most = team["cpus_max"];
    const double used = use[team["name"]];
    if (most > 0 && used > most + 1e-6) {
      broken("quota: team " + team["name"].get<std::string>() + " uses " + std::to_string(used));
    }
  }
}

// Is a task of a job left waiting though a machine that fits has room and its team is under its limit?
void World::check_waiting() {
  std::map<std::string, double> team_use;
  std::map<std::string, double> used;
  std::map<JobId, std::set<TaskNo>> on;  // on a machine, or ended there
  for (const auto& [id, w] : workers_) {
    for (const auto& [task, attempts] : w.tasks) {
      const auto job = jobs_.find(task.job);
      if (job == jobs_.end()) continue;
      for (const Task& a : attempts) {
        if (!active(a.state)) continue;
        on[task.job].insert(task.no);
        used[id] += job->second.spec.need.cores();
        team_use[job->second.spec.team] += job->second.spec.need.cores();
      }
    }
  }
  std::map<std::string, double> limits;
  for (const Json& t : Json::parse("[" + teams_ + "]")) {
    const double most = t["cpus_max"];
    limits[t["name"]] = most > 0 ? most : 1e9;
  }
  for (auto& [id, job] : jobs_) {
    const auto& spec = job.spec;
    // A job that fails wherever it runs waits for ever: it is left waiting if it is not tried again.
    if (job.fails_after && job.starts > job.starts_seen) job.room_since.reset();
    job.starts_seen = job.starts;
    std::set<TaskNo> busy = on[id];
    if (spec.kind != protocol::Kind::kService) busy.insert(job.done.begin(), job.done.end());
    const bool waits = job.accepted && !job.cancel_asked && busy.size() < spec.tasks;
    const bool room =
        waits && team_use[spec.team] + spec.need.cores() <= limits.at(spec.team) + 1e-6 &&
        std::any_of(workers_.begin(), workers_.end(), [&](const auto& m) {
          const Worker& w = m.second;
          return w.alive && !w.hung && !w.sick && !w.deaf && !w.mute && !w.taken_at &&
                 t_ >= w.boots && coordination::may_run(spec, w.type, w.zone, w.spot) &&
                 used[m.first] + spec.need.cores() <= cores_of(w.type) + 1e-6;
        });
    // Gangs and jobs bound to one zone or spread need more than one machine's room.
    if (!room || troubled() || spec.kind == protocol::Kind::kGang || spec.one_zone || spec.spread) {
      job.room_since.reset();
    } else if (!job.room_since) {
      job.room_since = t_;
    } else if (t_ - *job.room_since > kLeftWaitingAfter) {
      broken("left waiting: " + id.get() + " though a machine has room for it");
    }
  }
}

// Half of each class, of each team, and of each class's largest jobs is served, of those that have had
// so long for it. A day that fails this counts for nothing.
void World::check_served(double after) {
  std::map<std::string, std::pair<std::size_t, std::size_t>> served;
  std::map<std::string, TaskNo> largest;
  for (const auto& [id, job] : jobs_) {
    auto& most = largest[job.spec.job_class];
    most = std::max(most, job.spec.tasks);
  }
  for (const auto& [id, job] : jobs_) {
    if (job.cancel_asked || t_ - std::max(job.submitted, troubles_over_) < after) continue;
    const auto count = [&served](const std::string& group, bool is_served) {
      ++served[group].second;
      if (is_served) ++served[group].first;
    };
    const bool began = job.began.has_value();
    count("class " + job.spec.job_class, began);
    count("team " + job.spec.team, began);
    if (job.spec.tasks == largest[job.spec.job_class])
      count("the largest of class " + job.spec.job_class, began && job.waited <= kServedWithin);
  }
  for (const auto& [group, n] : served) {
    if (n.first * 2 < n.second)
      broken("served of " + group + ": " + std::to_string(n.first) + " of " +
             std::to_string(n.second));
  }
}

void World::step() {
  t_ += kStep;
  expire_leases();
  for (std::size_t i = 0; i < late_commits_.size();) {
    if (t_ < late_commits_[i].first) {
      ++i;
      continue;
    }
    apply(late_commits_[i].second);
    late_commits_.erase(late_commits_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  for (std::size_t i = 0; i < late_.size();) {
    const auto w = workers_.find(late_[i].machine);
    const bool hung = w != workers_.end() && w->second.hung;
    if (hung || (late_[i].at >= 0 && t_ < late_[i].at)) {
      ++i;
      continue;
    }
    const Late l = late_[i];
    late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(i));
    deliver(l.order, l.from);
  }
  for (std::size_t i = 0; i < late_reports_.size();) {
    if (t_ < late_reports_[i].at) {
      ++i;
      continue;
    }
    const LateReport late = late_reports_[i];
    late_reports_.erase(late_reports_.begin() + static_cast<std::ptrdiff_t>(i));
    for (NodeSim& node : nodes_) {
      if (!node.up || !node.loaded) continue;
      node.controller->hello(late.report, now());
      node.rung = true;
    }
  }
  step_workers();
  for (std::size_t n = 0; n < nodes_.size(); ++n) step_node(n);
  if (t_ >= next_poll_) poll();
  check_rules();
}

void World::command(const std::string& line) {
  std::istringstream in(line);
  std::string word;
  in >> word;
  const auto arg = [&] {
    std::string s;
    in >> s;
    return s;
  };
  const auto index = [](const std::string& n) {
    return static_cast<std::size_t>(std::stoul(n.substr(1)));
  };
  std::map<std::string, std::string> options;
  const auto rest = [&] {
    std::string s;
    while (in >> s) {
      const auto eq = s.find('=');
      options[s.substr(0, eq)] = eq == std::string::npos ? "1" : s.substr(eq + 1);
    }
  };
  const auto at_most = [&](const std::string& of, std::size_t n) {
    const auto want = std::stoul(arg());
    if (n > want)
      broken("expected at most " + std::to_string(want) + " " + of + ", not " + std::to_string(n));
  };
  const auto option = [&](const char* k, double d) {
    return options.contains(k) ? std::stod(options[k]) : d;
  };
  if (word == "workers") {
    report_s_ = std::stod(arg());
    lease_s_ = std::stod(arg());
  } else if (word == "team") {
    const std::string team = arg();
    const std::string least = arg(), most = arg();
    teams_ += R"(,{"name":")" + team + R"(","cpus":)" + least + R"(,"cpus_max":)" + most + "}";
  } else if (word == "operators") {
    // A line of the operators' settings.
    std::string setting;
    std::getline(in, setting);
    operators_ += setting.substr(1) + "\n";
  } else if (word == "nodes") {
    nodes_.resize(std::stoul(arg()));
    for (std::size_t n = 0; n < nodes_.size(); ++n) start_node(n);
  } else if (word == "capacity") {
    const std::string type = arg();
    capacity_[type] = std::stoi(arg());
  } else if (word == "machine") {
    const std::string id = arg(), type = arg(), zone = arg();
    add_worker(id, type, zone, arg() == "spot", t_);
  } else if (word == "machines") {
    // machines <count> <type> <zone>: of a large fleet, numbered on.
    const int count = std::stoi(arg());
    const std::string type = arg(), zone = arg();
    for (int i = 0; i < count; ++i) {
      add_worker("f" + std::to_string(1000 + ++fleet_), type, zone, false, t_);
    }
  } else if (word == "some") {
    // some <every> <what>: die, hang or wake each so-manieth machine of the large fleet.
    const int every = std::stoi(arg());
    const std::string what = arg();
    int i = 0;
    for (auto& [id, w] : workers_) {
      if (id[0] != 'f' || ++i % every != 0) continue;
      if (what == "die") {
        w.alive = false;
        w.tasks.clear();
      } else {
        w.hung = what == "hang";
      }
    }
  } else if (word == "freeze") {
    // A controller stands still, its clocks run on; then it goes on where it was.
    const std::size_t n = index(arg());
    nodes_[n].frozen_until = t_ + std::stod(arg());
  } else if (word == "submit") {
    const std::string id = arg(), kind = arg();
    rest();
    JobSim job;
    job.spec.id = JobId(id);
    job.spec.job_class = options.contains("class") ? options["class"] : "c";
    job.spec.team = options.contains("team") ? options["team"] : "t";
    job.spec.kind = kind == "service" ? protocol::Kind::kService
                    : kind == "gang"  ? protocol::Kind::kGang
                                      : protocol::Kind::kArray;
    const std::map<std::string, protocol::Rank> ranks = {{"critical", protocol::Rank::kCritical},
                                                         {"urgent", protocol::Rank::kUrgent},
                                                         {"", protocol::Rank::kStandard},
                                                         {"standard", protocol::Rank::kStandard},
                                                         {"idle", protocol::Rank::kIdle}};
    job.spec.rank = ranks.at(options["rank"]);
    job.spec.tasks = static_cast<TaskNo>(option("tasks", 1));
    job.spec.need.v = {option("cores", 1), 0, option("memory", 1)};
    job.spec.image = "img";
    if (options.contains("deadline")) job.spec.deadline = base::Seconds(option("deadline", 0));
    job.spec.estimate = base::Seconds(option("estimate", 0));
    job.spec.spot = options.contains("spot");
    job.spec.one_zone = options.contains("one_zone");
    job.spec.spread = options.contains("spread");
    if (options.contains("zone")) job.spec.zone = options["zone"];
    if (options.contains("type")) job.spec.types = {{options["type"]}};
    job.run = option("run", 10);
    if (options.contains("fails")) job.fails_after = option("fails", 0);
    job.submitted = job.known_at = t_;
    submit(static_cast<std::size_t>(option("node", 0)), jobs_[job.spec.id] = job);
  } else if (word == "cancel") {
    jobs_.at(JobId(arg())).cancel_asked = true;
    next_poll_ = 0;
  } else if (word == "repeat") {
    // repeat <times> <every> <command>: # stands for a number of its own.
    const int times = std::stoi(arg());
    const double every = std::stod(arg());
    std::string what;
    std::getline(in, what);
    for (int i = 0; i < times && failures_.empty(); ++i) {
      std::string one = what;
      if (const auto at = one.find('#'); at != std::string::npos) {
        one.replace(at, 1, std::to_string(100000 + ++repeated_));
      }
      command(one);
      command("run " + std::to_string(every));
    }
  } else if (word == "run") {
    const double until = t_ + std::stod(arg());
    while (t_ < until - 1e-9 && failures_.empty()) step();
  } else if (word == "crash") {
    const std::size_t n = index(arg());
    nodes_[n].up = false;
    const std::string back = arg();
    nodes_[n].back_at = back.empty() ? -1 : t_ + std::stod(back);
  } else if (word == "cut" || word == "mend") {
    const std::string a = arg(), b = arg();
    if (word == "cut") {
      cuts_.insert({a, b});
    } else {
      cuts_.erase({a, b});
    }
  } else if (word == "state") {
    state_down_ = arg() == "down";
    if (!state_down_) {
      for (auto& [id, l] : leases_) l.until = t_ + l.ttl;
    }
  } else if (word == "spot") {
    spot_offered_ = arg() == "on";
  } else if (word == "silent_cuts") {
    silent_cuts_ = arg() == "on";
  } else if (word == "cloud") {
    cloud_down_ = arg() == "down";
  } else if (word == "die") {
    Worker& w = workers_.at(arg());
    w.alive = false;
    w.tasks.clear();
  } else if (word == "deaf" || word == "hears") {
    workers_.at(arg()).deaf = word == "deaf";
  } else if (word == "mute" || word == "speaks") {
    workers_.at(arg()).mute = word == "mute";
  } else if (word == "copies") {
    Worker& w = workers_.at(arg());
    w.copies_after = std::stod(arg());
  } else if (word == "reboot") {
    // Back before it was missed: nothing is on it, and its next session has begun.
    Worker& w = workers_.at(arg());
    end_session(w);
    w.boots = w.next_report = w.last_answered = t_ + std::stod(arg());
  } else if (word == "hang") {
    workers_.at(arg()).hung = true;
  } else if (word == "wake") {
    workers_.at(arg()).hung = false;
  } else if (word == "sick") {
    workers_.at(arg()).sick = true;
  } else if (word == "notice") {
    Worker& w = workers_.at(arg());
    w.taken_at = t_ + std::stod(arg());
  } else if (word == "hold_orders") {
    hold_orders_until_ = t_ + std::stod(arg());
  } else if (word == "lose_orders") {
    lose_orders_ = arg() == "on";
  } else if (word == "repeat_orders") {
    repeat_orders_ = arg() == "on";
  } else if (word == "lose_commit") {
    lose_commit_.insert(index(arg()));
  } else if (word == "slow_load") {
    const std::size_t n = index(arg());
    nodes_[n].load_takes = std::stod(arg());
  } else if (word == "late_commit") {
    const std::size_t n = index(arg());
    late_commit_[n] = std::stod(arg());
  } else if (word == "watch_lag") {
    const std::size_t n = index(arg());
    watch_lag_[n] = std::stod(arg());
  } else if (word == "unasked") {
    unasked_.insert(index(arg()));
  } else if (word == "expect") {
    const std::string what = arg();
    if (what == "done" || what == "cancelled") {
      const JobSim& job = jobs_.at(JobId(arg()));
      if (job.told_final != what)
        broken("expected " + what + ": " + job.spec.id.get() + " is '" + job.told_final + "'");
    } else if (what == "running") {
      const JobId id(arg());
      const auto want = std::stoul(arg());
      std::size_t n = 0;
      for (const auto& [m, w] : workers_) {
        for (const auto& [task, attempts] : w.tasks) {
          for (const Task& a : attempts)
            n += w.alive && !w.hung && task.job == id && a.state == "running";
        }
      }
      if (n != want)
        broken("expected " + std::to_string(want) + " running of " + id.get() + ", not " +
               std::to_string(n));
    } else if (what == "began") {
      // ... within so many seconds of its submission.
      const JobSim& job = jobs_.at(JobId(arg()));
      const double within = std::stod(arg());
      if (!job.began || *job.began - job.submitted > within)
        broken("expected " + job.spec.id.get() + " to have begun within " + std::to_string(within));
    } else if (what == "served") {
      check_served(0);
    } else if (what == "most_views") {
      at_most("views", store_.at(protocol::kViewKey).value["epoch"].get<std::size_t>());
    } else if (what == "most_releases") {
      at_most("releases", static_cast<std::size_t>(releases_));
    } else if (what == "gone") {
      const std::string id = arg();
      if (workers_.contains(id)) broken("expected machine " + id + " to be returned");
    } else if (what == "kept") {
      const std::string id = arg();
      if (!workers_.contains(id)) broken("expected machine " + id + " to be kept");
    } else if (what == "machines") {
      const auto want = std::stoul(arg());
      if (workers_.size() != want)
        broken("expected " + std::to_string(want) + " machines, not " +
               std::to_string(workers_.size()));
    } else if (what == "most_starts_of") {
      const JobId id(arg());
      at_most("starts of " + id.get(), jobs_.at(id).starts);
    } else if (what == "most_starts") {
      at_most("starts", starts_);
    } else if (what == "submit") {
      const int status = std::stoi(arg());
      std::string body;
      std::getline(in, body);
      const auto r = nodes_[0].users->submit(body, now());
      if (r.status != status)
        broken("expected " + std::to_string(status) + ", not " + std::to_string(r.status) + " " +
               r.body);
      if (r.status == 503 && r.retry_after_s == 0) broken("a refusal without Retry-After");
    } else {
      broken("unknown expectation: " + line);
    }
  } else {
    broken("unknown command: " + line);
  }
}

std::vector<std::string> World::run(const std::string& text) {
  std::istringstream in(text);
  std::string line;
  int number = 0;
  while (failures_.empty() && std::getline(in, line)) {
    ++number;
    if (line.empty() || line[0] == '#') continue;
    command(line);
    if (!failures_.empty()) failures_.push_back("in line " + std::to_string(number) + ": " + line);
  }
  if (failures_.empty()) check_served(kServedWithin);
  if (starts_ == 0 && failures_.empty()) broken("nothing_ran");
  return failures_;
}

}  // namespace saddleslip::testing
