// Plays the loops of the controllers' processes in steps of simulated time.
#include <algorithm>

#include "protocol/id_lists.h"
#include "simulation/simulated_cluster.h"
#include "simulation/simulation_internal.h"

namespace saddleslip::testing {

void SimulatedCluster::start_node(std::size_t n) {
  SimulatedController& node = nodes_[n];
  Json peers = Json::array();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (i != n) peers.push_back({{"member", controller_name(i)}, {"address", "10.0.0.1:1"}});
  }
  Json j = {
      {"member", controller_name(n)},
      {"serve_on", "10.0.0.1:1"},
      {"peer_listen", "10.0.0.1:2"},
      {"siblings", peers},
      {"endpoints", {{"cloud", "10.0.0.1:3"}, {"state", "10.0.0.1:4"}}},
      {"settings",
       {{"size", nodes_.size()},
        {"teams", Json::parse("[" + teams_ + "]")},
        {"workers", {{"report_s", heartbeat_s_}, {"lease_s", lease_s_}, {"cancel_s", cancel_s_}}},
        {"cloud", {{"list_lag_s", 5}}}}}};
  const auto section = [](const StateLimits& limits) {
    return Json{{"value_kb", static_cast<double>(limits.value_bytes) / 1024.0},
                {"txn_ops", limits.writes}};
  };
  if (limits_) j["settings"]["state"] = section(*limits_);
  if (next_limits_ && node.upgraded) j["settings"]["state"]["next"] = section(*next_limits_);
  node.settings = base::parse_settings(j.dump());
  base::apply_tuning(node.settings, operators_);
  node.mutex = std::make_unique<std::mutex>();
  node.controller = std::make_unique<coordination::Controller>(node.settings);
  node.users = std::make_unique<UserApi>(
      node.settings, *node.mutex, *node.controller,
      UserApi::Store{[this, n] { return catch_up(n); },
                     [this, n](const std::string& key) { return state_.get(n, key); },
                     [this, n](const protocol::Transaction& txn) { return commit(n, txn); },
                     [this] { return clock_.wall_seconds(); },
                     [this, n] { nodes_[n].round_due = true; },
                     [this, n](const JobId& id) { broadcast_cancellation(n, id); }});
  node.up = true;
  node.loaded = false;
  node.lease.reset();
  node.next_renewal = node.next_round = node.next_peer_sync = node.next_fleet = node.busy_until = 0;
  node.back_at = node.records_at = -1;
}

bool SimulatedCluster::takes_word(std::size_t from, std::size_t n) const {
  return n != from && nodes_[n].up && nodes_[n].loaded &&
         clock_.seconds() >= nodes_[n].frozen_until &&
         !network_.is_cut(controller_name(from), controller_name(n));
}

void SimulatedCluster::broadcast_cancellation(std::size_t n, const JobId& id) {
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    if (!takes_word(n, m)) continue;
    nodes_[m].controller->notify_cancelled(id);
    nodes_[m].round_due = true;
  }
}

void SimulatedCluster::load(std::size_t n) {
  if (!state_.is_reachable_from(n)) return;
  SimulatedController& node = nodes_[n];
  auto& cache = node.controller->cache();
  const auto read = [&](bool records) {
    for (const auto& [key, k] : state_.records()) {
      if (key.starts_with(protocol::kFinals) || key.starts_with(protocol::kChunks) != records)
        continue;
      cache.apply({key, k.value, base::Version(k.version)}, clock_.now());
    }
  };
  if (node.records_at < 0) {
    read(false);
    node.load_from = state_.revision();
    node.records_at = clock_.seconds() + node.load_takes;
  }
  if (clock_.seconds() < node.records_at) return;
  read(true);
  cache.advance_to(base::Revision(node.load_from));
  node.records_at = -1;
  node.loaded = true;
}

void SimulatedCluster::take_in(std::size_t n, double lag) {
  SimulatedController& node = nodes_[n];
  auto& cache = node.controller->cache();
  std::uint64_t upto = cache.revision().get();
  for (const auto& change : state_.changes()) {
    if (change.revision <= cache.revision().get() || change.changed_at + lag > clock_.seconds())
      continue;
    if (cache.apply(change.item, clock_.now())) node.round_due = true;
    if (change.item.key == protocol::kViewKey || change.item.key == protocol::kLeadKey)
      node.renew_now = true;
    upto = std::max(upto, change.revision);
  }
  cache.advance_to(base::Revision(upto));
  node.controller->install_view(clock_.now());
}

bool SimulatedCluster::catch_up(std::size_t n) {
  if (!nodes_[n].loaded || !state_.is_reachable_from(n)) return false;
  take_in(n, 0);
  return true;
}

void SimulatedCluster::refresh(std::size_t n, const std::vector<std::string>& keys) {
  for (const auto& key : keys) {
    if (key.compare(0, protocol::kJobs.size(), protocol::kJobs) != 0 &&
        key.compare(0, protocol::kChunks.size(), protocol::kChunks) != 0) {
      continue;
    }
    const auto got = state_.get(n, key);
    if (got.answered && got.item.version.get() != 0)
      nodes_[n].controller->cache().apply(got.item, clock_.now());
  }
}

void SimulatedCluster::renew_lease(std::size_t n) {
  SimulatedController& node = nodes_[n];
  const auto ttl = node.settings.tuning.member_ttl;
  node.next_renewal = clock_.seconds() + ttl.count() / 4;
  node.renew_now = false;
  if (!state_.is_reachable_from(n)) return;
  if (!node.lease) {
    node.lease = state_.grant_lease(ttl.count());
    const protocol::ControllerIncarnation incarnation{base::MemberId(controller_name(n)),
                                                      base::Incarnation(node.lease->get())};
    node.controller->begin_incarnation(incarnation, clock_.now());
    const auto txn = node.controller->member_record(*node.lease, false);
    const auto done = commit(n, txn);
    if (done.outcome != Outcome::kDone) {
      node.controller->end_incarnation();
      node.lease.reset();
      return;
    }
    node.controller->cache().apply(txn, done.revision, clock_.now());
  }
  if (!state_.renew_lease(*node.lease)) {
    node.lease.reset();
    node.controller->end_incarnation();
    node.renew_now = true;
    return;
  }
  node.controller->tell_time(clock_.now(), clock_.wall_seconds());
  node.controller->lease_acquired(clock_.now());
  const std::uint64_t cache_generation = node.controller->cache_generation();
  if (catch_up(n)) node.controller->lease_renewed(clock_.now(), cache_generation);
  if (const auto txn = node.controller->propose_ownership_claims(clock_.now())) commit(n, *txn);
  if (const auto txn = node.controller->propose_membership_change(clock_.now(), *node.lease)) {
    const auto done = commit(n, *txn);
    if (done.outcome == Outcome::kDone) {
      node.controller->cache().apply(*txn, done.revision, clock_.now());
      node.controller->install_view(clock_.now());
      node.renew_now = true;
      node.round_due = true;
    }
  }
}

void SimulatedCluster::read_unresolved_dependencies(std::size_t n) {
  auto& cache = nodes_[n].controller->cache();
  for (const JobId& id : cache.unresolved_dependencies()) {
    const auto got = state_.get(n, protocol::final_key(id));
    const auto state = got.answered ? protocol::parse_final(got.item.value) : std::nullopt;
    if (state) cache.remember_final(id, *state);
  }
}

void SimulatedCluster::trace_order(std::size_t node, const coordination::CommandBatch& order) {
  if (!trace_.is_open()) return;
  trace_.write(clock_.seconds(), "order", controller_name(node), order.machine.get(),
               protocol::orders(order.fencing_token, order.agent_incarnation, order.commands));
}

void SimulatedCluster::round(std::size_t n) {
  SimulatedController& node = nodes_[n];
  auto& c = *node.controller;
  node.round_due = false;
  node.next_round = clock_.seconds() + node.settings.tuning.round_period.count();
  const auto send = [&](const std::vector<coordination::CommandBatch>& orders) {
    for (const auto& o : orders) {
      trace_order(n, o);
      for (const Command& command : o.commands) {
        if (command.op == Command::Op::kRun) check_command(n, command.task);
      }
      if (lose_orders_) continue;
      if (clock_.seconds() < hold_orders_until_) {
        late_.push_back({hold_orders_until_, o.machine.get(), o, n});
        continue;
      }
      if (network_.is_cut(controller_name(n), "workers") ||
          network_.is_cut(controller_name(n), o.machine.get()))
        continue;
      const auto w = workers_.find(o.machine.get());
      if (w != workers_.end() && w->second.hung) {
        late_.push_back({-1, o.machine.get(), o, n});
        continue;
      }
      deliver(o, n);
      if (repeat_orders_) late_.push_back({clock_.seconds() + 20, o.machine.get(), o, n});
    }
  };
  for (int i = 0; i < 6; ++i) {
    c.install_view(clock_.now());
    auto routed = c.route(clock_.now());
    for (auto& [member, offers] : routed) {
      if (trace_.is_open())
        trace_.write(clock_.seconds(), "offers", controller_name(n), member.get(),
                     to_json(offers).dump());
      for (std::size_t m = 0; m < nodes_.size(); ++m) {
        if (controller_name(m) != member.get() || !nodes_[m].up ||
            (m != n && network_.is_cut(controller_name(n), controller_name(m))))
          continue;
        nodes_[m].controller->add_offers(offers, clock_.now());
        nodes_[m].round_due = true;
      }
    }
    const auto plan = c.plan(clock_.now(), coordination::WriteBudget::kNormal);
    bool went = false;
    if (!plan.empty()) {
      const auto done = commit(n, plan.txn);
      went = done.outcome == Outcome::kDone;
      if (went) {
        send(c.committed(plan, base::Version(done.revision.get()), clock_.now()));
      } else if (done.outcome == Outcome::kConflict) {
        refresh(n, done.failed);
      } else if (done.outcome == Outcome::kUnknown) {
        std::vector<std::string> keys;
        for (const auto& w : plan.txn.writes) keys.push_back(w.key);
        refresh(n, keys);
      }
    }
    send(c.stops(clock_.now()));
    if (plan.empty() || (went && !plan.more)) break;
  }
  for (const auto& txn :
       {c.finalize_one_job(clock_.now()), c.split_one_record(clock_.now()), c.collect_garbage()}) {
    if (!txn) continue;
    const auto done = commit(n, *txn);
    if (done.outcome == Outcome::kDone) {
      c.cache().apply(*txn, done.revision, clock_.now());
      node.round_due = true;
    }
  }
  read_unresolved_dependencies(n);
}

void SimulatedCluster::fleet(std::size_t n) {
  SimulatedController& node = nodes_[n];
  auto& c = *node.controller;
  node.next_fleet = clock_.seconds() + 1;
  if (!c.is_leader(clock_.now())) return;
  if (c.cache().catalogue().empty()) {
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
  auto actions = c.plan_scaling(clock_.now(), clock_.wall_seconds());
  if (cloud_down_) return;
  if (!actions.release.empty()) {
    for (const auto& id : actions.release) {
      trace_.write(clock_.seconds(), "release", controller_name(n), id.get());
      workers_.erase(id.get());
      ++releases_;
    }
    c.released(actions.release, clock_.now());
    node.round_due = true;
  }
  for (const auto& r : actions.plan.scale_out) {
    const std::string rental = controller_name(n) + "-" +
                               std::to_string(c.self().incarnation.get()) + "-" +
                               std::to_string(++node.rental_count);
    if (rentals_.contains(rental)) failures_.add("a rental's name is used twice: " + rental);
    trace_.write(clock_.seconds(), "rent", rental, r.kind.type, r.kind.zone, r.kind.spot, r.count);
    auto& got = rentals_[rental];
    const bool offered = !r.kind.spot || spot_offered_;
    for (int i = 0; offered && i < r.count && capacity_[r.kind.type] > 0; ++i) {
      --capacity_[r.kind.type];
      const std::string id = "i-" + std::to_string(next_machine_++);
      add_worker(id, r.kind.type, r.kind.zone, r.kind.spot, clock_.seconds() + boots_after_);
      got.emplace_back(id);
    }
    if (static_cast<int>(got.size()) < r.count) c.refused(r.kind, clock_.now());
    c.rented(r.kind, got, clock_.wall_seconds());
  }
}

void SimulatedCluster::step_node(std::size_t n) {
  SimulatedController& node = nodes_[n];
  if (!node.up) {
    if (node.back_at >= 0 && clock_.seconds() >= node.back_at) start_node(n);
    return;
  }
  if (clock_.seconds() < node.busy_until || clock_.seconds() < node.frozen_until) return;
  if (!node.loaded) load(n);
  if (!node.loaded) return;
  auto& c = *node.controller;
  if (state_.is_reachable_from(n)) {
    const double lag = watch_lag_.contains(n) ? watch_lag_[n] : 0;
    take_in(n, lag);
  }
  if (clock_.seconds() >= node.next_renewal || node.renew_now) renew_lease(n);
  if (clock_.seconds() >= node.next_peer_sync) {
    node.next_peer_sync = clock_.seconds() + 0.7;
    for (std::size_t m = 0; m < nodes_.size(); ++m) {
      if (!takes_word(n, m)) continue;
      const auto status = c.status(base::MemberId(controller_name(m)), clock_.now());
      const auto said = nodes_[m].controller->handle_peer_status(status, clock_.now());
      if (trace_.is_open()) {
        trace_.write_digest(clock_.seconds(),
                            std::string("status ")
                                .append(controller_name(n))
                                .append(" ")
                                .append(controller_name(m)),
                            to_json(status, clock_.now()).dump() +
                                protocol::ids_to_json(said.released).dump() +
                                protocol::ids_to_json(said.cordon).dump() +
                                protocol::ids_to_json(said.drain).dump());
      }
      c.status_acknowledged(base::MemberId(controller_name(m)), said.again ? 0 : status.upto);
      if (said.again) node.next_peer_sync = clock_.seconds();
      c.peer_reached(base::MemberId(controller_name(m)), clock_.now());
      c.mark_released(said.released, clock_.now());
      c.cordon_idle(said.cordon);
      c.drain(said.drain);
    }
  }
  if (clock_.seconds() >= node.next_round || node.round_due) round(n);
  if (clock_.seconds() >= node.next_fleet) fleet(n);
}

}  // namespace saddleslip::testing
