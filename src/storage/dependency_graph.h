#pragma once

#include <map>
#include <set>
#include <vector>

#include "base/ids.h"

namespace saddleslip::storage {

using base::JobId;

// Which jobs wait for which others, indexed in both directions, so that the work for an event is in
// proportion to the jobs that it concerns.
//
// Holds no job that is over. Not safe for use from several threads at once; references that it
// returns are valid until the next change.
class DependencyGraph {
 public:
  // The job waits for each of these to be done.
  void add(const JobId& job, const std::vector<JobId>& dependencies);
  // The job is over, or not known any more; others may still wait for its final state.
  void remove(const JobId& job);
  // The dependency is done: nothing waits for it any more. Returns the jobs that did.
  std::set<JobId> mark_done(const JobId& dependency);
  void clear();

  // The jobs that this one still waits for.
  const std::set<JobId>& open_dependencies(const JobId& job) const;
  // The jobs that still wait for this one.
  const std::set<JobId>& dependents(const JobId& dependency) const;
  // All jobs that wait for this one, directly or through others. Not in any order.
  std::vector<JobId> all_dependents(const JobId& job) const;
  // All jobs that this one waits for, directly or through others. Not in any order.
  std::vector<JobId> all_open_dependencies(const JobId& job) const;
  // Each waiting job, with the jobs that it waits for.
  const std::map<JobId, std::set<JobId>>& waiting() const { return dependencies_of_; }
  // Each job that others wait for, with those others.
  const std::map<JobId, std::set<JobId>>& waited_for() const { return dependents_of_; }

 private:
  using Edges = std::map<JobId, std::set<JobId>>;
  // All jobs that can be reached from this one, which is left out.
  static std::vector<JobId> reachable(const Edges& edges, const JobId& from);

  Edges dependencies_of_;  // no entry is empty
  Edges dependents_of_;    // the same edges, by the job at their other end
};

}  // namespace saddleslip::storage
