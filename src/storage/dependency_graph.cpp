#include "storage/dependency_graph.h"

#include <utility>

namespace saddleslip::storage {

namespace {

const std::set<JobId> kNoJobs;

void remove_edge(std::map<JobId, std::set<JobId>>& edges, const JobId& from, const JobId& to) {
  const auto entry = edges.find(from);
  if (entry == edges.end()) return;
  entry->second.erase(to);
  if (entry->second.empty()) edges.erase(entry);
}

}  // namespace

void DependencyGraph::add(const JobId& job, const std::vector<JobId>& dependencies) {
  for (const JobId& dependency : dependencies) {
    dependencies_of_[job].insert(dependency);
    dependents_of_[dependency].insert(job);
  }
}

void DependencyGraph::remove(const JobId& job) {
  const auto entry = dependencies_of_.find(job);
  if (entry == dependencies_of_.end()) return;
  for (const JobId& dependency : entry->second) remove_edge(dependents_of_, dependency, job);
  dependencies_of_.erase(entry);
}

std::set<JobId> DependencyGraph::mark_done(const JobId& dependency) {
  const auto entry = dependents_of_.find(dependency);
  if (entry == dependents_of_.end()) return {};
  std::set<JobId> dependents = std::move(entry->second);
  dependents_of_.erase(entry);
  for (const JobId& job : dependents) remove_edge(dependencies_of_, job, dependency);
  return dependents;
}

void DependencyGraph::clear() {
  dependencies_of_.clear();
  dependents_of_.clear();
}

const std::set<JobId>& DependencyGraph::open_dependencies(const JobId& job) const {
  const auto entry = dependencies_of_.find(job);
  return entry == dependencies_of_.end() ? kNoJobs : entry->second;
}

const std::set<JobId>& DependencyGraph::dependents(const JobId& dependency) const {
  const auto entry = dependents_of_.find(dependency);
  return entry == dependents_of_.end() ? kNoJobs : entry->second;
}

std::vector<JobId> DependencyGraph::all_dependents(const JobId& job) const {
  return reachable(dependents_of_, job);
}

std::vector<JobId> DependencyGraph::all_open_dependencies(const JobId& job) const {
  return reachable(dependencies_of_, job);
}

// Iterative, and visits each job once: chains can be too long for recursion, and damaged data may
// contain a cycle.
std::vector<JobId> DependencyGraph::reachable(const Edges& edges, const JobId& from) {
  std::vector<JobId> reached;
  std::set<JobId> visited{from};
  std::vector<JobId> unvisited{from};
  while (!unvisited.empty()) {
    const JobId next = unvisited.back();
    unvisited.pop_back();
    const auto entry = edges.find(next);
    if (entry == edges.end()) continue;
    for (const JobId& to : entry->second) {
      if (!visited.insert(to).second) continue;
      reached.push_back(to);
      unvisited.push_back(to);
    }
  }
  return reached;
}

}  // namespace saddleslip::storage
