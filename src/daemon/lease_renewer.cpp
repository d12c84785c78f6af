#include "daemon/lease_renewer.h"

#include <algorithm>

#include "base/log.h"
#include "daemon/timeouts.h"

namespace saddleslip {

using base::LeaseId;
using base::Seconds;
using base::SteadyClock;
using base::Time;
using coordination::Controller;
using protocol::ControllerIncarnation;
using protocol::StateClient;
using protocol::Transaction;
using Outcome = StateClient::Outcome;

namespace {

constexpr double kRenewalsPerTtl = 4.0;
constexpr Seconds kMaxTimeout{1.0};
constexpr Seconds kNewLeaseDelay = kRetryDelay * 2.0;

}  // namespace

LeaseRenewer::LeaseRenewer(const DaemonContext& context, StateClient& state,
                           StateReplicator& replicator, const PeerSyncs& peers)
    : context_(context),
      state_(state),
      replicator_(replicator),
      peers_(peers),
      ttl_(context.settings.tuning.member_ttl),
      period_(ttl_ / kRenewalsPerTtl),
      timeout_(std::min(kMaxTimeout, period_)) {}

void LeaseRenewer::run(const std::stop_token& stop) {
  WakeupEvent& wakeup = context_.wakeups.lease_renewal;
  while (!stop.stop_requested()) {
    if (!replicator_.is_loaded()) {
      wakeup.wait_for(kRetryDelay, stop);
      continue;
    }
    if (!lease_ && !begin_incarnation()) {
      wakeup.wait_for(kNewLeaseDelay, stop);
      continue;
    }
    context_.controller.locked(
        [](Controller& c) { c.tell_time(SteadyClock::now(), base::wall_seconds()); });
    if (!renew()) continue;
    if (commit_membership_change()) continue;
    commit_ownership_claims();
    context_.wakeups.scheduling.notify();
    wakeup.wait_for(period_, stop);
  }
}

bool LeaseRenewer::begin_incarnation() {
  const Time sent = SteadyClock::now();
  const std::optional<LeaseId> lease = state_.create_lease(ttl_, timeout_);
  if (!lease) return false;
  const ControllerIncarnation incarnation{context_.settings.member,
                                          base::Incarnation(lease->get())};
  const Transaction txn = context_.controller.locked([&](Controller& c) {
    c.begin_incarnation(incarnation, SteadyClock::now());
    return c.member_record(*lease, false);
  });
  const auto result = state_.commit(txn, kCommitTimeout);
  if (result.outcome != Outcome::kDone) {
    context_.controller.locked([](Controller& c) { c.end_incarnation(); });
    state_.delete_lease(*lease, timeout_);
    return false;
  }
  lease_ = lease;
  context_.controller.locked([&](Controller& c) {
    c.cache().apply(txn, result.revision, SteadyClock::now());
    c.lease_acquired(sent);
  });
  spdlog::info("incarnation started member={} incarnation={}", incarnation.member.get(),
               incarnation.incarnation.get());
  for (const auto& peer : peers_) peer->notify();
  return true;
}

bool LeaseRenewer::renew() {
  using Renewed = StateClient::Renewed;
  const Time sent = SteadyClock::now();
  const Renewed renewed = state_.renew_lease(*lease_, timeout_);
  if (renewed == Renewed::kGone) {
    spdlog::warn("lease lost, incarnation ended lease={}", lease_->get());
    lease_.reset();
    context_.controller.locked([](Controller& c) { c.end_incarnation(); });
    return false;
  }
  if (renewed != Renewed::kYes) return true;
  context_.controller.locked([&](Controller& c) { c.lease_acquired(sent); });
  // Authority to command needs more than the present view: a copy of the jobs that is as new as the
  // renewal. After an outage the renewal is answered before the watch has delivered anything, and a
  // job that was cancelled elsewhere meanwhile would be started again.
  const auto generation =
      context_.controller.locked([](Controller& c) { return c.cache_generation(); });
  if (replicator_.catch_up(timeout_)) {
    context_.controller.locked([&](Controller& c) { c.lease_renewed(sent, generation); });
  }
  return true;
}

bool LeaseRenewer::commit_membership_change() {
  const auto txn = context_.controller.locked(
      [&](Controller& c) { return c.propose_membership_change(SteadyClock::now(), *lease_); });
  if (!txn) return false;
  const auto result = state_.commit(*txn, kCommitTimeout);
  if (result.outcome == Outcome::kConflict) replicator_.refresh(result.failed);
  if (result.outcome != Outcome::kDone) return false;
  context_.controller.locked([&](Controller& c) {
    c.cache().apply(*txn, result.revision, SteadyClock::now());
    c.install_view(SteadyClock::now());
  });
  context_.wakeups.scheduling.notify();
  context_.wakeups.fleet.notify();
  return true;
}

void LeaseRenewer::commit_ownership_claims() {
  const auto txn = context_.controller.locked(
      [](Controller& c) { return c.propose_ownership_claims(SteadyClock::now()); });
  if (txn) replicator_.commit(*txn);
}

}  // namespace saddleslip
