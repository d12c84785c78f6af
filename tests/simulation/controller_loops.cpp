// The loops of the controllers' processes, run in steps of simulated time.
#include "protocol/id_lists.h"
#include "simulation/simulated_controllers.h"

namespace saddleslip::testing {

using CommitOutcome = protocol::StateClient::CommitOutcome;
using protocol::Json;

namespace {

constexpr double kPeerSyncPeriodSeconds = 0.7;
constexpr double kScalingPeriodSeconds = 1;
constexpr int kMaxPlansPerRound = 6;

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
  for (std::size_t controller_index = 0; controller_index < processes_.size(); ++controller_index)
    step_process(controller_index, observer);
}

void SimulatedControllers::step_process(std::size_t controller_index, ProtocolObserver& observer) {
  ControllerProcess& process = processes_[controller_index];
  const double now = clock_.seconds();
  if (!process.is_up) {
    if (process.restart_at && now >= *process.restart_at) start_process(controller_index);
    return;
  }
  if (now < process.blocked_until || is_frozen(controller_index)) return;
  if (!process.is_loaded) load_records(controller_index);
  if (!process.is_loaded) return;
  if (state_.is_reachable_from(controller_index))
    apply_changes(controller_index, process.watch_lag_s);
  if (now >= process.next_renewal_at || process.is_renewal_due) renew_lease(controller_index);
  if (now >= process.next_peer_sync_at) sync_peers(controller_index);
  if (now >= process.next_round_at || process.is_round_due) run_round(controller_index, observer);
  if (now >= process.next_scaling_at) scale_fleet(controller_index);
}

void SimulatedControllers::renew_lease(std::size_t controller_index) {
  ControllerProcess& process = processes_[controller_index];
  coordination::Controller& controller = *process.controller;
  process.next_renewal_at = clock_.seconds() + process.settings.tuning.member_ttl.count() / 4;
  process.is_renewal_due = false;
  if (!state_.is_reachable_from(controller_index)) return;
  if (!process.lease && !register_incarnation(controller_index)) return;
  if (!state_.renew_lease(*process.lease)) {
    process.lease.reset();
    controller.end_incarnation();
    process.is_renewal_due = true;
    return;
  }
  controller.set_time_of_day(clock_.now(), clock_.wall_seconds());
  controller.record_lease_acquired(clock_.now());
  const std::uint64_t cache_generation = controller.cache_generation();
  if (catch_up(controller_index)) controller.record_lease_renewed(clock_.now(), cache_generation);
  propose_claims_and_membership(controller_index);
}

bool SimulatedControllers::register_incarnation(std::size_t controller_index) {
  ControllerProcess& process = processes_[controller_index];
  coordination::Controller& controller = *process.controller;
  process.lease = state_.grant_lease(process.settings.tuning.member_ttl.count());
  controller.begin_incarnation(
      {base::MemberId(controller_name(controller_index)), base::Incarnation(process.lease->get())},
      clock_.now());
  const auto transaction = controller.member_record(*process.lease, false);
  const auto result = commit(controller_index, transaction);
  if (result.outcome != CommitOutcome::kDone) {
    controller.end_incarnation();
    process.lease.reset();
    return false;
  }
  controller.cache().apply(transaction, result.revision, clock_.now());
  return true;
}

void SimulatedControllers::propose_claims_and_membership(std::size_t controller_index) {
  ControllerProcess& process = processes_[controller_index];
  coordination::Controller& controller = *process.controller;
  if (const auto transaction = controller.propose_ownership_claims(clock_.now()))
    commit(controller_index, *transaction);
  const auto transaction = controller.propose_membership_change(clock_.now(), *process.lease);
  if (!transaction) return;
  const auto result = commit(controller_index, *transaction);
  if (result.outcome != CommitOutcome::kDone) return;
  controller.cache().apply(*transaction, result.revision, clock_.now());
  controller.install_view(clock_.now());
  process.is_renewal_due = true;
  process.is_round_due = true;
}

void SimulatedControllers::sync_peers(std::size_t controller_index) {
  processes_[controller_index].next_peer_sync_at = clock_.seconds() + kPeerSyncPeriodSeconds;
  for (std::size_t to = 0; to < processes_.size(); ++to) {
    if (is_peer_reachable(controller_index, to)) sync_peer(controller_index, to);
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
  controller.acknowledge_status(peer, reply.needs_full_status ? 0 : status.revision);
  if (reply.needs_full_status) processes_[from].next_peer_sync_at = clock_.seconds();
  controller.record_peer_reached(peer, clock_.now());
  controller.mark_released(reply.released, clock_.now());
  controller.cordon_idle(reply.cordon);
  controller.drain(reply.drain);
}

void SimulatedControllers::run_round(std::size_t controller_index, ProtocolObserver& observer) {
  ControllerProcess& process = processes_[controller_index];
  process.is_round_due = false;
  process.next_round_at = clock_.seconds() + process.settings.tuning.round_period.count();
  for (int i = 0; i < kMaxPlansPerRound; ++i) {
    process.controller->install_view(clock_.now());
    send_offers(controller_index);
    if (!plan_and_commit_once(controller_index, observer)) break;
  }
  maintain_records(controller_index);
  read_unresolved_dependencies(controller_index);
}

void SimulatedControllers::send_offers(std::size_t controller_index) {
  for (const auto& [member, offers] :
       processes_[controller_index].controller->route_waiting_tasks(clock_.now())) {
    if (trace_.is_open()) {
      trace_.write(clock_.seconds(), "offers", controller_name(controller_index), member.get(),
                   to_json(offers).dump());
    }
    for (std::size_t to = 0; to < processes_.size(); ++to) {
      const bool is_cut = to != controller_index &&
                          network_.is_cut(controller_name(controller_index), controller_name(to));
      if (controller_name(to) != member.get() || !processes_[to].is_up || is_cut) continue;
      processes_[to].controller->add_offers(offers, clock_.now());
      processes_[to].is_round_due = true;
    }
  }
}

bool SimulatedControllers::plan_and_commit_once(std::size_t controller_index,
                                                ProtocolObserver& observer) {
  coordination::Controller& controller = *processes_[controller_index].controller;
  const auto plan = controller.plan_round(clock_.now(), coordination::WriteBudget::kNormal);
  bool is_committed = false;
  if (!plan.empty()) {
    const auto result = commit(controller_index, plan.transaction);
    is_committed = result.outcome == CommitOutcome::kDone;
    if (is_committed) {
      send_commands(
          controller_index,
          controller.apply_committed_plan(plan, base::Version(result.revision.get()), clock_.now()),
          observer);
    } else if (result.outcome == CommitOutcome::kConflict) {
      refresh_records(controller_index, result.failed);
    } else if (result.outcome == CommitOutcome::kUnknown) {
      std::vector<std::string> keys;
      for (const protocol::Write& write : plan.transaction.writes) keys.push_back(write.key);
      refresh_records(controller_index, keys);
    }
  }
  send_commands(controller_index, controller.kill_commands_due(clock_.now()), observer);
  return !plan.empty() && (!is_committed || plan.has_more_changes);
}

void SimulatedControllers::send_commands(std::size_t controller_index,
                                         const std::vector<coordination::CommandBatch>& batches,
                                         ProtocolObserver& observer) {
  for (const auto& batch : batches) {
    if (trace_.is_open()) {
      trace_.write(clock_.seconds(), "order", controller_name(controller_index),
                   batch.machine.get(),
                   protocol::encode_command_batch(batch.fencing_token, batch.agent_incarnation,
                                                  batch.commands));
    }
    for (const protocol::Command& command : batch.commands) {
      if (command.op == protocol::Command::Op::kRun)
        observer.on_start_commanded(controller_index, command.task);
    }
    commands_.send(controller_index, batch, *this);
  }
}

void SimulatedControllers::maintain_records(std::size_t controller_index) {
  ControllerProcess& process = processes_[controller_index];
  coordination::Controller& controller = *process.controller;
  for (const auto& transaction :
       {controller.finalize_one_job(clock_.now()), controller.split_one_record(clock_.now()),
        controller.collect_garbage()}) {
    if (!transaction) continue;
    const auto result = commit(controller_index, *transaction);
    if (result.outcome != CommitOutcome::kDone) continue;
    controller.cache().apply(*transaction, result.revision, clock_.now());
    process.is_round_due = true;
  }
}

void SimulatedControllers::scale_fleet(std::size_t controller_index) {
  ControllerProcess& process = processes_[controller_index];
  coordination::Controller& controller = *process.controller;
  process.next_scaling_at = clock_.seconds() + kScalingPeriodSeconds;
  if (!controller.is_leader(clock_.now())) return;
  if (controller.cache().catalogue().empty()) return write_catalogue(controller_index);
  const auto actions = controller.plan_scaling(clock_.now(), clock_.wall_seconds());
  if (cloud_.is_down()) return;
  for (const auto& machine : actions.release) {
    trace_.write(clock_.seconds(), "release", controller_name(controller_index), machine.get());
    cloud_.release(machine);
  }
  if (!actions.release.empty()) {
    controller.record_released_machines(actions.release, clock_.now());
    process.is_round_due = true;
  }
  for (const auto& rental : actions.plan.scale_out) scale_out(controller_index, rental);
}

void SimulatedControllers::write_catalogue(std::size_t controller_index) {
  const Json types = {machine_type("small", 4), machine_type("big", 8)};
  protocol::Transaction transaction;
  transaction.writes.push_back({protocol::kCatalogueKey, Json{{"breeds", types}}, {}});
  commit(controller_index, transaction);
}

void SimulatedControllers::scale_out(std::size_t controller_index,
                                     const coordination::ScaleOut& rental) {
  ControllerProcess& process = processes_[controller_index];
  coordination::Controller& controller = *process.controller;
  const auto& kind = rental.kind;
  const std::string name = controller_name(controller_index) + "-" +
                           std::to_string(controller.self().incarnation.get()) + "-" +
                           std::to_string(++process.rental_count);
  trace_.write(clock_.seconds(), "rent", name, kind.type, kind.zone, kind.spot, rental.count);
  const auto rented = cloud_.rent(name, kind, rental.count);
  if (static_cast<int>(rented.size()) < rental.count)
    controller.record_out_of_capacity(kind, clock_.now());
  controller.record_rented_machines(kind, rented, clock_.wall_seconds());
}

}  // namespace saddleslip::testing
