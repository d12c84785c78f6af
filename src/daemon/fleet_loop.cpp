// The loop that carries out the leader's plans at the cloud's interface.
#include "base/log.h"
#include "daemon/daemon.h"

namespace saddleslip {

using coordination::Controller;
using protocol::Json;
using protocol::Transaction;

namespace {

using base::Seconds;

constexpr double kCallGap = 1.25;  // of the time between two calls that the cloud's rate allows
constexpr Seconds kLeastTurn{0.7};
constexpr Seconds kCatalogueEvery{60.0};  // prices of spot machines move
constexpr Seconds kListEvery{3.0};
constexpr double kListGaps = 6.0;  // at least so many calls apart
constexpr std::size_t kMostReleased = 100;
constexpr int kMostRentCalls = 3;  // releases are proofs that tasks wait for: they come first
constexpr Seconds kCommitCall{1.5};

base::Time now() {
  return base::SteadyClock::now();
}

}  // namespace

void Daemon::scale_loop() {
  const Seconds gap(kCallGap / settings_.cloud_rps);
  for (;;) {
    wakeups_.fleet.wait_for(std::max(gap, kLeastTurn), {});
    if (!locked([](Controller& c) { return c.is_leader(now()); })) {
      open_rental_.reset();
      continue;
    }
    if (cloud_read_.catalogue == Time{} ||
        base::between(cloud_read_.catalogue, now()) > kCatalogueEvery) {
      read_catalogue();
      std::this_thread::sleep_for(gap);
    }
    if (base::between(cloud_read_.list, now()) > std::max(kListEvery, gap * kListGaps)) {
      read_list();
      std::this_thread::sleep_for(gap);
    }
    auto actions =
        locked([](Controller& c) { return c.plan_scaling(now(), base::wall_seconds()); });
    if (!actions.release.empty()) {
      release(std::move(actions.release));
      std::this_thread::sleep_for(gap);
    }
    rent(actions.plan, gap);
  }
}

void Daemon::read_catalogue() {
  const Time began = now();
  const auto types = cloud_.catalogue();
  if (!types || types->empty()) return;
  const Json value = to_json(*types);
  const auto txn = locked([&](Controller& c) -> std::optional<Transaction> {
    if (to_json(c.cache().catalogue()) == value) return {};
    Transaction x;
    x.preconditions[protocol::kLeadKey] = c.cache().version(protocol::kLeadKey);
    x.writes.push_back({protocol::kCatalogueKey, value, {}});
    return x;
  });
  cloud_read_.catalogue = !txn || commit(*txn, kCommitCall) ? began : Time{};
}

void Daemon::read_list() {
  cloud_read_.list = now();
  if (const auto list = cloud_.list()) {
    locked([&](Controller& c) { c.listed(*list, now(), base::wall_seconds()); });
  }
}

void Daemon::release(std::vector<base::MachineId> machines) {
  if (machines.size() > kMostReleased) machines.resize(kMostReleased);
  std::string names;
  for (const auto& id : machines) names += " " + id.get();
  if (!cloud_.release(machines)) {
    spdlog::warn("the cloud did not release:{}", names);
    return;
  }
  spdlog::info("released:{}", names);
  locked([&](Controller& c) { c.released(machines, now()); });
  wakeups_.scheduling.notify();
}

std::deque<Daemon::Rental> Daemon::rentals(const coordination::ScalingPlan& plan) {
  const protocol::ControllerIncarnation incarnation =
      locked([](Controller& c) { return c.self(); });
  std::deque<Rental> out;
  if (open_rental_) out.push_back(*open_rental_);
  for (const auto& r : plan.scale_out) {
    for (int left = r.count; left > 0; left -= protocol::kMaxRentedPerCall) {
      // Never a name that any node or life has used: lives are numbered by the store.
      out.push_back({"r-" + incarnation.member.get() + "-" +
                         std::to_string(incarnation.incarnation.get()) + "-" +
                         std::to_string(++rental_count_),
                     r.kind, std::min(left, protocol::kMaxRentedPerCall)});
    }
  }
  return out;
}

void Daemon::rent(const coordination::ScalingPlan& plan, Seconds gap) {
  const bool was_open = open_rental_.has_value();
  bool rented = false;
  int calls = 0;
  for (const Rental& r : rentals(plan)) {
    if (++calls > kMostRentCalls) break;
    if (!locked([](Controller& c) { return c.is_leader(now()); })) break;
    const RentOutcome outcome = rent_once(r);
    rented = rented || outcome == RentOutcome::kRented;
    if (outcome == RentOutcome::kStop) break;
    std::this_thread::sleep_for(gap);
    // What was asked for before is not in this plan: plan anew before renting more.
    if (was_open) break;
  }
  if (!rented) return;
  if (const auto txn = locked([](Controller& c) { return c.fleet_record(); })) {
    commit(*txn, kCommitCall);
  }
}

Daemon::RentOutcome Daemon::rent_once(const Rental& r) {
  using What = protocol::CloudClient::Rented::What;
  const char* spot = r.kind.spot ? " (spot)" : "";
  const auto answer = cloud_.rent(r.name, r.kind.type, r.kind.zone, r.kind.spot, r.count);
  open_rental_.reset();
  switch (answer.what) {
    case What::kMachines:
      spdlog::info("rented {} of {} {} in {}{}", answer.machines.size(), r.count, r.kind.type,
                   r.kind.zone, spot);
      locked([&](Controller& c) {
        c.rented(r.kind, answer.machines, base::wall_seconds());
        if (static_cast<int>(answer.machines.size()) < r.count) c.refused(r.kind, now());
      });
      return RentOutcome::kRented;
    case What::kNoCapacity:
      spdlog::info("no capacity for {} {} in {}{}", r.count, r.kind.type, r.kind.zone, spot);
      locked([&](Controller& c) { c.refused(r.kind, now()); });
      return RentOutcome::kRefused;
    case What::kUnknown:
      open_rental_ = r;  // asked again under the same name: it rents nothing twice
      return RentOutcome::kStop;
    default:
      return RentOutcome::kStop;  // out of service or over the rate: planned anew next time
  }
}

}  // namespace saddleslip
