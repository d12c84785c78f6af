// What users and agents of a loopback cluster have seen, and the checks of the protocol's rules on
// it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace saddleslip::testing {

// A job as its user submitted it.
struct LoopbackJob {
  std::string id;
  bool is_service = false;
  std::uint32_t tasks = 1;
  double cores = 1;
  double run_s = 5;
  // Returns the body of its submission.
  std::string submission() const;
};

// Records the submissions, the replies that users get and the starts and ends of tasks, and checks
// each against the rules. A violation is kept as one line of text.
//
// All functions may be called from any thread.
class ClusterLedger {
 public:
  using Clock = std::chrono::steady_clock;

  // `cancel_s` is the time within which the tasks of a cancelled job must be gone.
  explicit ClusterLedger(double cancel_s) : cancel_s_(cancel_s) {}

  // --- Users

  // Records that a user is about to submit the job.
  void add_submission(const LoopbackJob& job);
  // Returns the job of this id, or nothing if nobody has submitted it.
  std::optional<LoopbackJob> job(const std::string& id) const;
  // Records a reply to a submission, a status query or a cancellation of the job, asked at
  // `sent_at`.
  void record_reply(const std::string& id, int status, const std::string& body,
                    Clock::time_point sent_at);
  // Records that a user is about to cancel the job.
  void record_cancellation_request(const std::string& id);
  // Returns all accepted jobs.
  std::vector<std::string> accepted_jobs() const;

  // --- Agents

  // Records that the machine has started a task.
  void record_start(const std::string& machine, const std::string& job, std::uint32_t task);
  // Records that the task is no longer on the machine, and whether it has completed.
  void record_end(const std::string& machine, const std::string& job, std::uint32_t task,
                  bool is_done);

  // --- Results

  // Begins the time in which each accepted job must be answered for.
  void begin_quiet_time();
  // Returns whether each accepted job was answered for since the quiet time began.
  bool is_every_job_answered() const;
  // Checks that no accepted job has been without an answer for `limit_s` since the quiet time
  // began. Returns the longest time without an answer.
  double check_unanswered(double limit_s);
  // Checks for tasks of cancelled jobs that are still on a machine.
  void check_cancelled_tasks();
  // Returns a line for each violation.
  std::vector<std::string> violations() const;
  std::size_t accepted_count() const;
  std::uint64_t start_count() const;

 private:
  struct TaskState {
    std::set<std::string> machines;  // on which the task is
    bool is_done = false;
  };
  struct JobState {
    LoopbackJob job;
    bool is_accepted = false;
    bool is_cancellation_requested = false;
    // When the user asked for the final state that a controller reported, and when the reply came.
    std::optional<std::string> final_status;
    Clock::time_point final_reply_at{};
    // The last time at which the job was answered for.
    Clock::time_point last_answered_at{};
    std::map<std::uint32_t, TaskState> tasks;
    std::size_t done_tasks = 0;
  };

  void add_violation(const std::string& rule, const std::string& detail);
  void record_status(JobState& state, const std::string& status, Clock::time_point sent_at);
  bool is_past_cancellation(const JobState& state) const;

  const double cancel_s_;
  mutable std::mutex mutex_;  // guards the members below
  std::map<std::string, JobState> jobs_;
  std::vector<std::string> violations_;
  std::uint64_t starts_ = 0;
  Clock::time_point quiet_since_{};
};

}  // namespace saddleslip::testing
