#include "storage/dependency_graph.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace saddleslip::storage {

namespace {

JobId job(int number) {
  return JobId("run-" + std::to_string(100000 + number));
}

std::vector<JobId> sorted(std::vector<JobId> jobs) {
  std::sort(jobs.begin(), jobs.end());
  return jobs;
}

}  // namespace

TEST(DependencyGraph, JobWaitsUntilAllDependenciesAreDone) {
  DependencyGraph graph;
  graph.add(job(3), {job(1), job(2)});
  EXPECT_EQ(graph.mark_done(job(1)), std::set<JobId>{job(3)});
  EXPECT_EQ(graph.open_dependencies(job(3)), std::set<JobId>{job(2)});
  EXPECT_EQ(graph.mark_done(job(2)), std::set<JobId>{job(3)});
  EXPECT_TRUE(graph.open_dependencies(job(3)).empty());
  EXPECT_TRUE(graph.dependents_by_dependency().empty());
}

TEST(DependencyGraph, TransitiveQueriesFollowAllEdges) {
  DependencyGraph graph;
  graph.add(job(2), {job(1)});
  graph.add(job(3), {job(1)});
  graph.add(job(4), {job(2), job(3)});
  EXPECT_EQ(sorted(graph.all_dependents(job(1))), (std::vector<JobId>{job(2), job(3), job(4)}));
  EXPECT_EQ(sorted(graph.all_open_dependencies(job(4))),
            (std::vector<JobId>{job(1), job(2), job(3)}));
  graph.remove(job(2));
  EXPECT_EQ(sorted(graph.all_dependents(job(1))), (std::vector<JobId>{job(3), job(4)}));
}

// A chain of tens of thousands of jobs must not overflow the stack, and a cycle in damaged data
// must not cause an endless loop.
TEST(DependencyGraph, HandlesLongChainsAndCycles) {
  DependencyGraph graph;
  constexpr int kLength = 50'000;
  for (int i = 1; i < kLength; ++i) graph.add(job(i), {job(i - 1)});
  EXPECT_EQ(graph.all_dependents(job(0)).size(), kLength - 1);
  graph.add(job(0), {job(kLength - 1)});
  EXPECT_EQ(graph.all_dependents(job(0)).size(), kLength - 1);
}

}  // namespace saddleslip::storage
