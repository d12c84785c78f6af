#include "storage/dependency_graph.h"

#include <utility>

namespace saddleslip::storage {

namespace {

const std::set<JobId> kNoJobs;

void remove_edge(std::map<JobId, std::set<JobId>>& edges, const JobId& from, const JobId& to) {
  const auto at = edges.find(from);
  if (at == edges.end()) return;
  at->second.erase(to);
  if (at->second.empty()) edges.erase(at);
}

}  // namespace

void DependencyGraph::add(const JobId& job, const std::vector<JobId>& dependencies) {
  for (const JobId& dependency : dependencies) {
    dependencies_of_[job].insert(dependency);
    dependents_of_[dependency].insert(job);
  }
}

void DependencyGraph::remove(const JobId& job) {
  const auto at = dependencies_of_.find(job);
  if (at == dependencies_of_.end()) return;
  for (const JobId& dependency : at->second) remove_edge(dependents_of_, dependency, job);
  dependencies_of_.erase(at);
}

std::set<JobId> DependencyGraph::mark_done(const JobId& dependency) {
  const auto at = dependents_of_.find(dependency);
  if (at == dependents_of_.end()) return {};
  std::set<JobId> dependents = std::move(at->second);
  dependents_of_.erase(at);
  for (const JobId& job : dependents) remove_edge(dependencies_of_, job, dependency);
  return dependents;
}

void DependencyGraph::clear() {
  dependencies_of_.clear();
  dependents_of_.clear();
}

const std::set<JobId>& DependencyGraph::open_dependencies(const JobId& job) const {
  const auto at = dependencies_of_.find(job);
  return at == dependencies_of_.end() ? kNoJobs : at->second;
}

const std::set<JobId>& DependencyGraph::dependents(const JobId& dependency) const {
  const auto at = dependents_of_.find(dependency);
  return at == dependents_of_.end() ? kNoJobs : at->second;
}

std::vector<JobId> DependencyGraph::all_dependents(const JobId& job) const {
  return reachable(dependents_of_, job);
}

std::vector<JobId> DependencyGraph::all_open_dependencies(const JobId& job) const {
  return reachable(dependencies_of_, job);
}

// Without recursion, and each job once: a chain may be long, and damaged data may hold a cycle.
std::vector<JobId> DependencyGraph::reachable(const Edges& edges, const JobId& from) {
  std::vector<JobId> found;
  std::set<JobId> seen{from};
  std::vector<JobId> unvisited{from};
  while (!unvisited.empty()) {
    const JobId next = unvisited.back();
    unvisited.pop_back();
    const auto at = edges.find(next);
    if (at == edges.end()) continue;
    for (const JobId& to : at->second) {
      if (!seen.insert(to).second) continue;
      found.push_back(to);
      unvisited.push_back(to);
    }
  }
  return found;
}

}  // namespace saddleslip::storage
