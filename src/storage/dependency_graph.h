#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/ids.h"

namespace saddleslip::storage {

using base::JobId;

// The dependencies between unfinished jobs, indexed in both directions, so that the cost of an
// event is proportional to the number of jobs that it affects.
//
// Finished jobs are not in the graph. Not thread-safe; returned references are valid until the next
// change.
class DependencyGraph {
 public:
  // Adds the job, which waits until all of these dependencies are done.
  void add(const JobId& job, const std::vector<JobId>& dependencies);
  // Removes the job because it is finished or was removed. Jobs that wait for it remain until its
  // final state is known.
  void remove(const JobId& job);
  // Removes the dependency, which is done, from all jobs that wait for it. Returns these jobs.
  std::set<JobId> mark_done(const JobId& dependency);
  // Removes all jobs.
  void clear();

  // Returns the dependencies that the job still waits for.
  const std::set<JobId>& open_dependencies(const JobId& job) const;
  // Returns the jobs that still wait for this dependency.
  const std::set<JobId>& dependents(const JobId& dependency) const;
  // Returns all jobs that wait for this job, directly or transitively, in no particular order.
  std::vector<JobId> all_dependents(const JobId& job) const;
  // Returns all jobs that this job waits for, directly or transitively, in no particular order.
  std::vector<JobId> all_open_dependencies(const JobId& job) const;
  // Returns each waiting job with the dependencies that it waits for.
  const std::map<JobId, std::set<JobId>>& dependencies_by_waiting_job() const {
    return dependencies_of_;
  }
  // Returns each dependency that is not done with the jobs that wait for it.
  const std::map<JobId, std::set<JobId>>& dependents_by_dependency() const {
    return dependents_of_;
  }

 private:
  using Edges = std::map<JobId, std::set<JobId>>;
  // Returns all jobs that can be reached from this job along the edges, without the job itself.
  static std::vector<JobId> reachable(const Edges& edges, const JobId& from);

  Edges dependencies_of_;  // by waiting job; jobs without dependencies have no entry
  Edges dependents_of_;    // the same edges by dependency
};

}  // namespace saddleslip::storage
