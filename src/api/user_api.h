// What users ask: to submit a job, to see its status, to cancel it.
#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "coordination/controller.h"
#include "protocol/clients.h"
#include "protocol/job_record.h"
#include "transport/http.h"

namespace saddleslip {

// Answers the requests of users.
//
// Contract: a user is told nothing that another controller could contradict later. A job is accepted
// once its record is committed, and stays so whatever a repeated submission holds. A status is told from
// a local cache that was brought up to date after the request came, or is a final state, which never
// changes. What cannot be decided so is answered with 503, and may be tried again.
//
// Threading: any thread may call, and several at once. Calls block on the state service. The mutex is
// that of the controller: it is held for reads and updates of the controller's cache only, and never
// while the state service is called. It must not be held by the caller.
//
// Ownership: refers to the settings, mutex and controller, which must outlive it.
class UserApi {
 public:
  // The state service, and the daemon that this is part of. All functions may be called by several
  // threads at once.
  struct Store {
    // Brings the local cache up to the store's state at a moment after the call; false: it could not.
    std::function<bool()> read_barrier;
    std::function<protocol::StateClient::Got(const std::string& key)> get;
    std::function<protocol::StateClient::Committed(const protocol::Transaction& transaction)>
        commit;
    std::function<double()> wall;   // seconds since 1970
    std::function<void()> changed;  // a job was accepted or cancelled: a scheduling round is due
    // A cancellation was committed, and its user is about to be told: the other controllers are told
    // at once, since one of them may have no contact to the state service.
    std::function<void(const base::JobId& id)> cancelled;
  };
  UserApi(const base::Settings& settings, std::mutex& mutex, coordination::Controller& controller,
          Store store)
      : settings_(settings), mutex_(mutex), controller_(controller), store_(std::move(store)) {}

  // `body`: the job as JSON. 201: accepted; 200: it was accepted before; 400, 422: refused.
  transport::Reply submit(const std::string& body, base::Time now);
  transport::Reply status(const base::JobId& id);
  // 200 with the job's final status, which is another than cancelled if it was done before.
  transport::Reply cancel(const base::JobId& id, base::Time now);

 private:
  enum class Acceptance {
    kAccepted,
    kNever,    // no controller ever accepted the job
    kUnknown,  // the state service did not answer, or not in time
  };
  struct JobState {
    protocol::JobStatus status = protocol::JobStatus::kQueued;
    std::optional<base::TaskNo> done, running;  // numbers of tasks; none for final jobs
  };
  struct LookupResult {
    Acceptance acceptance = Acceptance::kUnknown;
    JobState state;  // if it was accepted
  };
  struct DependencyLookup {
    Acceptance acceptance = Acceptance::kAccepted;  // of all dependencies
    base::JobId never_accepted;                     // the first that never was
    bool is_cancelled = false;  // one of them is cancelled, and so is what depends on it
  };
  // What is known of a new submission without a call to the state service.
  struct LocalCheck {
    bool is_known = false;                    // a job of this id was accepted
    std::optional<transport::Reply> refusal;  // why it cannot be accepted, unless it was before
  };

  // The state of a job, not older than anything that any controller has told.
  LookupResult look_up(const base::JobId& id);
  // The final state of a job, from the cache. The store's are in it once read_final has read them.
  std::optional<protocol::FinalState> cached_final(const base::JobId& id);
  // The state of a job, final or not, from the cache.
  std::optional<JobState> cached_state(const base::JobId& id);
  // Reads a job's final state from the store into the cache. kNever: it has none.
  Acceptance read_final(const base::JobId& id);
  // Reads the final states of dependencies that the cache lacks; false: not all could be read.
  bool read_unresolved_dependencies(const base::JobId& id);

  DependencyLookup look_up_dependencies(const protocol::JobSpec& spec);
  std::vector<base::JobId> unknown_dependencies(const protocol::JobSpec& spec);
  bool has_cancelled_dependency(const protocol::JobSpec& spec);

  static transport::Reply state_reply(const base::JobId& id, const JobState& state);
  // The status of an accepted job; 503 if that is unknown; none if it was never accepted.
  std::optional<transport::Reply> reply_if_accepted(const base::JobId& id);

  LocalCheck check_locally(const protocol::JobSpec& spec);
  protocol::JobRecord new_record(const protocol::JobSpec& spec, bool dependency_cancelled);
  // Commits the record of a new job.
  transport::Reply accept(const protocol::JobRecord& record, base::Time now);
  // Commits the lists of a job's dependencies, before the record that makes it accepted. Returns the
  // version of the record that names them; none: they are not all written.
  std::optional<base::Version> write_dependency_lists(const protocol::JobRecord& record);
  std::optional<base::Version> name_dependency_lists(const protocol::JobRecord& record) const;

  // None: another commit came between, or the outcome is unknown; try again.
  std::optional<transport::Reply> try_cancel(const base::JobId& id, base::Time now);

  template <class F>
  auto locked(F f) {
    const std::lock_guard lock(mutex_);
    return f(controller_);
  }

  const base::Settings& settings_;
  std::mutex& mutex_;  // guards controller_
  coordination::Controller& controller_;
  Store store_;
};

}  // namespace saddleslip
