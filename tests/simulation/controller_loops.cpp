// The loops of the controllers' processes, run in steps of simulated time.
#include "protocol/id_lists.h"
#include "simulation/simulated_controllers.h"

namespace saddleslip::testing {

using Outcome = protocol::StateClient::Outcome;
using protocol::Json;

namespace {

constexpr double kPeerSyncPeriod = 0.7;
constexpr double kFleetPeriod = 1;
constexpr int kPlansPerRound = 6;

Json machine_type(const char* name, int cores) {
  return {{"sku", name},
          {"cores", cores},
          {"gpus", 0},
          {"memory_gb", cores * 4},
          {"price", cores * 0.1},
          {"market_price", cores * 0.04},
          {"ready_s", 5},
          {"fetch_gb_per_s", 1},
          {"cache_gb", 50},
          {"paddocks", {"a", "b"}}};
}

}  // namespace

void SimulatedControllers::step(ProtocolObserver& observer) {
  for (std::size_t n = 0; n < processes_.size(); ++n) step_process(n, observer);
}

void SimulatedControllers::step_process(std::size_t n, ProtocolObserver& observer) {
  ControllerProcess& process = processes_[n];
  const double now = clock_.seconds();
  if (!process.is_up) {
    if (process.back_at && now >= *process.back_at) start(n);
    return;
  }
  if (now < process.busy_until || is_frozen(n)) return;
  if (!process.is_loaded) load(n);
  if (!process.is_loaded) return;
  if (state_.is_reachable_from(n)) apply_changes(n, process.watch_lag_s);
  if (now >= process.next_renewal_at || process.is_renewal_due) renew_lease(n);
  if (now >= process.next_peer_sync_at) sync_peers(n);
  if (now >= process.next_round_at || process.is_round_due) run_round(n, observer);
  if (now >= process.next_fleet_plan_at) plan_fleet(n);
}

void SimulatedControllers::renew_lease(std::size_t n) {
  ControllerProcess& process = processes_[n];
  coordination::Controller& controller = *process.controller;
  process.next_renewal_at = clock_.seconds() + process.settings.tuning.member_ttl.count() / 4;
  process.is_renewal_due = false;
  if (!state_.is_reachable_from(n)) return;
  if (!process.lease && !join(n)) return;
  if (!state_.renew_lease(*process.lease)) {
    process.lease.reset();
    controller.end_incarnation();
    process.is_renewal_due = true;
    return;
  }
  controller.tell_time(clock_.now(), clock_.wall_seconds());
  controller.lease_acquired(clock_.now());
  const std::uint64_t cache_generation = controller.cache_generation();
  if (catch_up(n)) controller.lease_renewed(clock_.now(), cache_generation);
  propose_changes(n);
}

bool SimulatedControllers::join(std::size_t n) {
  ControllerProcess& process = processes_[n];
  coordination::Controller& controller = *process.controller;
  process.lease = state_.grant_lease(process.settings.tuning.member_ttl.count());
  controller.begin_incarnation(
      {base::MemberId(controller_name(n)), base::Incarnation(process.lease->get())}, clock_.now());
  const auto txn = controller.member_record(*process.lease, false);
  const auto done = commit(n, txn);
  if (done.outcome != Outcome::kDone) {
    controller.end_incarnation();
    process.lease.reset();
    return false;
  }
  controller.cache().apply(txn, done.revision, clock_.now());
  return true;
}

void SimulatedControllers::propose_changes(std::size_t n) {
  ControllerProcess& process = processes_[n];
  coordination::Controller& controller = *process.controller;
  if (const auto txn = controller.propose_ownership_claims(clock_.now())) commit(n, *txn);
  const auto txn = controller.propose_membership_change(clock_.now(), *process.lease);
  if (!txn) return;
  const auto done = commit(n, *txn);
  if (done.outcome != Outcome::kDone) return;
  controller.cache().apply(*txn, done.revision, clock_.now());
  controller.install_view(clock_.now());
  process.is_renewal_due = true;
  process.is_round_due = true;
}

void SimulatedControllers::sync_peers(std::size_t n) {
  processes_[n].next_peer_sync_at = clock_.seconds() + kPeerSyncPeriod;
  for (std::size_t to = 0; to < processes_.size(); ++to) {
    if (takes_message(n, to)) sync_peer(n, to);
  }
}

void SimulatedControllers::sync_peer(std::size_t from, std::size_t to) {
  coordination::Controller& controller = *processes_[from].controller;
  const base::MemberId peer(controller_name(to));
  const auto status = controller.status(peer, clock_.now());
  const auto reply = processes_[to].controller->handle_peer_status(status, clock_.now());
  if (trace_.is_open()) {
    trace_.write_digest(
        clock_.seconds(),
        std::string("status ").append(controller_name(from)).append(" ").append(peer.get()),
        to_json(status, clock_.now()).dump() + protocol::ids_to_json(reply.released).dump() +
            protocol::ids_to_json(reply.cordon).dump() + protocol::ids_to_json(reply.drain).dump());
  }
  controller.status_acknowledged(peer, reply.again ? 0 : status.upto);
  if (reply.again) processes_[from].next_peer_sync_at = clock_.seconds();
  controller.peer_reached(peer, clock_.now());
  controller.mark_released(reply.released, clock_.now());
  controller.cordon_idle(reply.cordon);
  controller.drain(reply.drain);
}

void SimulatedControllers::run_round(std::size_t n, ProtocolObserver& observer) {
  ControllerProcess& process = processes_[n];
  process.is_round_due = false;
  process.next_round_at = clock_.seconds() + process.settings.tuning.round_period.count();
  for (int i = 0; i < kPlansPerRound; ++i) {
    process.controller->install_view(clock_.now());
    send_offers(n);
    if (!plan_once(n, observer)) break;
  }
  maintain_records(n);
  read_unresolved_dependencies(n);
}

void SimulatedControllers::send_offers(std::size_t n) {
  for (const auto& [member, offers] : processes_[n].controller->route(clock_.now())) {
    if (trace_.is_open()) {
      trace_.write(clock_.seconds(), "offers", controller_name(n), member.get(),
                   to_json(offers).dump());
    }
    for (std::size_t to = 0; to < processes_.size(); ++to) {
      const bool is_cut = to != n && network_.is_cut(controller_name(n), controller_name(to));
      if (controller_name(to) != member.get() || !processes_[to].is_up || is_cut) continue;
      processes_[to].controller->add_offers(offers, clock_.now());
      processes_[to].is_round_due = true;
    }
  }
}

bool SimulatedControllers::plan_once(std::size_t n, ProtocolObserver& observer) {
  coordination::Controller& controller = *processes_[n].controller;
  const auto plan = controller.plan(clock_.now(), coordination::WriteBudget::kNormal);
  bool is_committed = false;
  if (!plan.empty()) {
    const auto done = commit(n, plan.txn);
    is_committed = done.outcome == Outcome::kDone;
    if (is_committed) {
      send_commands(n, controller.committed(plan, base::Version(done.revision.get()), clock_.now()),
                    observer);
    } else if (done.outcome == Outcome::kConflict) {
      refresh(n, done.failed);
    } else if (done.outcome == Outcome::kUnknown) {
      std::vector<std::string> keys;
      for (const protocol::Put& put : plan.txn.writes) keys.push_back(put.key);
      refresh(n, keys);
    }
  }
  send_commands(n, controller.stops(clock_.now()), observer);
  return !plan.empty() && (!is_committed || plan.more);
}

void SimulatedControllers::send_commands(std::size_t n,
                                         const std::vector<coordination::CommandBatch>& batches,
                                         ProtocolObserver& observer) {
  for (const auto& batch : batches) {
    if (trace_.is_open()) {
      trace_.write(clock_.seconds(), "order", controller_name(n), batch.machine.get(),
                   protocol::orders(batch.fencing_token, batch.agent_incarnation, batch.commands));
    }
    for (const protocol::Command& command : batch.commands) {
      if (command.op == protocol::Command::Op::kRun) observer.on_start_commanded(n, command.task);
    }
    commands_.send(n, batch, *this);
  }
}

void SimulatedControllers::maintain_records(std::size_t n) {
  ControllerProcess& process = processes_[n];
  coordination::Controller& controller = *process.controller;
  for (const auto& txn :
       {controller.finalize_one_job(clock_.now()), controller.split_one_record(clock_.now()),
        controller.collect_garbage()}) {
    if (!txn) continue;
    const auto done = commit(n, *txn);
    if (done.outcome != Outcome::kDone) continue;
    controller.cache().apply(*txn, done.revision, clock_.now());
    process.is_round_due = true;
  }
}

void SimulatedControllers::plan_fleet(std::size_t n) {
  ControllerProcess& process = processes_[n];
  coordination::Controller& controller = *process.controller;
  process.next_fleet_plan_at = clock_.seconds() + kFleetPeriod;
  if (!controller.is_leader(clock_.now())) return;
  if (controller.cache().catalogue().empty()) return write_catalogue(n);
  const auto actions = controller.plan_scaling(clock_.now(), clock_.wall_seconds());
  if (cloud_.is_down()) return;
  for (const auto& machine : actions.release) {
    trace_.write(clock_.seconds(), "release", controller_name(n), machine.get());
    cloud_.release(machine);
  }
  if (!actions.release.empty()) {
    controller.released(actions.release, clock_.now());
    process.is_round_due = true;
  }
  for (const auto& rental : actions.plan.scale_out) scale_out(n, rental);
}

void SimulatedControllers::write_catalogue(std::size_t n) {
  const Json types = {machine_type("small", 4), machine_type("big", 8)};
  protocol::Transaction txn;
  txn.writes.push_back({protocol::kCatalogueKey, Json{{"breeds", types}}, {}});
  commit(n, txn);
}

void SimulatedControllers::scale_out(std::size_t n, const coordination::ScaleOut& rental) {
  ControllerProcess& process = processes_[n];
  coordination::Controller& controller = *process.controller;
  const auto& kind = rental.kind;
  const std::string name = controller_name(n) + "-" +
                           std::to_string(controller.self().incarnation.get()) + "-" +
                           std::to_string(++process.rentals);
  trace_.write(clock_.seconds(), "rent", name, kind.type, kind.zone, kind.spot, rental.count);
  const auto rented = cloud_.rent(name, kind, rental.count);
  if (static_cast<int>(rented.size()) < rental.count) controller.refused(kind, clock_.now());
  controller.rented(kind, rented, clock_.wall_seconds());
}

}  // namespace saddleslip::testing
