// What a scenario may expect.
#include "simulation/scenario_commands.h"

namespace saddleslip::testing {

namespace {

void expect_told(SimulatedCluster& cluster, CommandLine& line, const std::string& status) {
  const SimulatedJob& job = cluster.jobs.at(JobId(line.text()));
  if (job.told_final == status) return;
  cluster.failures.add("expected " + status + ": " + job.spec.id.get() + " is '" + job.told_final +
                       "'");
}

void expect_done(SimulatedCluster& cluster, CommandLine& line) {
  expect_told(cluster, line, "done");
}

void expect_cancelled(SimulatedCluster& cluster, CommandLine& line) {
  expect_told(cluster, line, "cancelled");
}

void expect_running(SimulatedCluster& cluster, CommandLine& line) {
  const JobId id(line.text());
  const std::size_t expected = line.count();
  const std::size_t running = cluster.workers.running_tasks(id);
  if (running == expected) return;
  cluster.failures.add("expected " + std::to_string(expected) + " running of " + id.get() +
                       ", not " + std::to_string(running));
}

void expect_began(SimulatedCluster& cluster, CommandLine& line) {
  const SimulatedJob& job = cluster.jobs.at(JobId(line.text()));
  const double within = line.number();
  if (job.began_at && *job.began_at - job.submitted_at <= within) return;
  cluster.failures.add("expected " + job.spec.id.get() + " to have begun within " +
                       std::to_string(within));
}

void expect_served(SimulatedCluster& cluster, CommandLine&) {
  cluster.whole_day.check_served(0);
}

void expect_submit(SimulatedCluster& cluster, CommandLine& line) {
  constexpr int kUnavailable = 503;
  const int status = static_cast<int>(line.count());
  const auto reply = cluster.controllers.user_api(0).submit(line.rest(), cluster.clock.now());
  if (reply.status != status) {
    cluster.failures.add("expected " + std::to_string(status) + ", not " +
                         std::to_string(reply.status) + " " + reply.body);
  }
  if (reply.status == kUnavailable && reply.retry_after_s == 0)
    cluster.failures.add("a refusal without Retry-After");
}

void expect_at_most(SimulatedCluster& cluster, CommandLine& line, const std::string& what,
                    std::size_t n) {
  const std::size_t most = line.count();
  if (n <= most) return;
  cluster.failures.add("expected at most " + std::to_string(most) + " " + what + ", not " +
                       std::to_string(n));
}

void expect_most_views(SimulatedCluster& cluster, CommandLine& line) {
  const auto& view = cluster.state.records().at(protocol::kViewKey).value;
  expect_at_most(cluster, line, "views", view["epoch"].get<std::size_t>());
}

void expect_most_releases(SimulatedCluster& cluster, CommandLine& line) {
  expect_at_most(cluster, line, "releases", static_cast<std::size_t>(cluster.cloud.releases()));
}

void expect_most_starts(SimulatedCluster& cluster, CommandLine& line) {
  expect_at_most(cluster, line, "starts", cluster.rules.starts());
}

void expect_most_starts_of(SimulatedCluster& cluster, CommandLine& line) {
  const JobId id(line.text());
  expect_at_most(cluster, line, "starts of " + id.get(), cluster.jobs.at(id).starts);
}

void expect_released(SimulatedCluster& cluster, CommandLine& line) {
  const std::string id = line.text();
  if (cluster.workers.find(id)) cluster.failures.add("expected machine " + id + " to be returned");
}

void expect_kept(SimulatedCluster& cluster, CommandLine& line) {
  const std::string id = line.text();
  if (!cluster.workers.find(id)) cluster.failures.add("expected machine " + id + " to be kept");
}

void expect_machines(SimulatedCluster& cluster, CommandLine& line) {
  const std::size_t expected = line.count();
  const std::size_t machines = cluster.workers.all().size();
  if (machines == expected) return;
  cluster.failures.add("expected " + std::to_string(expected) + " machines, not " +
                       std::to_string(machines));
}

constexpr ScenarioCommand kExpectations[] = {
    {"done", "ID", "its user was told that the job is done", expect_done},
    {"cancelled", "ID", "its user was told that the job is cancelled", expect_cancelled},
    {"running", "ID COUNT", "so many of its tasks run now", expect_running},
    {"began", "ID SECONDS", "its first task began so soon after its submission", expect_began},
    {"served", "", "half of each class, team, and class's largest jobs began", expect_served},
    {"submit", "STATUS BODY", "n0 answers this submission so", expect_submit},
    {"released", "MACHINE", "it was returned to the cloud", expect_released},
    {"kept", "MACHINE", "it was not returned", expect_kept},
    {"machines", "COUNT", "there are so many machines", expect_machines},
    {"most_starts", "COUNT", "so many starts of tasks at most", expect_most_starts},
    {"most_starts_of", "ID COUNT", "so many starts of the job's tasks at most",
     expect_most_starts_of},
    {"most_views", "COUNT", "so many membership views at most", expect_most_views},
    {"most_releases", "COUNT", "so many machines returned at most", expect_most_releases},
};

}  // namespace

std::span<const ScenarioCommand> expectations() {
  return kExpectations;
}

}  // namespace saddleslip::testing
