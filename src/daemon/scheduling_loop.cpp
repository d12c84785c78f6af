#include "daemon/scheduling_loop.h"

#include <algorithm>
#include <iterator>

#include "daemon/timeouts.h"

namespace saddleslip {

using base::JobId;
using base::Seconds;
using base::SteadyClock;
using base::Time;
using coordination::Controller;
using coordination::RoundPlan;
using coordination::WriteBudget;
using protocol::StateClient;

namespace {

constexpr Seconds kMinRoundGap{0.05};      // a burst of events is handled in one round
constexpr double kMaxRoundGapShare = 0.7;  // of the round period
// The gap before a round, in multiples of the average planning time. If planning takes longer,
// rounds are less frequent and each plan covers more tasks.
constexpr double kRoundGapPerPlanningTime = 6;
// If planning takes longer than the limit above allows for, the gap is still this multiple of it:
// planning holds the controller's mutex, and queries, heartbeats and lease renewals need processor
// time too.
constexpr double kMinRoundGapPerPlanningTime = 2;
// No further plan is made in a round after this planning time; the next round continues.
constexpr Seconds kMaxPlanningTimePerRound{0.5};
constexpr double kLatestPlanningTimeWeight = 0.3;  // in the moving average
constexpr int kMaxPlansPerRound = 6;
constexpr int kMaxFinalizationsPerRound = 8;
constexpr std::size_t kMaxFinalStateReadsPerRound = 16;
// If more obsolete records than this are waiting, they are removed even without surplus write
// budget.
constexpr std::size_t kMaxOrphanRecords = 4000;
constexpr double kUsableWriteRateShare = 0.85;

}  // namespace

void SchedulingLoop::run(const std::stop_token& stop) {
  const Seconds period = context_.settings.tuning.round_period;
  while (!stop.stop_requested()) {
    context_.wakeups.scheduling.wait_for(period, stop);
    const Seconds max_gap =
        std::max(period * kMaxRoundGapShare, average_planning_time_ * kMinRoundGapPerPlanningTime);
    const Seconds round_gap =
        std::clamp(average_planning_time_ * kRoundGapPerPlanningTime, kMinRoundGap, max_gap);
    sleep_for(round_gap, stop);
    if (replicator_.is_loaded() && !stop.stop_requested()) run_round(stop);
  }
}

void SchedulingLoop::run_round(const std::stop_token& stop) {
  planning_time_in_round_ = Seconds(0);
  for (int i = 0; i < kMaxPlansPerRound; ++i) {
    if (!schedule_once(stop)) break;
    if (planning_time_in_round_ < kMaxPlanningTimePerRound) continue;
    context_.wakeups.scheduling.notify();
    break;
  }
  finalize_jobs();
  collect_garbage(stop);
  read_unresolved_dependencies();
  request_round_if_jobs_unblocked();
}

bool SchedulingLoop::schedule_once(const std::stop_token& stop) {
  const WriteBudget write_budget = await_write_budget(stop);
  const Time started_at = SteadyClock::now();
  route_offers();
  const RoundPlan plan = context_.controller.with_lock([&](Controller& controller) {
    return controller.plan_round(SteadyClock::now(), write_budget);
  });
  const Seconds planning_time = base::between(started_at, SteadyClock::now());
  planning_time_in_round_ += planning_time;
  average_planning_time_ = average_planning_time_ * (1 - kLatestPlanningTimeWeight) +
                           planning_time * kLatestPlanningTimeWeight;

  std::optional<Commands> start_commands;
  if (!plan.empty()) start_commands = commit_plan(plan, stop);
  const bool is_committed = start_commands.has_value();
  Commands commands = std::move(start_commands).value_or(Commands{});
  auto stop_commands = context_.controller.with_lock(
      [](Controller& controller) { return controller.kill_commands_due(SteadyClock::now()); });
  std::move(stop_commands.begin(), stop_commands.end(), std::back_inserter(commands));
  command_sender_.enqueue(std::move(commands));

  // Another plan in this round is needed only if one record could not hold all changes or the
  // commit failed. Events that arrive meanwhile start the next round.
  if (plan.empty()) return false;
  if (!is_committed) sleep_for(kMinRoundGap, stop);
  return !is_committed || plan.has_more_changes;
}

void SchedulingLoop::route_offers() {
  auto routed = context_.controller.with_lock([](Controller& controller) {
    controller.install_view(SteadyClock::now());
    auto offers = controller.route_waiting_tasks(SteadyClock::now());
    const auto own = offers.find(controller.self().member);
    if (own != offers.end()) {
      controller.add_offers(own->second, SteadyClock::now());
      offers.erase(own);
    }
    return offers;
  });
  for (const auto& peer : peers_) {
    const auto offers = routed.find(peer->member());
    if (offers != routed.end()) peer->send_offers(std::move(offers->second));
  }
}

std::optional<SchedulingLoop::Commands> SchedulingLoop::commit_plan(const RoundPlan& plan,
                                                                    const std::stop_token& stop) {
  using CommitOutcome = StateClient::CommitOutcome;
  const auto commit_result = state_client_.commit(plan.transaction, kCommitTimeout);
  write_limiter_.charge(plan.transaction.writes.size());
  switch (commit_result.outcome) {
    case CommitOutcome::kDone:
      return context_.controller.with_lock([&](Controller& controller) {
        return controller.apply_committed_plan(plan, base::Version(commit_result.revision.get()),
                                               SteadyClock::now());
      });
    case CommitOutcome::kConflict:
      replicator_.refresh(commit_result.failed);
      return {};
    case CommitOutcome::kUnknown: {
      // The commit may have been applied, or may still be. The next commit of these keys requires
      // the versions that are read now, so the preconditions let only one of the two succeed.
      std::vector<std::string> keys;
      for (const auto& write : plan.transaction.writes) keys.push_back(write.key);
      replicator_.refresh(keys);
      return {};
    }
    case CommitOutcome::kRefused:
    case CommitOutcome::kMalformed:
      sleep_for(kRetryDelay, stop);
      return {};
  }
  return {};
}

void SchedulingLoop::finalize_jobs() {
  for (int i = 0; i < kMaxFinalizationsPerRound; ++i) {
    const auto transaction = context_.controller.with_lock([](Controller& controller) {
      auto finalization = controller.finalize_one_job(SteadyClock::now());
      return finalization ? finalization : controller.split_one_record(SteadyClock::now());
    });
    if (!transaction) return;
    write_limiter_.charge(transaction->writes.size());
    if (!replicator_.commit(*transaction)) return;
  }
}

void SchedulingLoop::collect_garbage(const std::stop_token& stop) {
  const bool has_surplus = await_write_budget(stop) == WriteBudget::kSurplus;
  const auto transaction = context_.controller.with_lock(
      [&](Controller& controller) -> std::optional<protocol::Transaction> {
        if (!has_surplus && controller.cache().orphans().size() <= kMaxOrphanRecords) return {};
        return controller.collect_garbage();
      });
  if (!transaction) return;
  write_limiter_.charge(transaction->writes.size());
  replicator_.commit(*transaction);
}

// A job may depend on jobs that ended before the local copy was loaded. Their final states are
// neither loaded nor watched, so they are read one by one.
void SchedulingLoop::read_unresolved_dependencies() {
  std::vector<JobId> ids = context_.controller.with_lock(
      [](Controller& controller) { return controller.cache().unresolved_dependencies(); });
  if (ids.size() > kMaxFinalStateReadsPerRound) ids.resize(kMaxFinalStateReadsPerRound);
  for (const JobId& id : ids) {
    const auto response = state_client_.get(protocol::tombstone_key(id), kUserReadTimeout);
    if (!response.answered) return;
    const auto state = protocol::parse_final_state(response.item.value);
    if (!state) continue;
    context_.controller.with_lock(
        [&](Controller& controller) { controller.cache().add_final_state(id, *state); });
  }
}

// Jobs that this controller's own commits unblocked would otherwise wait for the next period, as no
// other event starts a round for them.
void SchedulingLoop::request_round_if_jobs_unblocked() {
  const std::uint64_t unblocked = context_.controller.with_lock(
      [](Controller& controller) { return controller.cache().jobs_unblocked(); });
  if (unblocked != last_jobs_unblocked_) context_.wakeups.scheduling.notify();
  last_jobs_unblocked_ = unblocked;
}

double SchedulingLoop::write_rate() {
  const std::size_t members = context_.controller.with_lock([](Controller& controller) {
    return controller.cache().view() ? controller.cache().view()->members.size() : std::size_t{0};
  });
  return context_.settings.state_write_rps * kUsableWriteRateShare /
         static_cast<double>(std::max<std::size_t>(1, members));
}

WriteBudget SchedulingLoop::await_write_budget(const std::stop_token& stop) {
  for (;;) {
    const double rate = write_rate();
    const Seconds wait = write_limiter_.refill(SteadyClock::now(), rate);
    if (wait.count() <= 0 || stop.stop_requested()) return write_limiter_.budget();
    sleep_for(wait, stop);
  }
}

}  // namespace saddleslip
