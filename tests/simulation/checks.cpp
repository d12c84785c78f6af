// Users' questions, the rules of the protocol, and the operators' checks of a whole day.
#include <algorithm>
#include <sstream>

#include "coordination/records/admission.h"
#include "simulation/simulated_cluster.h"
#include "simulation/simulation_internal.h"

namespace saddleslip::testing {

namespace {

constexpr double kForgottenAfter = 75;
constexpr double kLeftWaitingAfter = 90;

}  // namespace

void SimulatedCluster::check_start(const Worker& w, const TaskId& task) {
  ++starts_;
  trace_.write(clock_.seconds(), "start", w.id, task.job.get(), task.no);
  const auto j = jobs_.find(task.job);
  if (j == jobs_.end()) return failures_.add("invented: a task of an unknown job starts");
  ++j->second.starts;
  const auto& spec = j->second.spec;
  const std::string text = task.job.get() + "/" + std::to_string(task.no);
  std::map<std::string, int> zones;
  for (const auto& [id, other] : workers_) {
    for (const auto& [t, attempts] : other.tasks) {
      const bool on = std::any_of(attempts.begin(), attempts.end(),
                                  [](const Task& a) { return is_active(a.state); });
      if (!on || t.job != task.job || !other.alive) continue;
      if (t == task && id != w.id)
        failures_.add(std::string("ran_twice: ").append(text) + " starts on " + w.id + ", is on " +
                      id);
      if (t != task) ++zones[other.zone];
    }
  }
  if (!dependencies_are_done(j->second)) failures_.add("too_early: " + text);
  if (!coordination::may_run(spec, w.type, w.zone, w.spot)) failures_.add("wrong_place: " + text);
  if (spec.one_zone && !zones.empty() && !zones.contains(w.zone))
    failures_.add("wrong_place: " + text + " in another zone");
  if (spec.spread && zones[w.zone] + 1 > static_cast<int>((spec.tasks + 1) / 2)) {
    failures_.add("wrong_place: too many of " + spec.id.get() + " in " + w.zone);
  }
}

bool SimulatedCluster::dependencies_are_done(const SimulatedJob& job) const {
  return std::all_of(
      job.spec.dependencies.begin(), job.spec.dependencies.end(), [this](const JobId& need) {
        const auto at = jobs_.find(need);
        const auto* record = state_.find(protocol::final_key(need));
        return at != jobs_.end() && at->second.done.size() == at->second.spec.tasks && record &&
               record->value["f"] == "d";
      });
}

std::optional<double> SimulatedCluster::dependency_cancelled_at(const SimulatedJob& job) const {
  std::optional<double> first;
  std::set<JobId> seen;
  std::vector<JobId> open = job.spec.dependencies;
  while (!open.empty()) {
    const JobId id = open.back();
    open.pop_back();
    const auto at = jobs_.find(id);
    if (at == jobs_.end() || !seen.insert(id).second) continue;
    const auto& told = at->second.cancelled_at;
    if (told && (!first || *told < *first)) first = told;
    open.insert(open.end(), at->second.spec.dependencies.begin(),
                at->second.spec.dependencies.end());
  }
  return first;
}

bool SimulatedCluster::cancellation_asked(const SimulatedJob& job) const {
  return job.cancel_asked || dependency_cancelled_at(job);
}

void SimulatedCluster::check_command(std::size_t n, const TaskId& task) {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end() || !job->second.cancelled_at) return;
  bool hears = state_.is_reachable_from(n);
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    hears = hears ||
            (m != n && nodes_[m].up && !network_.is_cut(controller_name(n), controller_name(m)));
  }
  const double since = clock_.seconds() - *job->second.cancelled_at;
  if (since > (hears ? 0 : nodes_[n].settings.tuning.member_ttl.count()))
    failures_.add("ran_cancelled: " + controller_name(n) + " commands a start of " +
                  task.job.get() + " " + std::to_string(since) +
                  " s after its cancellation was confirmed");
}

void SimulatedCluster::submit(std::size_t n, SimulatedJob& job) {
  Json j = to_json(job.spec);
  if (!nodes_[n].up || !nodes_[n].loaded) return;
  const auto r = nodes_[n].users->submit(j.dump(), clock_.now());
  if (r.status == 201 || r.status == 200) job.accepted = true;
  if ((r.status == 400 || r.status == 422) && job.accepted)
    failures_.add("forgotten: " + job.spec.id.get());
}

bool SimulatedCluster::troubled() const {
  if (state_.is_down() || network_.has_cuts() || state_.has_announced_delays() ||
      !watch_lag_.empty())
    return true;
  return std::any_of(nodes_.begin(), nodes_.end(), [this](const SimulatedController& n) {
    return !n.up || !n.loaded || clock_.seconds() < n.frozen_until;
  });
}

void SimulatedCluster::poll() {
  next_poll_ = clock_.seconds() + 0.5;
  if (troubled()) troubles_over_ = clock_.seconds();
  for (auto& [id, job] : jobs_) {
    if (!job.accepted) submit(0, job);
    if (!job.accepted) continue;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!nodes_[n].up || !nodes_[n].loaded || clock_.seconds() < nodes_[n].frozen_until ||
          unasked_.contains(n))
        continue;
      if (job.cancel_asked && !job.cancelled_at && job.told_final.empty()) {
        const auto r = nodes_[n].users->cancel(id, clock_.now());
        // What is over already is answered "done", and stays so.
        if (r.status == 200 && Json::parse(r.body)["status"] == "withdrawn")
          job.cancelled_at = clock_.seconds();
      }
      const auto r = nodes_[n].users->status(id);
      if (r.status == 404) failures_.add("forgotten: " + id.get());
      if (r.status != 200) continue;
      job.known_at = clock_.seconds();
      check_answer(job, Json::parse(r.body)["status"]);
    }
    if (!job.ready_since && dependencies_are_done(job)) job.ready_since = clock_.seconds();
  }
  check_waiting();
  for (const auto& [id, job] : jobs_) {
    if (job.accepted && clock_.seconds() - std::max(job.known_at, troubles_over_) > kForgottenAfter)
      failures_.add("forgotten: no question about " + id.get() + " is answered");
  }
  for (std::size_t n = 0; n < nodes_.size(); ++n) {
    if (!nodes_[n].up || !nodes_[n].loaded || unasked_.contains(n)) continue;
    if (nodes_[n].users->status(JobId("run-999999")).status == 200)
      failures_.add("invented: run-999999");
  }
}

void SimulatedCluster::check_answer(SimulatedJob& job, const std::string& word) {
  const std::string& id = job.spec.id.get();
  const std::string status = word == "withdrawn" ? "cancelled" : word;  // the wire's word for it
  if (!job.told_final.empty() && status != job.told_final)
    failures_.add("went_back: " + id + " from " + job.told_final + " to " + status);
  if (status == "done" && job.done.size() < job.spec.tasks) failures_.add("not_done: " + id);
  if (status == "cancelled" && !cancellation_asked(job))
    failures_.add("went_back: " + id + " cancelled by nobody");
  const auto dependency_cancelled = dependency_cancelled_at(job);
  if (status != "cancelled" && dependency_cancelled &&
      clock_.seconds() > *dependency_cancelled + cancel_s_)
    failures_.add("orphaned: " + id + " is called " + status);
  if (status == "done" || status == "cancelled") job.told_final = status;
}

void SimulatedCluster::check_rules() {
  std::map<std::string, double> use;
  for (const auto& [id, w] : workers_) {
    if (!w.alive) continue;
    for (const auto& [task, attempts] : w.tasks) {
      const auto job = jobs_.find(task.job);
      if (job == jobs_.end()) continue;
      for (const Task& a : attempts) {
        if (a.state != "running") continue;
        use[job->second.spec.team] += job->second.spec.request.cores();
        if (job->second.cancelled_at && clock_.seconds() > *job->second.cancelled_at + cancel_s_) {
          failures_.add("ran_cancelled: " + task.job.get() + "/" + std::to_string(task.no));
          return;
        }
      }
    }
  }
  for (const Json& team : Json::parse("[" + teams_ + "]")) {
    const double most = team["cpus_max"];
    const double used = use[team["name"]];
    if (most > 0 && used > most + 1e-6) {
      failures_.add("quota: team " + team["name"].get<std::string>() + " uses " +
                    std::to_string(used));
    }
  }
}

// Is a task of a job left waiting though a machine that fits has room and its team is under its limit?
void SimulatedCluster::check_waiting() {
  std::map<std::string, double> team_use;
  std::map<std::string, double> used;
  std::map<JobId, std::set<TaskNo>> on;  // on a machine, or ended there
  for (const auto& [id, w] : workers_) {
    for (const auto& [task, attempts] : w.tasks) {
      const auto job = jobs_.find(task.job);
      if (job == jobs_.end()) continue;
      for (const Task& a : attempts) {
        if (!is_active(a.state)) continue;
        on[task.job].insert(task.no);
        used[id] += job->second.spec.request.cores();
        team_use[job->second.spec.team] += job->second.spec.request.cores();
      }
    }
  }
  std::map<std::string, double> limits;
  for (const Json& t : Json::parse("[" + teams_ + "]")) {
    const double most = t["cpus_max"];
    limits[t["name"]] = most > 0 ? most : 1e9;
  }
  for (auto& [id, job] : jobs_) {
    const auto& spec = job.spec;
    // A job that fails wherever it runs waits for ever: it is left waiting if it is not tried again.
    if (job.fails_after && job.starts > job.starts_seen) job.room_since.reset();
    job.starts_seen = job.starts;
    std::set<TaskNo> busy = on[id];
    if (spec.kind != protocol::Kind::kService) busy.insert(job.done.begin(), job.done.end());
    const bool waits =
        job.accepted && job.ready_since && !cancellation_asked(job) && busy.size() < spec.tasks;
    const bool room = waits &&
                      team_use[spec.team] + spec.request.cores() <= limits.at(spec.team) + 1e-6 &&
                      std::any_of(workers_.begin(), workers_.end(), [&](const auto& m) {
                        const Worker& w = m.second;
                        return w.alive && !w.hung && !w.sick && !w.deaf && !w.mute && !w.taken_at &&
                               clock_.seconds() >= w.boots &&
                               coordination::may_run(spec, w.type, w.zone, w.spot) &&
                               used[m.first] + spec.request.cores() <= cores_of(w.type) + 1e-6;
                      });
    // Gangs and jobs bound to one zone or spread need more than one machine's room.
    if (!room || troubled() || spec.kind == protocol::Kind::kGang || spec.one_zone || spec.spread) {
      job.room_since.reset();
    } else if (!job.room_since) {
      job.room_since = clock_.seconds();
    } else if (clock_.seconds() - *job.room_since > kLeftWaitingAfter) {
      failures_.add("left waiting: " + id.get() + " though a machine has room for it");
    }
  }
}

// Half of each class, of each team, and of each class's largest jobs is served, of those that have had
// so long for it. A day that fails this counts for nothing.
void SimulatedCluster::check_served(double after) {
  std::map<std::string, std::pair<std::size_t, std::size_t>> served;
  std::map<std::string, TaskNo> largest;
  for (const auto& [id, job] : jobs_) {
    auto& most = largest[job.spec.job_class];
    most = std::max(most, job.spec.tasks);
  }
  for (const auto& [id, job] : jobs_) {
    if (cancellation_asked(job) || !job.ready_since ||
        clock_.seconds() - std::max(*job.ready_since, troubles_over_) < after) {
      continue;
    }
    const auto count = [&served](const std::string& group, bool is_served) {
      ++served[group].second;
      if (is_served) ++served[group].first;
    };
    const bool began = job.began.has_value();
    count("class " + job.spec.job_class, began);
    count("team " + job.spec.team, began);
    if (job.spec.tasks == largest[job.spec.job_class])
      count("the largest of class " + job.spec.job_class, began && job.waited <= kServedWithin);
  }
  for (const auto& [group, n] : served) {
    if (n.first * 2 < n.second)
      failures_.add("served of " + group + ": " + std::to_string(n.first) + " of " +
                    std::to_string(n.second));
  }
}

}  // namespace saddleslip::testing
