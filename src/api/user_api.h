// The API for users: submits jobs, reports their status and cancels them.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "base/monitored_mutex.h"
#include "coordination/controller.h"
#include "protocol/clients.h"
#include "protocol/job_record.h"
#include "transport/http.h"

namespace saddleslip {

// Handles users' requests to submit a job, to read its status and to cancel it.
//
// Consistency: no reply of any controller contradicts an earlier one. A job is accepted once its
// record is committed, and no later submission of the same id changes that. A reported status is
// either final, and then never changes, or read from a local cache that was brought up to date
// after the request arrived. If neither is possible, the reply is 503 and the user may retry.
//
// Threading: all functions may be called by several threads at once, and block on calls to the
// state service. The mutex guards the controller. It is locked only to read or update the
// controller's cache and never during a call to the state service; the caller must not hold it.
//
// Lifetime: keeps references to the settings, the mutex and the controller, which must outlive it.
class UserApi {
 public:
  // Callbacks for access to the state service and for notifications to the process that owns this
  // object. All of them may be called by several threads at once.
  struct Store {
    // Brings the local cache up to date with the state service as of some moment after the call.
    // Returns false if that failed.
    std::function<bool()> read_barrier;
    // Reads one key from the state service.
    std::function<protocol::StateClient::GetResult(const std::string& key)> get;
    // Commits one transaction to the state service.
    std::function<protocol::StateClient::CommitResult(const protocol::Transaction& transaction)>
        commit;
    // Returns the time of day in seconds since 1970.
    std::function<double()> time_of_day;
    // Requests a scheduling round after a job was accepted or cancelled.
    std::function<void()> request_scheduling_round;
    // Sends a committed cancellation to the other controllers before the user gets the reply. A
    // controller that cannot reach the state service learns of the cancellation only this way.
    std::function<void(const base::JobId& id)> broadcast_cancellation;
  };
  UserApi(const base::Settings& settings, base::MonitoredMutex& mutex,
          coordination::Controller& controller, Store store)
      : settings_(settings), mutex_(mutex), controller_(controller), store_(std::move(store)) {}

  // Submits the job described by the JSON text `body`. Replies 201 if the job is accepted now, 200
  // if it was accepted before, 400 or 422 if it is refused, and 503 if the user has to retry.
  transport::Reply submit(const std::string& body, base::Time now);
  // Replies 200 with the job's status, 404 if the job was never accepted, or 503.
  transport::Reply status(const base::JobId& id);
  // Cancels a job. Replies 200 with the job's final status, which is not "cancelled" if the job was
  // done before; 404 if the job was never accepted; or 503.
  transport::Reply cancel(const base::JobId& id, base::Time now);

 private:
  // Whether any controller has accepted a job.
  enum class Acceptance {
    kAccepted,
    kNeverAccepted,
    kUnknown,  // the state service did not answer in time
  };
  // The status of a job and its progress, as reported to users.
  struct JobState {
    protocol::JobStatus status = protocol::JobStatus::kQueued;
    // The numbers of completed and of running tasks. Not set if the job is final.
    std::optional<base::TaskNumber> done_tasks, running_tasks;
  };
  // The result of looking up a job in the cache and in the state service.
  struct LookupResult {
    Acceptance acceptance = Acceptance::kUnknown;
    JobState state;  // meaningful only if the job was accepted
  };
  // The result of looking up all dependencies of a submission.
  struct DependencyLookup {
    Acceptance acceptance = Acceptance::kAccepted;  // kAccepted if all dependencies were accepted
    base::JobId never_accepted;  // the first dependency that no controller has accepted
    bool is_cancelled = false;   // a dependency is cancelled, which cancels the dependent job too
  };
  // The result of checking a submission against the cache, without a call to the state service.
  struct LocalCheck {
    bool was_accepted = false;  // the cache holds the job or its final state
    // The reply that refuses the submission. Does not apply to a job that was accepted before.
    std::optional<transport::Reply> refusal;
  };

  // Returns the state of a job, at least as new as any state that a controller has reported before.
  LookupResult look_up_job(const base::JobId& id);
  // Returns the final state of a job if the cache holds it. Final states from before the cache was
  // loaded are in it only after read_final_state has read them.
  std::optional<protocol::FinalState> cached_final_state(const base::JobId& id);
  // Returns the state of a job, final or not, if the cache holds the job.
  std::optional<JobState> cached_job_state(const base::JobId& id);
  // Reads a job's final state from the state service into the cache. Returns kNeverAccepted if the
  // state service has none.
  Acceptance read_final_state(const base::JobId& id);
  // Reads the final states of the job's dependencies that the cache lacks. Returns false if one of
  // them could not be read.
  bool read_unresolved_dependencies(const base::JobId& id);

  // Looks up all dependencies of a submission, in the state service if the cache lacks some of
  // them.
  DependencyLookup look_up_dependencies(const protocol::JobSpec& spec);
  // Returns the dependencies that the cache has neither as a live job nor as a final state.
  std::vector<base::JobId> dependencies_missing_from_cache(const protocol::JobSpec& spec);
  // Returns whether the cache shows a dependency of the submission as cancelled.
  bool has_cancelled_dependency(const protocol::JobSpec& spec);

  // Returns a reply with status 200 and the state of the job.
  static transport::Reply job_status_reply(const base::JobId& id, const JobState& state);
  // Returns a reply with the status of an accepted job, or 503 if the state service did not answer.
  // Returns no reply if the job was never accepted.
  std::optional<transport::Reply> status_reply_if_accepted(const base::JobId& id);

  // Checks a submission against the cache and the settings.
  LocalCheck check_locally(const protocol::JobSpec& spec);
  // Builds the record of a job that is about to be accepted.
  protocol::JobRecord new_record(const protocol::JobSpec& spec, bool dependency_cancelled);
  // Commits the record of a new job, preceded by its dependency lists if it has any.
  transport::Reply commit_new_job(const protocol::JobRecord& record, base::Time now);
  // Writes the dependency lists of a job, which must be complete before the job's record is
  // committed. Returns the version of their manifest, or nothing if a write failed.
  std::optional<base::Version> write_dependency_lists(const protocol::JobRecord& record);
  // Commits the manifest that names the job's dependency lists, unless the state service holds the
  // same one already. Returns the manifest's version, or nothing if the state service did not
  // answer or did not commit.
  std::optional<base::Version> commit_dependency_list_manifest(
      const protocol::JobRecord& record) const;

  // Makes one attempt to cancel a job. Returns no reply if a concurrent commit changed the record
  // or the outcome is unknown: the caller retries.
  std::optional<transport::Reply> try_cancel(const base::JobId& id, base::Time now);

  // Calls function(controller) with the mutex locked and returns its result by value.
  template <class F>
  auto with_lock(F function, const base::CallSite& caller = base::CallSite::current()) {
    const base::MonitoredLock lock(mutex_, caller);
    return function(controller_);
  }

  const base::Settings& settings_;
  base::MonitoredMutex& mutex_;  // guards controller_
  coordination::Controller& controller_;
  Store store_;
};

}  // namespace saddleslip
