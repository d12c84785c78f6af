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

constexpr double kCallGapFactor = 1.25;  // of the time between two calls that the cloud allows
constexpr Seconds kMinPeriod{0.7};
constexpr Seconds kCatalogueInterval{60.0};  // prices of spot machines change
constexpr Seconds kListInterval{3.0};
constexpr double kListIntervalGaps = 6.0;  // the list is read at most every so many call gaps
constexpr std::size_t kMaxReleasedPerCall = 100;
// In one turn. Releases prove that attempts are over, which tasks wait for: they must come soon.
constexpr int kMaxRentalCalls = 3;

std::string join(const std::vector<MachineId>& machines) {
  std::string names;
  for (const MachineId& id : machines) names += (names.empty() ? "" : ",") + id.get();
  return names;
}

}  // namespace

FleetLoop::FleetLoop(const DaemonContext& context, protocol::CloudClient& cloud,
                     StateReplicator& replicator)
    : context_(context),
      cloud_(cloud),
      replicator_(replicator),
      call_gap_(kCallGapFactor / context.settings.cloud_rps) {}

void FleetLoop::run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    context_.wakeups.fleet.wait_for(std::max(call_gap_, kMinPeriod), stop);
    if (stop.stop_requested()) return;
    if (is_leader()) {
      run_turn(stop);
    } else {
      open_request_.reset();
    }
  }
}

bool FleetLoop::is_leader() {
  return context_.controller.locked([](Controller& c) { return c.is_leader(SteadyClock::now()); });
}

void FleetLoop::run_turn(const std::stop_token& stop) {
  if (catalogue_read_at_ == Time{} ||
      base::between(catalogue_read_at_, SteadyClock::now()) > kCatalogueInterval) {
    read_catalogue();
    sleep_for(call_gap_, stop);
  }
  const Seconds list_interval = std::max(kListInterval, call_gap_ * kListIntervalGaps);
  if (base::between(machine_list_read_at_, SteadyClock::now()) > list_interval) {
    read_machine_list();
    sleep_for(call_gap_, stop);
  }
  auto actions = context_.controller.locked(
      [](Controller& c) { return c.plan_scaling(SteadyClock::now(), base::wall_seconds()); });
  if (!actions.release.empty()) {
    release(std::move(actions.release));
    sleep_for(call_gap_, stop);
  }
  rent(actions.plan, stop);
}

void FleetLoop::read_catalogue() {
  const Time began = SteadyClock::now();
  const auto types = cloud_.catalogue();
  if (!types || types->empty()) return;
  const Json value = to_json(*types);
  const auto txn = context_.controller.locked([&](Controller& c) -> std::optional<Transaction> {
    if (to_json(c.cache().catalogue()) == value) return {};
    Transaction t;
    t.preconditions[protocol::kLeadKey] = c.cache().version(protocol::kLeadKey);
    t.writes.push_back({protocol::kCatalogueKey, value, {}});
    return t;
  });
  const bool is_on_record = !txn || replicator_.commit(*txn);
  catalogue_read_at_ = is_on_record ? began : Time{};
}

void FleetLoop::read_machine_list() {
  machine_list_read_at_ = SteadyClock::now();
  const auto machines = cloud_.list();
  if (!machines) return;
  context_.controller.locked(
      [&](Controller& c) { c.listed(*machines, SteadyClock::now(), base::wall_seconds()); });
}

void FleetLoop::release(std::vector<MachineId> machines) {
  if (machines.size() > kMaxReleasedPerCall) machines.resize(kMaxReleasedPerCall);
  if (!cloud_.release(machines)) {
    spdlog::warn("release failed machines={}", join(machines));
    return;
  }
  spdlog::info("machines released machines={}", join(machines));
  context_.controller.locked([&](Controller& c) { c.released(machines, SteadyClock::now()); });
  context_.wakeups.scheduling.notify();
}

void FleetLoop::rent(const coordination::ScalingPlan& plan, const std::stop_token& stop) {
  const bool had_open_request = open_request_.has_value();
  bool has_rented = false;
  int calls = 0;
  for (const RentalRequest& request : rental_requests(plan)) {
    if (++calls > kMaxRentalCalls || stop.stop_requested() || !is_leader()) break;
    const RentalOutcome outcome = send_rental(request);
    has_rented = has_rented || outcome == RentalOutcome::kRented;
    if (outcome == RentalOutcome::kRetryLater) break;
    sleep_for(call_gap_, stop);
    // The plan does not count what was requested before it was made: plan again before renting more.
    if (had_open_request) break;
  }
  if (!has_rented) return;
  const auto txn = context_.controller.locked([](Controller& c) { return c.fleet_record(); });
  if (txn) replicator_.commit(*txn);
}

std::deque<FleetLoop::RentalRequest> FleetLoop::rental_requests(
    const coordination::ScalingPlan& plan) {
  const protocol::ControllerIncarnation self =
      context_.controller.locked([](Controller& c) { return c.self(); });
  // No other controller or incarnation ever uses these names: incarnations are numbered by the store.
  const std::string name_prefix =
      "r-" + self.member.get() + "-" + std::to_string(self.incarnation.get()) + "-";
  std::deque<RentalRequest> requests;
  if (open_request_) requests.push_back(*open_request_);
  for (const auto& scale_out : plan.scale_out) {
    for (int left = scale_out.count; left > 0; left -= protocol::kMaxRentedPerCall) {
      requests.push_back({name_prefix + std::to_string(++rental_count_), scale_out.kind,
                          std::min(left, protocol::kMaxRentedPerCall)});
    }
  }
  return requests;
}

FleetLoop::RentalOutcome FleetLoop::send_rental(const RentalRequest& request) {
  using What = protocol::CloudClient::Rented::What;
  const coordination::MachineKind& kind = request.kind;
  const auto answer = cloud_.rent(request.name, kind.type, kind.zone, kind.spot, request.count);
  open_request_.reset();
  switch (answer.what) {
    case What::kMachines:
      spdlog::info("machines rented requested={} count={} type={} zone={} spot={}", request.count,
                   answer.machines.size(), kind.type, kind.zone, kind.spot);
      context_.controller.locked([&](Controller& c) {
        c.rented(kind, answer.machines, base::wall_seconds());
        if (static_cast<int>(answer.machines.size()) < request.count) {
          c.refused(kind, SteadyClock::now());
        }
      });
      return RentalOutcome::kRented;
    case What::kNoCapacity:
      spdlog::info("no capacity requested={} type={} zone={} spot={}", request.count, kind.type,
                   kind.zone, kind.spot);
      context_.controller.locked([&](Controller& c) { c.refused(kind, SteadyClock::now()); });
      return RentalOutcome::kNoCapacity;
    case What::kUnknown:
      open_request_ = request;
      return RentalOutcome::kRetryLater;
    case What::kRefused:
      return RentalOutcome::kRetryLater;  // out of service or over the rate: planned again
  }
  return RentalOutcome::kRetryLater;
}

}  // namespace saddleslip
