// What a controller does in each round besides placing tasks: silent machines, faulty machines, services that
// move away, and the records of jobs that are over.
#include <algorithm>

#include "base/log.h"
#include "coordination/controller.h"
#include "coordination/records/admission.h"

namespace saddleslip::coordination {

using protocol::Kind;

namespace {

constexpr Seconds kUnheardFor{0.3};
constexpr Seconds kLostReply{6.0};
constexpr Seconds kRoomToMove{1.5};
constexpr Seconds kSettled{35.0};  // a start that is undone sooner was none

bool is_done(const std::optional<protocol::FinalState>& state) {
  return state && state->status == protocol::JobStatus::kDone;
}

}  // namespace

bool Controller::runs_for_long(const Job& job, Time now) const {
  const JobId& id = job.record.spec.id;
  const Seconds needed = failures_.long_run(id);
  return std::any_of(machines_.begin(), machines_.end(), [&](const auto& entry) {
    const Machine& m = entry.second;
    const auto first = m.ran.lower_bound(TaskId{id, 0});
    return first != m.ran.end() && first->first.job == id &&
           base::between(first->second, now) > needed && !failures_.avoids(id, entry.first, now);
  });
}

void Controller::evaluate_failures(Time now) {
  for (const JobId& id : failures_.unproven()) {
    const Job* job = cache_.job(id);
    const bool completed = job ? job->done > 0 : is_done(cache_.final_state(id));
    if (completed || (job && runs_for_long(*job, now))) {
      failures_.mark_sound(id);
    } else if (!job || job->cancelled()) {
      failures_.forget_job(id);
    }
  }
  for (auto& [id, m] : machines_) {
    if (m.cordoned || !failures_.is_faulty(id)) continue;
    m.cordoned = true;
    spdlog::warn("machine {} fails tasks of jobs that run elsewhere: closed", id.get());
  }
}

bool Controller::is_crash_looping(const JobId& id, Time now) const {
  if (failures_.is_crash_looping(id)) return true;
  const Job* job = cache_.job(id);
  if (job && job->done > 0) return false;
  return peers_.any_sees_crash_loop(id, now);
}

const std::vector<MachineId>& Controller::unheard_owned(Time now) {
  if (base::between(unheard_owned_at_, now) < kUnheardFor &&
      unheard_owned_at_ > view_installed_at_) {
    return unheard_owned_;
  }
  unheard_owned_at_ = now;
  unheard_owned_.clear();
  for (const auto& [id, tasks] : cache_.assigned()) {
    if (!machines_.contains(id) && owns(id)) unheard_owned_.push_back(id);
  }
  return unheard_owned_;
}

// Stops one service on a machine that is being emptied, if it finds room with its image elsewhere now.
void Controller::move_service_away(Machine& m, const Partitions& known, Time now) {
  const MachineId& id = m.last_heartbeat.machine;
  // One service at a time, and none that a user would still count as just started.
  const bool moving = std::any_of(m.evict.begin(), m.evict.end(), [&](const TaskId& t) {
    return cache_.assignments_on(id).contains(t);
  });
  if (moving) return;
  for (const auto& [task, since] : m.ran) {
    const Job* job = cache_.job(task.job);
    if (!job || job->record.spec.kind != Kind::kService || m.evict.contains(task) ||
        base::between(since, now) < kSettled) {
      continue;
    }
    // The leader's view of room is a second old: look again, or the service would wait for an
    // image, or for room.
    const auto& spec = job->record.spec;
    const auto takes = [&](const MachineStatus* r) {
      return r->open && r->id != id && r->tasks > 0 && r->free.fits(spec.request) &&
             may_run(spec, r->type, r->zone, r->spot) && r->has_image(spec.image);
    };
    const bool fits = std::any_of(known.begin(), known.end(), [&](const auto& partition) {
      return std::any_of(partition.second.begin(), partition.second.end(), takes);
    });
    if (!fits) continue;
    spdlog::info("{}/{} moves away from {}", task.job.get(), task.no, id.get());
    m.evict.insert(task);
    return;
  }
}

void Controller::housekeeping(Time now) {
  const Seconds set = settings_.tuning.silent_release;
  const auto patience = [&](double reports, Seconds more) {
    if (set.count() > 0) return set;
    return std::max(settings_.heartbeat_interval * reports + more, settings_.worker_lease * 0.35);
  };
  // One whose answer was lost waits for it, tries the next node and is sent back here.
  const Seconds quiet = std::max(patience(1.75, Seconds(1.0)), set.count() > 0 ? set : kLostReply);
  // One that hears nothing comes by less often, since it goes from node to node.
  const Seconds unanswered = patience(2.5, Seconds(2.0));
  std::set<MachineId> silent_machines;
  std::size_t owned = machines_.size(), late = 0;
  std::optional<Partitions> known;
  for (auto& [id, m] : machines_) {
    m.release_requested = m.cordoned && cache_.assignments_on(id).empty() && !capacity(m).active;
    if (m.draining && is_schedulable(m, now)) {
      if (!known) known = partitions(now, kRoomToMove);
      move_service_away(m, *known, now);
    }
    const bool overdue = m.taken_at && now > *m.taken_at;
    // While this node might not answer, workers went from node to node: that is no silence.
    const Time heard = std::max(m.last_heartbeat_at, listening_since());
    const bool silent =
        base::between(heard, now) > (overdue ? settings_.heartbeat_interval * 2.0 : quiet);
    // Reports that arrive while no answer does, or late copies of a dead machine's.
    const bool is_half_open =
        m.is_half_open() &&
        base::between(std::max(*m.half_open_since, listening_since()), now) > unanswered;
    if (silent || is_half_open) silent_machines.insert(id);
    if (silent || is_half_open ||
        base::between(heard, now) > settings_.heartbeat_interval * storage::kOverdue)
      ++late;
  }
  for (const MachineId& id : unheard_owned(now)) {
    if (machines_.contains(id) || released_.contains(id) || cache_.assignments_on(id).empty())
      continue;
    ++owned;
    const Time since = owned_since_.try_emplace(id, now).first->second;
    // Workers whose node is gone need a while to find their new one.
    const Seconds missed = base::between(std::max(since, listening_since()), now);
    const Seconds on_its_way = settings_.heartbeat_interval + Seconds(6.0);
    if (missed > std::max(quiet, on_its_way)) silent_machines.insert(id);
    if (missed > on_its_way) ++late;
  }
  // One silent machine is most likely dead, and its release is the quickest proof. When many fall
  // silent at once the network is: they may all be well, and come back.
  // And when the network heals, they don't all come back in the same instant.
  // Counted with those that are overdue: machines do not fall silent in the same instant, and the
  // first fifth of a zone that is cut off must not go back to the cloud before the rest is missed.
  if (late > std::max<std::size_t>(1, owned / 5)) many_silent_at_ = now;
  const bool few =
      !many_silent_at_ || base::between(*many_silent_at_, now) >
                              settings_.worker_lease * 0.5 + settings_.heartbeat_interval * 4.0;
  std::set<MachineId> next;
  for (const MachineId& id : silent_machines) {
    const auto at = machines_.find(id);
    const Time since = at == machines_.end()        ? owned_since_[id]
                       : at->second.half_open_since ? *at->second.half_open_since
                                                    : at->second.last_heartbeat_at;
    if (few || silent_machines_.contains(id) ||
        base::between(since, now) > settings_.worker_lease * 6.0) {
      if (!silent_machines_.contains(id))
        spdlog::info("machine {} is silent: to be released", id.get());
      next.insert(id);
    }
  }
  silent_machines_ = std::move(next);
  evaluate_failures(now);
  watch_contact(now);
  std::erase_if(absent_, [&](const auto& a) { return !cache_.job(a.first.job); });
}

std::optional<Transaction> Controller::finalize_one_job(Time now) {
  if (!has_incarnation_ || !cache_.view()) return {};
  for (const auto& [id, job] : cache_.jobs()) {
    if (!may_finalize(job)) continue;
    const ControllerIncarnation* home = home_of(*cache_.view(), id);
    if (!home || *home != self_ || !cache_.is_settled(job)) continue;
    return finalize(job, settings_.txn_ops, priorities_.time_of_day(now));
  }
  return {};
}

std::optional<Transaction> Controller::split_one_record(Time now) {
  if (!has_authority(now) || cache_.format() < protocol::kFormatWithPieces) return {};
  for (const auto& [id, job] : cache_.jobs()) {
    const ControllerIncarnation* home = home_of(*cache_.view(), id);
    if (!home || *home != self_ || job.cancelled_on_record()) continue;
    if (auto txn = split_chunks(job, installed_view_, settings_)) return txn;
  }
  return {};
}

std::optional<Transaction> Controller::collect_garbage() {
  if (!has_incarnation_ || !cache_.view() || cache_.orphans().empty()) return {};
  Transaction txn;
  for (const auto& [key, version] : cache_.orphans()) {
    const ControllerIncarnation* home = home_of(*cache_.view(), JobId(key));
    if (!home || *home != self_) continue;
    if (txn.writes.size() >= settings_.txn_ops) break;
    txn.preconditions[key] = version;
    // Only what belongs to no job: one that this copy has not heard of yet is not over.
    const auto chunk = protocol::parse_chunk_key(key);
    const auto job = chunk ? chunk->job : protocol::job_of_dependency_key(key);
    if (job) txn.preconditions[protocol::job_key(*job)] = Version(0);
    txn.writes.push_back({key, {}, {}});
  }
  if (txn.writes.empty()) return {};
  return txn;
}

}  // namespace saddleslip::coordination
