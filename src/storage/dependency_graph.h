// Which jobs wait for which others, indexed both ways: work per event is in proportion to the jobs that it
// touches. Holds no job that is over; not safe for use from several threads at once.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/ids.h"

namespace saddleslip::storage {

using base::JobId;

class DependencyGraph {
 public:
  // The job waits for each of these to be done.
  void add(const JobId& job, const std::vector<JobId>& dependencies);
  // The job is over, or not known any more; others may still wait for its final state.
  void remove(const JobId& job);
  // That job is done: nothing waits for it any more. Returns the jobs that did.
  std::set<JobId> mark_done(const JobId& need);
  void clear();

  // The jobs that this one still waits for.
  const std::set<JobId>& open_dependencies(const JobId& job) const;
  // The jobs that still wait for this one.
  const std::set<JobId>& dependents(const JobId& need) const;
  // All that depends on the job, through any number of steps.
  std::vector<JobId> all_dependents(const JobId& job) const;
  // All that the job waits for, through any number of steps.
  std::vector<JobId> all_open_dependencies(const JobId& job) const;
  const std::map<JobId, std::set<JobId>>& waiting() const { return dependencies_of_; }
  // By each job that others wait for: those others.
  const std::map<JobId, std::set<JobId>>& waited_for() const { return dependents_of_; }

 private:
  using Edges = std::map<JobId, std::set<JobId>>;
  static std::vector<JobId> reachable(const Edges& edges, const JobId& from);

  Edges dependencies_of_;  // no entry is empty
  Edges dependents_of_;    // the same edges, by the job at their other end
};

}  // namespace saddleslip::storage
