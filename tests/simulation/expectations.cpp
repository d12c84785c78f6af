// The expectations that a scenario can state with the command `expect`.
#include "simulation/scenario_commands.h"

namespace saddleslip::testing {

namespace {

void expect_final_status(SimulatedCluster& cluster, CommandLine& line, const std::string& status) {
  const SimulatedJob& job = cluster.jobs.at(JobId(line.next_text()));
  if (job.reported_final_status == status) return;
  cluster.failures.add("expected final status " + status + " of " + job.spec.id.get() + ", got '" +
                       job.reported_final_status + "'");
}

void expect_done(SimulatedCluster& cluster, CommandLine& line) {
  expect_final_status(cluster, line, "done");
}

void expect_cancelled(SimulatedCluster& cluster, CommandLine& line) {
  expect_final_status(cluster, line, "cancelled");
}

void expect_running(SimulatedCluster& cluster, CommandLine& line) {
  const JobId id(line.next_text());
  const std::size_t expected = line.next_count();
  const std::size_t running = cluster.workers.running_tasks(id);
  if (running == expected) return;
  cluster.failures.add("expected " + std::to_string(expected) + " running tasks of " + id.get() +
                       ", got " + std::to_string(running));
}

void expect_began(SimulatedCluster& cluster, CommandLine& line) {
  const SimulatedJob& job = cluster.jobs.at(JobId(line.next_text()));
  const double within_s = line.next_number();
  if (job.began_at && *job.began_at - job.submitted_at <= within_s) return;
  cluster.failures.add(
      "expected " + job.spec.id.get() +
      " to start its first task within this many seconds: " + std::to_string(within_s));
}

void expect_served(SimulatedCluster& cluster, CommandLine&) {
  cluster.whole_day.check_served_share(0);
}

void expect_submit(SimulatedCluster& cluster, CommandLine& line) {
  constexpr int kUnavailable = 503;
  const int status = static_cast<int>(line.next_count());
  const auto reply =
      cluster.controllers.user_api(0).submit(line.remaining_text(), cluster.clock.now());
  if (reply.status != status) {
    cluster.failures.add("expected HTTP status " + std::to_string(status) + ", got " +
                         std::to_string(reply.status) + " " + reply.body);
  }
  if (reply.status == kUnavailable && reply.retry_after_s == 0)
    cluster.failures.add("reply with HTTP status 503 has no Retry-After");
}

void expect_at_most(SimulatedCluster& cluster, CommandLine& line, const std::string& counted,
                    std::size_t actual) {
  const std::size_t maximum = line.next_count();
  if (actual <= maximum) return;
  cluster.failures.add("expected at most " + std::to_string(maximum) + " " + counted + ", got " +
                       std::to_string(actual));
}

void expect_most_views(SimulatedCluster& cluster, CommandLine& line) {
  const auto& view = cluster.state.records().at(protocol::kViewKey).value;
  expect_at_most(cluster, line, "views", view["epoch"].get<std::size_t>());
}

void expect_most_releases(SimulatedCluster& cluster, CommandLine& line) {
  expect_at_most(cluster, line, "releases",
                 static_cast<std::size_t>(cluster.cloud.release_count()));
}

void expect_most_starts(SimulatedCluster& cluster, CommandLine& line) {
  expect_at_most(cluster, line, "starts", cluster.rules.start_count());
}

void expect_most_starts_of(SimulatedCluster& cluster, CommandLine& line) {
  const JobId id(line.next_text());
  expect_at_most(cluster, line, "starts of " + id.get(), cluster.jobs.at(id).start_count);
}

void expect_released(SimulatedCluster& cluster, CommandLine& line) {
  const std::string id = line.next_text();
  if (cluster.workers.find(id)) cluster.failures.add("expected machine " + id + " to be released");
}

void expect_kept(SimulatedCluster& cluster, CommandLine& line) {
  const std::string id = line.next_text();
  if (!cluster.workers.find(id))
    cluster.failures.add("expected machine " + id + " not to be released");
}

void expect_machines(SimulatedCluster& cluster, CommandLine& line) {
  const std::size_t expected = line.next_count();
  const std::size_t machines = cluster.workers.all().size();
  if (machines == expected) return;
  cluster.failures.add("expected " + std::to_string(expected) + " machines, got " +
                       std::to_string(machines));
}

constexpr ScenarioCommand kExpectations[] = {
    {"done", "ID", "a user received the final status `done` for the job", expect_done},
    {"cancelled", "ID", "a user received the final status `cancelled` for the job",
     expect_cancelled},
    {"running", "ID COUNT", "COUNT of the job's tasks are running now", expect_running},
    {"began", "ID SECONDS", "the job's first task started within SECONDS of the submission",
     expect_began},
    {"served", "",
     "at least half of the jobs of each class, of each team and of each class's largest started",
     expect_served},
    {"submit", "STATUS BODY", "n0 answers the submission BODY with this HTTP status",
     expect_submit},
    {"released", "MACHINE", "the machine was released to the cloud", expect_released},
    {"kept", "MACHINE", "the machine was not released to the cloud", expect_kept},
    {"machines", "COUNT", "the cluster has COUNT machines", expect_machines},
    {"most_starts", "COUNT", "at most COUNT task starts in total", expect_most_starts},
    {"most_starts_of", "ID COUNT", "at most COUNT starts of the job's tasks",
     expect_most_starts_of},
    {"most_views", "COUNT", "at most COUNT membership views", expect_most_views},
    {"most_releases", "COUNT", "at most COUNT machines were released", expect_most_releases},
};

}  // namespace

std::span<const ScenarioCommand> expectations() {
  return kExpectations;
}

}  // namespace saddleslip::testing
