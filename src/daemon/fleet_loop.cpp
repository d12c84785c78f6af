#include "daemon/fleet_loop.h"

#include <algorithm>

#include "base/log.h"

namespace saddleslip {

using base::MachineId;
using base::Seconds;
using base::SteadyClock;
using base::Time;
using coordination::Controller;
using protocol::Json;
using protocol::Transaction;

namespace {

// Calls are made at this multiple of the shortest interval that the cloud allows.
constexpr double kCallIntervalMargin = 1.25;
constexpr Seconds kMinIterationInterval{0.7};
constexpr Seconds kCatalogueReadInterval{60.0};  // spot prices change over time
constexpr Seconds kMinListReadInterval{3.0};
// The minimum interval between two reads of the machine list, in call intervals.
constexpr double kCallIntervalsPerList = 6.0;
constexpr std::size_t kMaxReleasedPerCall = 100;
// Limits the rental calls in one iteration, so that releases are not delayed: tasks wait for the
// release of a silent machine, which proves that their previous attempts have ended.
constexpr int kMaxRentalCallsPerIteration = 3;

std::string join_ids(const std::vector<MachineId>& machines) {
  std::string joined;
  for (const MachineId& id : machines) joined += (joined.empty() ? "" : ",") + id.get();
  return joined;
}

}  // namespace

FleetLoop::FleetLoop(const DaemonContext& context, protocol::CloudClient& cloud_client,
                     StateReplicator& replicator)
    : context_(context),
      cloud_client_(cloud_client),
      replicator_(replicator),
      call_interval_(kCallIntervalMargin / context.settings.cloud_rps) {}

void FleetLoop::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    context_.wakeups.fleet.wait_for(std::max(call_interval_, kMinIterationInterval), stop);
    if (stop.stop_requested()) return;
    if (is_leader()) {
      run_iteration(stop);
    } else {
      unresolved_request_.reset();
    }
  }
}

bool FleetLoop::is_leader() {
  return context_.controller.with_lock(
      [](Controller& controller) { return controller.is_leader(SteadyClock::now()); });
}

void FleetLoop::run_iteration(const std::stop_token& stop) {
  if (catalogue_read_at_ == Time{} ||
      base::between(catalogue_read_at_, SteadyClock::now()) > kCatalogueReadInterval) {
    read_catalogue();
    sleep_for(call_interval_, stop);
  }
  const Seconds list_interval =
      std::max(kMinListReadInterval, call_interval_ * kCallIntervalsPerList);
  if (base::between(machine_list_read_at_, SteadyClock::now()) > list_interval) {
    read_machine_list();
    sleep_for(call_interval_, stop);
  }
  auto actions = context_.controller.with_lock([](Controller& controller) {
    return controller.plan_scaling(SteadyClock::now(), base::wall_seconds());
  });
  if (!actions.release.empty()) {
    release_machines(std::move(actions.release));
    sleep_for(call_interval_, stop);
  }
  rent_machines(actions.plan, stop);
}

void FleetLoop::read_catalogue() {
  const Time started_at = SteadyClock::now();
  const auto types = cloud_client_.catalogue();
  if (!types || types->empty()) return;
  const Json value = to_json(*types);
  const auto transaction =
      context_.controller.with_lock([&](Controller& controller) -> std::optional<Transaction> {
        if (to_json(controller.cache().catalogue()) == value) return {};
        Transaction update;
        update.preconditions[protocol::kLeaderKey] =
            controller.cache().version(protocol::kLeaderKey);
        update.writes.push_back({protocol::kCatalogueKey, value, {}});
        return update;
      });
  const bool is_on_record = !transaction || replicator_.commit(*transaction);
  catalogue_read_at_ = is_on_record ? started_at : Time{};
}

void FleetLoop::read_machine_list() {
  machine_list_read_at_ = SteadyClock::now();
  const auto machines = cloud_client_.list();
  if (!machines) return;
  context_.controller.with_lock([&](Controller& controller) {
    controller.handle_machine_list(*machines, SteadyClock::now(), base::wall_seconds());
  });
}

void FleetLoop::release_machines(std::vector<MachineId> machines) {
  if (machines.size() > kMaxReleasedPerCall) machines.resize(kMaxReleasedPerCall);
  if (!cloud_client_.release(machines)) {
    spdlog::warn("release failed machines={}", join_ids(machines));
    return;
  }
  spdlog::info("machines released: machines={}", join_ids(machines));
  context_.controller.with_lock([&](Controller& controller) {
    controller.record_released_machines(machines, SteadyClock::now());
  });
  context_.wakeups.scheduling.notify();
}

void FleetLoop::rent_machines(const coordination::ScalingPlan& plan, const std::stop_token& stop) {
  const bool had_unresolved_request = unresolved_request_.has_value();
  bool has_rented = false;
  int calls = 0;
  for (const RentalRequest& request : make_rental_requests(plan)) {
    if (++calls > kMaxRentalCallsPerIteration || stop.stop_requested() || !is_leader()) break;
    const RentalOutcome outcome = send_rental_request(request);
    has_rented = has_rented || outcome == RentalOutcome::kRented;
    if (outcome == RentalOutcome::kRetryLater) break;
    sleep_for(call_interval_, stop);
    // The plan does not include the machines of a request whose outcome was unknown when the plan
    // was made. A new plan is needed before more machines are rented.
    if (had_unresolved_request) break;
  }
  if (!has_rented) return;
  const auto transaction = context_.controller.with_lock(
      [](Controller& controller) { return controller.fleet_record(); });
  if (transaction) replicator_.commit(*transaction);
}

std::deque<FleetLoop::RentalRequest> FleetLoop::make_rental_requests(
    const coordination::ScalingPlan& plan) {
  const protocol::ControllerIncarnation self =
      context_.controller.with_lock([](Controller& controller) { return controller.self(); });
  // The state service never assigns an incarnation number twice, so the names are unique among all
  // controllers and incarnations.
  const std::string name_prefix =
      "r-" + self.member.get() + "-" + std::to_string(self.incarnation.get()) + "-";
  std::deque<RentalRequest> requests;
  if (unresolved_request_) requests.push_back(*unresolved_request_);
  for (const auto& scale_out : plan.scale_out) {
    for (int remaining = scale_out.count; remaining > 0; remaining -= protocol::kMaxRentedPerCall) {
      requests.push_back({name_prefix + std::to_string(++last_rental_number_), scale_out.kind,
                          std::min(remaining, protocol::kMaxRentedPerCall)});
    }
  }
  return requests;
}

FleetLoop::RentalOutcome FleetLoop::send_rental_request(const RentalRequest& request) {
  using Outcome = protocol::CloudClient::RentalResult::Outcome;
  const coordination::MachineKind& kind = request.kind;
  const auto response =
      cloud_client_.rent(request.name, kind.type, kind.zone, kind.spot, request.count);
  unresolved_request_.reset();
  switch (response.outcome) {
    case Outcome::kMachines:
      spdlog::info("machines rented: requested={} count={} type={} zone={} spot={}", request.count,
                   response.machines.size(), kind.type, kind.zone, kind.spot);
      context_.controller.with_lock([&](Controller& controller) {
        controller.record_rented_machines(kind, response.machines, base::wall_seconds());
        if (static_cast<int>(response.machines.size()) < request.count) {
          controller.record_out_of_capacity(kind, SteadyClock::now());
        }
      });
      return RentalOutcome::kRented;
    case Outcome::kNoCapacity:
      spdlog::info("no capacity requested={} type={} zone={} spot={}", request.count, kind.type,
                   kind.zone, kind.spot);
      context_.controller.with_lock([&](Controller& controller) {
        controller.record_out_of_capacity(kind, SteadyClock::now());
      });
      return RentalOutcome::kNoCapacity;
    case Outcome::kUnknown:
      unresolved_request_ = request;
      return RentalOutcome::kRetryLater;
    case Outcome::kRefused:
      // The cloud is out of service or over its rate limit; the next plan includes these machines.
      return RentalOutcome::kRetryLater;
  }
  return RentalOutcome::kRetryLater;
}

}  // namespace saddleslip
