// What users ask: submissions, states, cancellations. Answered from the state service, or from final
// states, which never change.
#pragma once

#include <functional>
#include <mutex>
#include <string>

#include "coordination/controller.h"
#include "protocol/clients.h"
#include "transport/http.h"

namespace saddleslip {

class UserApi {
 public:
  struct Store {
    // Brings the local copy up to the store's state at a moment after the call; false: could not.
    std::function<bool()> read_barrier;
    std::function<protocol::StateClient::Got(const std::string& key)> get;
    std::function<protocol::StateClient::Committed(const protocol::Transaction& txn)> commit;
    std::function<double()> wall;   // the time of day
    std::function<void()> changed;  // something was accepted or cancelled: a round is due
    // A cancellation was committed, and its user is about to be told: the other controllers are told
    // at once, since one of them may hear nothing from the state service.
    std::function<void(const base::JobId& id)> cancelled;
  };
  UserApi(const base::Settings& settings, std::mutex& mutex, coordination::Controller& controller,
          Store store)
      : settings_(settings), mutex_(mutex), controller_(controller), store_(std::move(store)) {}

  transport::Reply submit(const std::string& body, base::Time now);
  transport::Reply status(const base::JobId& id);
  transport::Reply cancel(const base::JobId& id, base::Time now);

 private:
  // The state of a job, not older than anything that any node has told; kNo: never accepted.
  enum class Known { kYes, kNo, kCantTell };
  Known look_up(const base::JobId& id, transport::Reply& reply);
  // Reads a job's final state from the store, if it has one, and remembers it.
  Known read_final(const base::JobId& id);
  // The jobs that a submission needs.
  struct DependencyLookup {
    Known known = Known::kYes;  // were all of them accepted?
    base::JobId never_accepted;
    bool cancelled = false;  // one of them is cancelled, and so is what needs it
  };
  DependencyLookup look_up_dependencies(const protocol::JobSpec& spec);
  transport::Reply accept(const protocol::JobRecord& record, base::Time now);
  // The version of the record that names the lists; none: they are not all written.
  std::optional<base::Version> write_dependency_lists(const protocol::JobRecord& record);

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
