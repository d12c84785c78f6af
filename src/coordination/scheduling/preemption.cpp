// Work is stopped to make room for waiting work that may displace it.
#include <algorithm>

#include "base/log.h"
#include "coordination/controller.h"

namespace saddleslip::coordination {

using protocol::Kind;

namespace {

constexpr Seconds kPreemptRepeat{6.0};
constexpr double kNoCores = 1e-6;  // less is a rounding error

}  // namespace

// The cores of each team's tasks that were told to stop and have not ended yet.
std::map<std::string, double> Controller::stopping_cores() const {
  std::map<std::string, double> stopping;
  for (const auto& [id, m] : machines_) {
    for (const TaskId& t : m.evict) {
      const Job* job = cache_.job(t.job);
      if (job && job->assignment(t.no)) {
        stopping[job->record.spec.team] += job->record.spec.request.cores();
      }
    }
  }
  return stopping;
}

// By how many cores one more task of the job would exceed its team's limit.
double Controller::cores_over_quota(const protocol::JobSpec& spec) const {
  if (!cache_.has_quota_limit(spec.team)) return 0;
  const base::Team& team = settings_.teams.at(spec.team);
  Resources use = cache_.team_use(spec.team);
  use += spec.request;
  return team.max_cores > 0 ? std::max(0.0, use.cores() - team.max_cores) : 0;
}

bool Controller::may_stop(const Preemption& p, const Job& other) const {
  const auto& spec = p.job->record.spec;
  const auto& o = other.record.spec;
  // At its team's limit only the team's own lower work can give way.
  if (p.cores_over_quota > kNoCores && o.team != spec.team) return false;
  // What other jobs wait for is stopped as if it were one of them; what stops others does so by its own
  // rank. So nothing that was stopped stops what it gave way to in its turn.
  if (priorities_.rank(other) > spec.rank) return true;
  if (p.cores_over_quota > kNoCores) return false;
  // Only what another team runs beyond its guarantee, and no more of it than that: a job within
  // the guarantee, once stopped, would stop others in its turn, and so on for ever.
  if (!priorities_.is_guaranteed(*p.job) || o.team == spec.team || o.kind == Kind::kService ||
      priorities_.is_guaranteed(other)) {
    return false;
  }
  const auto team = settings_.teams.find(o.team);
  const auto stopping = p.stopping.find(o.team);
  const double ends = stopping == p.stopping.end() ? 0 : stopping->second;
  return team != settings_.teams.end() &&
         cache_.team_use(o.team).cores() - ends > team->second.guaranteed_cores + kNoCores;
}

// The tasks on the machine that the job may have stopped, what loses the least first.
std::vector<Controller::Victim> Controller::candidates(const Preemption& p, const Machine& m,
                                                       Time now) const {
  std::vector<Victim> out;
  for (const auto& [task, assignment] : cache_.assignments_on(m.last_heartbeat.machine)) {
    const Job* other = cache_.job(task.job);
    if (!other || other->cancelled() || m.evict.contains(task) ||
        reported_ended(m, task, assignment) || !may_stop(p, *other)) {
      continue;
    }
    const auto ran = m.ran.find(task);
    const Seconds lost = ran == m.ran.end() ? Seconds(0) : base::between(ran->second, now);
    out.push_back({task, other->record.spec.request, lost});
  }
  std::sort(out.begin(), out.end(),
            [](const Victim& a, const Victim& b) { return a.lost < b.lost; });
  return out;
}

// What would have to be stopped on this machine for one task of the job; none if that can't be done.
std::optional<Controller::PreemptionCandidate> Controller::preemption_on(const Preemption& p,
                                                                         const Machine& m,
                                                                         Time now) const {
  const auto& spec = p.job->record.spec;
  Resources room = capacity(m).free;
  room += being_stopped(m);
  if (const auto taken = p.taken.find(m.last_heartbeat.machine); taken != p.taken.end())
    room -= taken->second;
  // What a guarantee may take is more than what is of lower rank.
  if (!priorities_.is_guaranteed(*p.job)) {
    Resources most = room;
    most += capacity(m).preemptible;
    if (!most.fits(spec.request)) return {};
  }
  PreemptionCandidate out;
  double excess = p.cores_over_quota;
  for (const Victim& v : candidates(p, m, now)) {
    if (room.fits(spec.request) && excess < kNoCores) break;
    excess -= v.request.cores();
    room += v.request;
    out.lost += v.lost.count() * v.request.cores();
    out.tasks.push_back(v.task);
  }
  if (!room.fits(spec.request) || excess > kNoCores) return {};
  return out;
}

// Makes room for one task of the job, on the machine on which the least work is lost; where the image
// is, if that makes it start in time. False: there is nowhere.
bool Controller::preempt_for_one(Preemption& p, Time now) {
  const auto& spec = p.job->record.spec;
  const bool with_image = displaces_for_image(*p.job, now);
  Machine* best = nullptr;
  PreemptionCandidate least;
  for (auto& [id, m] : machines_) {
    if (m.cordoned || !is_schedulable(m, now) ||
        !may_run(spec, m.last_heartbeat.type, m.last_heartbeat.zone, m.last_heartbeat.spot) ||
        (with_image && !m.has_image(spec.image))) {
      continue;
    }
    if (reservations_.is_reserved_for_other(id, spec.id)) continue;
    auto candidate = preemption_on(p, m, now);
    if (!candidate || (best && candidate->lost >= least.lost)) continue;
    best = &m;
    least = std::move(*candidate);
  }
  if (!best) return false;
  p.taken[best->last_heartbeat.machine] += spec.request;
  // What is made room here is kept for it: given away to what was stopped, it had to be made
  // again and again, and never was enough.
  reservations_.reserve_preempted_capacity(best->last_heartbeat.machine, spec.id,
                                           base::after(now, kPreemptRepeat));
  for (const TaskId& v : least.tasks) {
    spdlog::info("{}/{} on {} is stopped to make room for {}", v.job.get(), v.no,
                 best->last_heartbeat.machine.get(), spec.id.get());
    best->evict.insert(v);
    if (const Job* other = cache_.job(v.job))
      p.stopping[other->record.spec.team] += other->record.spec.request.cores();
  }
  preempting_[spec.id] = now;
  return true;
}

void Controller::preempt(const std::vector<std::pair<const Job*, std::size_t>>& waiting, Time now) {
  std::erase_if(preempting_, [&](const auto& p) {
    return base::between(p.second, now) > kPreemptRepeat || !cache_.job(p.first);
  });
  std::map<std::string, double> stopping;
  if (std::any_of(waiting.begin(), waiting.end(),
                  [&](const auto& w) { return priorities_.is_guaranteed(*w.first); })) {
    stopping = stopping_cores();
  }
  for (const auto& [job, count] : waiting) {
    const auto& spec = job->record.spec;
    if (!priorities_.may_displace(*job) || preempting_.contains(spec.id)) continue;
    Preemption p{job, cores_over_quota(spec), stopping, {}};
    for (std::size_t left = count; left > 0; --left) {
      if (!preempt_for_one(p, now)) break;
    }
    stopping = std::move(p.stopping);
  }
}

}  // namespace saddleslip::coordination
