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
using CommitOutcome = StateClient::CommitOutcome;

namespace {

constexpr double kRenewalsPerTtl = 4.0;
constexpr Seconds kMaxLeaseCallTimeout{1.0};
constexpr Seconds kLeaseCreationRetryDelay = kRetryDelay * 2.0;

}  // namespace

LeaseRenewer::LeaseRenewer(const DaemonContext& context, StateClient& state_client,
                           StateReplicator& replicator, const PeerSyncs& peers)
    : context_(context),
      state_client_(state_client),
      replicator_(replicator),
      peers_(peers),
      lease_ttl_(context.settings.tuning.member_ttl),
      renewal_interval_(lease_ttl_ / kRenewalsPerTtl),
      lease_call_timeout_(std::min(kMaxLeaseCallTimeout, renewal_interval_)) {}

void LeaseRenewer::run(const std::stop_token& stop) {
  WakeupEvent& renewal_wakeup = context_.wakeups.lease_renewal;
  while (!stop.stop_requested()) {
    if (!replicator_.is_loaded()) {
      renewal_wakeup.wait_for(kRetryDelay, stop);
      continue;
    }
    if (!lease_ && !begin_incarnation()) {
      renewal_wakeup.wait_for(kLeaseCreationRetryDelay, stop);
      continue;
    }
    context_.controller.with_lock([](Controller& controller) {
      controller.set_time_of_day(SteadyClock::now(), base::wall_seconds());
    });
    if (!renew_lease()) continue;
    if (commit_membership_change()) continue;
    commit_ownership_claims();
    context_.wakeups.scheduling.notify();
    renewal_wakeup.wait_for(renewal_interval_, stop);
  }
}

bool LeaseRenewer::begin_incarnation() {
  const Time sent_at = SteadyClock::now();
  const std::optional<LeaseId> lease = state_client_.create_lease(lease_ttl_, lease_call_timeout_);
  if (!lease) return false;
  const ControllerIncarnation incarnation{context_.settings.member,
                                          base::Incarnation(lease->get())};
  const Transaction transaction = context_.controller.with_lock([&](Controller& controller) {
    controller.begin_incarnation(incarnation, SteadyClock::now());
    return controller.member_record(*lease, false);
  });
  const auto commit_result = state_client_.commit(transaction, kCommitTimeout);
  if (commit_result.outcome != CommitOutcome::kDone) {
    context_.controller.with_lock([](Controller& controller) { controller.end_incarnation(); });
    state_client_.delete_lease(*lease, lease_call_timeout_);
    return false;
  }
  lease_ = lease;
  context_.controller.with_lock([&](Controller& controller) {
    controller.cache().apply(transaction, commit_result.revision, SteadyClock::now());
    controller.record_lease_acquired(sent_at);
  });
  spdlog::info("incarnation started: member={} incarnation={}", incarnation.member.get(),
               incarnation.incarnation.get());
  for (const auto& peer : peers_) peer->request_status();
  return true;
}

bool LeaseRenewer::renew_lease() {
  using RenewalOutcome = StateClient::RenewalOutcome;
  const Time sent_at = SteadyClock::now();
  const RenewalOutcome renewal = state_client_.renew_lease(*lease_, lease_call_timeout_);
  if (renewal == RenewalOutcome::kGone) {
    spdlog::warn("lease lost, incarnation ended lease={}", lease_->get());
    lease_.reset();
    context_.controller.with_lock([](Controller& controller) { controller.end_incarnation(); });
    return false;
  }
  if (renewal != RenewalOutcome::kYes) return true;
  context_.controller.with_lock(
      [&](Controller& controller) { controller.record_lease_acquired(sent_at); });
  // Authority to send commands requires a local copy of the jobs that is as new as the renewal, not
  // only the current view. After an outage the renewal succeeds before the watch has delivered any
  // changes; without this check, a job that another controller cancelled meanwhile would be
  // started.
  const auto generation = context_.controller.with_lock(
      [](Controller& controller) { return controller.cache_generation(); });
  if (replicator_.catch_up(lease_call_timeout_)) {
    context_.controller.with_lock(
        [&](Controller& controller) { controller.record_lease_renewed(sent_at, generation); });
  }
  return true;
}

bool LeaseRenewer::commit_membership_change() {
  const auto transaction = context_.controller.with_lock([&](Controller& controller) {
    return controller.propose_membership_change(SteadyClock::now(), *lease_);
  });
  if (!transaction) return false;
  const auto commit_result = state_client_.commit(*transaction, kCommitTimeout);
  if (commit_result.outcome == CommitOutcome::kConflict) replicator_.refresh(commit_result.failed);
  if (commit_result.outcome != CommitOutcome::kDone) return false;
  context_.controller.with_lock([&](Controller& controller) {
    controller.cache().apply(*transaction, commit_result.revision, SteadyClock::now());
    controller.install_view(SteadyClock::now());
  });
  context_.wakeups.scheduling.notify();
  context_.wakeups.fleet.notify();
  return true;
}

void LeaseRenewer::commit_ownership_claims() {
  const auto transaction = context_.controller.with_lock([](Controller& controller) {
    return controller.propose_ownership_claims(SteadyClock::now());
  });
  if (transaction) replicator_.commit(*transaction);
}

}  // namespace saddleslip
