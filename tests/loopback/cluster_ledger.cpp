#include "loopback/cluster_ledger.h"

#include <algorithm>

namespace saddleslip::testing {

using Json = nlohmann::json;

namespace {

constexpr std::size_t kMaxViolations = 100;
constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kUnprocessable = 422;
constexpr int kMalformed = 400;

double seconds_since(ClusterLedger::Clock::time_point since) {
  return std::chrono::duration<double>(ClusterLedger::Clock::now() - since).count();
}

bool is_final(const std::string& status) {
  return status == "done" || status == "withdrawn";
}

}  // namespace

std::string LoopbackJob::submission() const {
  const Json deadline = is_service ? Json() : Json(run_s * 10 + 60);
  return Json{{"name_id", id},
              {"herd", is_service ? "service" : "batch"},
              {"drover", "team"},
              {"gait", is_service ? "daemon" : "array"},
              {"rank", is_service ? "critical" : "standard"},
              {"strides", tasks},
              {"cores", cores},
              {"gpus", 0.0},
              {"memory_gb", 1.0},
              {"breeds", nullptr},
              {"paddock", nullptr},
              {"same_place", false},
              {"apart", false},
              {"strays", false},
              {"brand", "image"},
              {"image_gb", 0.1},
              {"ride_s", is_service ? 0.0 : run_s},
              {"waypoint_s", 0.0},
              {"unload_s", 0.0},
              {"sundown_s", deadline}}
      .dump();
}

// --- Users

void ClusterLedger::add_submission(const LoopbackJob& job) {
  const std::lock_guard lock(mutex_);
  jobs_[job.id].job = job;
}

std::optional<LoopbackJob> ClusterLedger::job(const std::string& id) const {
  const std::lock_guard lock(mutex_);
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return {};
  return found->second.job;
}

void ClusterLedger::record_reply(const std::string& id, int status, const std::string& body,
                                 Clock::time_point sent_at) {
  const std::lock_guard lock(mutex_);
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    if (status == kOk || status == kCreated) add_violation("invented", id);
    return;
  }
  JobState& state = found->second;
  if (state.is_accepted &&
      (status == kNotFound || status == kMalformed || status == kUnprocessable))
    add_violation("forgotten", id + " was answered with " + std::to_string(status));
  if (status != kOk && status != kCreated) return;
  const Json reply = Json::parse(body, nullptr, false);
  if (!reply.is_object() || !reply.contains("status")) return;
  state.is_accepted = true;
  state.last_answered_at = Clock::now();
  record_status(state, reply["status"].get<std::string>(), sent_at);
}

void ClusterLedger::record_status(JobState& state, const std::string& status,
                                  Clock::time_point sent_at) {
  const std::string& id = state.job.id;
  // A query that was sent before the reply with the final state arrived may get an older answer.
  if (state.final_status && *state.final_status != status &&
      (is_final(status) || sent_at > state.final_reply_at))
    add_violation("went_back", id + " was " + *state.final_status + " and is now " + status);
  if (status == "done" && (state.job.is_service || state.done_tasks < state.job.tasks))
    add_violation("not_done", id + " was called done with " + std::to_string(state.done_tasks) +
                                  " of " + std::to_string(state.job.tasks) + " tasks done");
  if (status == "withdrawn" && !state.is_cancellation_requested)
    add_violation("went_back", id + " was called cancelled by nobody's request");
  if (!is_final(status) || state.final_status) return;
  state.final_status = status;
  state.final_reply_at = Clock::now();
}

void ClusterLedger::record_cancellation_request(const std::string& id) {
  const std::lock_guard lock(mutex_);
  jobs_.at(id).is_cancellation_requested = true;
}

std::vector<std::string> ClusterLedger::accepted_jobs() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> ids;
  for (const auto& [id, state] : jobs_) {
    if (state.is_accepted) ids.push_back(id);
  }
  return ids;
}

// --- Agents

bool ClusterLedger::is_past_cancellation(const JobState& state) const {
  return state.final_status == "withdrawn" && seconds_since(state.final_reply_at) > cancel_s_;
}

void ClusterLedger::record_start(const std::string& machine, const std::string& job,
                                 std::uint32_t task) {
  const std::lock_guard lock(mutex_);
  ++starts_;
  JobState& state = jobs_.at(job);
  TaskState& task_state = state.tasks[task];
  const std::string name = job + "/" + std::to_string(task);
  for (const std::string& other : task_state.machines) {
    if (other != machine)
      add_violation("ran_twice", std::string(name)
                                     .append(" started on ")
                                     .append(machine)
                                     .append(" while on ")
                                     .append(other));
  }
  task_state.machines.insert(machine);
  if (is_past_cancellation(state)) add_violation("ran_cancelled", name + " started on " + machine);
}

void ClusterLedger::record_end(const std::string& machine, const std::string& job,
                               std::uint32_t task, bool is_done) {
  const std::lock_guard lock(mutex_);
  JobState& state = jobs_.at(job);
  TaskState& task_state = state.tasks[task];
  task_state.machines.erase(machine);
  if (is_past_cancellation(state))
    add_violation("ran_cancelled", job + "/" + std::to_string(task) + " ended late on " + machine);
  if (!is_done || task_state.is_done) return;
  task_state.is_done = true;
  ++state.done_tasks;
}

// --- Results

void ClusterLedger::begin_quiet_time() {
  const std::lock_guard lock(mutex_);
  quiet_since_ = Clock::now();
}

bool ClusterLedger::is_every_job_answered() const {
  const std::lock_guard lock(mutex_);
  return std::all_of(jobs_.begin(), jobs_.end(), [this](const auto& entry) {
    return !entry.second.is_accepted || entry.second.last_answered_at > quiet_since_;
  });
}

double ClusterLedger::check_unanswered(double limit_s) {
  const std::lock_guard lock(mutex_);
  double longest = 0;
  std::size_t unanswered = 0;
  std::string example;
  for (const auto& [id, state] : jobs_) {
    if (!state.is_accepted) continue;
    const double silent_s = seconds_since(std::max(quiet_since_, state.last_answered_at));
    longest = std::max(longest, silent_s);
    if (silent_s < limit_s) continue;
    if (unanswered++ == 0) example = id;
  }
  if (unanswered > 0)
    add_violation("unanswered", std::to_string(unanswered) + " accepted jobs, such as " + example);
  return longest;
}

void ClusterLedger::check_cancelled_tasks() {
  const std::lock_guard lock(mutex_);
  for (const auto& [id, state] : jobs_) {
    if (!is_past_cancellation(state)) continue;
    for (const auto& [number, task] : state.tasks) {
      if (!task.machines.empty())
        add_violation("ran_cancelled",
                      id + "/" + std::to_string(number) + " is on " + *task.machines.begin());
    }
  }
}

std::vector<std::string> ClusterLedger::violations() const {
  const std::lock_guard lock(mutex_);
  return violations_;
}

std::size_t ClusterLedger::accepted_count() const {
  return accepted_jobs().size();
}

std::uint64_t ClusterLedger::start_count() const {
  const std::lock_guard lock(mutex_);
  return starts_;
}

void ClusterLedger::add_violation(const std::string& rule, const std::string& detail) {
  if (violations_.size() < kMaxViolations) violations_.push_back(rule + ": " + detail);
}

}  // namespace saddleslip::testing
