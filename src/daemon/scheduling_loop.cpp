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

constexpr Seconds kMinRoundGap{0.05};      // events of one burst share a round
constexpr double kMaxRoundGapShare = 0.7;  // of the period
// The gap before a round, in multiples of the time that planning takes: the longer it takes, the
// fewer plans are made, and the more each of them covers.
constexpr double kGapPerPlanningTime = 6;
constexpr double kAverageWeight = 0.3;  // of the latest planning time
constexpr int kMaxPlansPerRound = 6;
constexpr int kMaxFinalizedPerRound = 8;
constexpr std::size_t kMaxFinalsReadPerRound = 16;
constexpr std::size_t kMaxOrphans = 4000;  // records kept for later removal
constexpr double kUsedShareOfWriteRate = 0.85;

}  // namespace

void SchedulingLoop::run(const std::stop_token& stop) {
  const Seconds period = context_.settings.tuning.round_period;
  while (!stop.stop_requested()) {
    context_.wakeups.scheduling.wait_for(period, stop);
    const Seconds gap = std::clamp(average_planning_time_ * kGapPerPlanningTime, kMinRoundGap,
                                   period * kMaxRoundGapShare);
    sleep_for(gap, stop);
    if (replicator_.is_loaded() && !stop.stop_requested()) run_round(stop);
  }
}

void SchedulingLoop::run_round(const std::stop_token& stop) {
  for (int i = 0; i < kMaxPlansPerRound; ++i) {
    if (!schedule_once(stop)) break;
  }
  finalize_jobs();
  collect_garbage(stop);
  read_unresolved_dependencies();
  notify_if_jobs_unblocked();
}

bool SchedulingLoop::schedule_once(const std::stop_token& stop) {
  const WriteBudget write_budget = await_write_budget(stop);
  const Time began = SteadyClock::now();
  route_offers();
  const RoundPlan plan = context_.controller.locked(
      [&](Controller& c) { return c.plan(SteadyClock::now(), write_budget); });
  average_planning_time_ = average_planning_time_ * (1 - kAverageWeight) +
                           base::between(began, SteadyClock::now()) * kAverageWeight;

  std::optional<Commands> starts;
  if (!plan.empty()) starts = commit_plan(plan, stop);
  const bool is_committed = starts.has_value();
  Commands commands = std::move(starts).value_or(Commands{});
  auto stops =
      context_.controller.locked([](Controller& c) { return c.stops(SteadyClock::now()); });
  std::move(stops.begin(), stops.end(), std::back_inserter(commands));
  commands_.enqueue(std::move(commands));

  // Another plan is due only for what one record could not hold, or for what another controller
  // overtook: whatever arrives meanwhile is notified for the next round.
  if (plan.empty()) return false;
  if (!is_committed) sleep_for(kMinRoundGap, stop);
  return !is_committed || plan.more;
}

void SchedulingLoop::route_offers() {
  auto routed = context_.controller.locked([](Controller& c) {
    c.install_view(SteadyClock::now());
    auto offers = c.route(SteadyClock::now());
    const auto own = offers.find(c.self().member);
    if (own != offers.end()) {
      c.add_offers(own->second, SteadyClock::now());
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
  using Outcome = StateClient::Outcome;
  const auto result = state_.commit(plan.txn, kCommitTimeout);
  write_limiter_.charge(plan.txn.writes.size());
  switch (result.outcome) {
    case Outcome::kDone:
      return context_.controller.locked([&](Controller& c) {
        return c.committed(plan, base::Version(result.revision.get()), SteadyClock::now());
      });
    case Outcome::kConflict:
      replicator_.refresh(result.failed);
      return {};
    case Outcome::kUnknown: {
      // It may have been carried out, or may be later. The preconditions decide: the next commit of
      // these keys builds on the versions read now, and only one of the two can succeed.
      std::vector<std::string> keys;
      for (const auto& write : plan.txn.writes) keys.push_back(write.key);
      replicator_.refresh(keys);
      return {};
    }
    case Outcome::kRefused:
    case Outcome::kMalformed:
      sleep_for(kRetryDelay, stop);
      return {};
  }
  return {};
}

void SchedulingLoop::finalize_jobs() {
  for (int i = 0; i < kMaxFinalizedPerRound; ++i) {
    const auto txn = context_.controller.locked([](Controller& c) {
      auto finalization = c.finalize_one_job(SteadyClock::now());
      return finalization ? finalization : c.split_one_record(SteadyClock::now());
    });
    if (!txn) return;
    write_limiter_.charge(txn->writes.size());
    if (!replicator_.commit(*txn)) return;
  }
}

// Removes records of jobs that are over, when there are writes to spare or too many such records.
void SchedulingLoop::collect_garbage(const std::stop_token& stop) {
  const bool has_surplus = await_write_budget(stop) == WriteBudget::kSurplus;
  const auto txn =
      context_.controller.locked([&](Controller& c) -> std::optional<protocol::Transaction> {
        if (!has_surplus && c.cache().orphans().size() <= kMaxOrphans) return {};
        return c.collect_garbage();
      });
  if (!txn) return;
  write_limiter_.charge(txn->writes.size());
  replicator_.commit(*txn);
}

// Jobs may depend on others that were over before this copy was loaded: their final states are not
// among what is loaded and watched.
void SchedulingLoop::read_unresolved_dependencies() {
  std::vector<JobId> ids =
      context_.controller.locked([](Controller& c) { return c.cache().unresolved_dependencies(); });
  if (ids.size() > kMaxFinalsReadPerRound) ids.resize(kMaxFinalsReadPerRound);
  for (const JobId& id : ids) {
    const auto got = state_.get(protocol::final_key(id), kUserReadTimeout);
    if (!got.answered) return;
    const auto state = protocol::parse_final(got.item.value);
    if (!state) continue;
    context_.controller.locked([&](Controller& c) { c.cache().remember_final(id, *state); });
  }
}

// Jobs that this controller's own commits have unblocked have no other event to wait for.
void SchedulingLoop::notify_if_jobs_unblocked() {
  const std::uint64_t unblocked =
      context_.controller.locked([](Controller& c) { return c.cache().jobs_unblocked(); });
  if (unblocked != jobs_unblocked_) context_.wakeups.scheduling.notify();
  jobs_unblocked_ = unblocked;
}

double SchedulingLoop::write_rate() {
  const std::size_t members = context_.controller.locked([](Controller& c) {
    return c.cache().view() ? c.cache().view()->members.size() : std::size_t{0};
  });
  return context_.settings.state_write_rps * kUsedShareOfWriteRate /
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
