// The soak test: runs a loopback cluster under random faults and checks the protocol's rules from
// outside. Prints the seed, the plan of faults and the folder of the logs if a rule is broken.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <filesystem>

#include "loopback/fault_plan.h"
#include "loopback/loopback_cluster.h"

namespace {

using saddleslip::testing::Fault;
using saddleslip::testing::LoopbackCluster;
using saddleslip::testing::LoopbackOptions;
using saddleslip::testing::ZoneCuts;

// An accepted job that is not answered for within this time after the last fault counts as
// forgotten.
constexpr double kAnswerWithinSeconds = 75;
constexpr std::chrono::seconds kCheckInterval{1};
constexpr double kStartUpSeconds = 5;

// The options of the command line.
struct SoakOptions {
  LoopbackOptions cluster;
  std::uint64_t first_seed = 1;
  std::uint64_t seeds = 1;
  double fault_seconds = 40;
  double warm_up_seconds = 0;
  std::size_t final_services = 0;  // submitted after the last fault
  std::string plan_path;           // empty: the plan follows from the seed
};

void sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

template <class Key>
void print_counts(const char* name, const std::map<Key, std::uint64_t>& counts) {
  std::printf("  %s:", name);
  for (const auto& [key, count] : counts) {
    if constexpr (std::is_same_v<Key, int>) {
      std::printf(" %d=%llu", key, static_cast<unsigned long long>(count));
    } else {
      std::printf(" %s=%llu", key.c_str(), static_cast<unsigned long long>(count));
    }
  }
  std::printf("\n");
}

// Waits until each accepted job was answered for. Returns how long that took.
double wait_for_answers(LoopbackCluster& cluster) {
  cluster.load_balancer().reset_longest_gap();
  cluster.ledger().begin_quiet_time();
  cluster.users().begin_quiet_time();
  const auto began_at = std::chrono::steady_clock::now();
  double waited_s = 0;
  while (waited_s < kAnswerWithinSeconds && !cluster.ledger().is_every_job_answered()) {
    std::this_thread::sleep_for(kCheckInterval);
    waited_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began_at).count();
  }
  cluster.ledger().check_unanswered(kAnswerWithinSeconds);
  return waited_s;
}

// Plays one seed. Returns whether no rule was broken.
bool play_seed(const SoakOptions& options, std::uint64_t seed) {
  LoopbackOptions cluster_options = options.cluster;
  cluster_options.seed = seed;
  cluster_options.folder += "/seed-" + std::to_string(seed);
  std::filesystem::remove_all(cluster_options.folder);
  std::filesystem::create_directories(cluster_options.folder);
  const auto zone_cuts = cluster_options.has_mixed_settings ? ZoneCuts::kSome : ZoneCuts::kNone;
  const auto plan = options.plan_path.empty()
                        ? saddleslip::testing::make_fault_plan(
                              seed, options.fault_seconds, cluster_options.controllers, zone_cuts)
                        : saddleslip::testing::read_fault_plan(options.plan_path);
  LoopbackCluster cluster(cluster_options);
  sleep(kStartUpSeconds);
  cluster.start_users();
  sleep(options.warm_up_seconds);
  play_faults(plan, options.fault_seconds, cluster);
  cluster.users().submit_services(options.final_services);
  const double waited_s = wait_for_answers(cluster);
  cluster.ledger().check_cancelled_tasks();
  auto problems = cluster.ledger().violations();
  for (const std::string& line : cluster.controllers().unexpected_ends()) problems.push_back(line);
  std::printf("seed %llu: %s; %zu jobs accepted, %llu task starts, all answered after %.0f s\n",
              static_cast<unsigned long long>(seed), problems.empty() ? "passed" : "FAILED",
              cluster.ledger().accepted_count(),
              static_cast<unsigned long long>(cluster.ledger().start_count()), waited_s);
  std::printf("  no healthy controller for %.0f s after the last fault, %llu removals\n",
              cluster.load_balancer().longest_gap_s(),
              static_cast<unsigned long long>(cluster.load_balancer().removals()));
  print_counts("replies to users", cluster.users().reply_counts());
  print_counts("replies to agents", cluster.agents().response_counts());
  print_counts("requests to the state service", cluster.state_service().requests());
  print_counts("of these over a limit", cluster.state_service().rejected_requests());
  if (!problems.empty()) {
    for (const Fault& fault : plan) std::printf("  %s\n", fault.text().c_str());
    for (const std::string& line : problems) std::printf("  %s\n", line.c_str());
    std::printf("  logs: %s\n", cluster_options.folder.c_str());
  }
  std::fflush(stdout);
  return problems.empty();
}

void add_options(CLI::App& app, SoakOptions& options) {
  LoopbackOptions& cluster = options.cluster;
  app.add_option("--program", cluster.program, "the controllers' program")->required();
  app.add_option("--folder", cluster.folder, "for settings and logs")->required();
  app.add_option("--seed", options.first_seed, "the first seed");
  app.add_option("--seeds", options.seeds, "the number of seeds");
  app.add_option("--seconds", options.fault_seconds, "the time in which faults occur");
  app.add_option("--warm-up", options.warm_up_seconds, "the time before the first fault");
  app.add_option("--final-services", options.final_services,
                 "services of half a machine that are submitted after the last fault");
  app.add_option("--plan", options.plan_path, "a file with the plan of faults");
  app.add_option("--machines", cluster.machines, "the number of machines");
  app.add_option("--controllers", cluster.controllers, "the number of controllers");
  app.add_option("--heartbeat-interval", cluster.heartbeat_interval_s, "in seconds");
  app.add_option("--lease", cluster.lease_s, "the lease of a machine's agent, in seconds");
  app.add_option("--processor-share", cluster.processor_share, "of a core, for each controller");
  app.add_option("--log-level", cluster.log_level, "of the controllers");
  app.add_option("--submissions", cluster.users.submissions_per_second, "per second");
  app.add_option("--state-rps", cluster.state.requests_per_second, "limit of the state service");
  app.add_option("--state-writes", cluster.state.writes_per_second, "limit, per second");
  app.add_option("--memory", cluster.memory_mb, "quota of a controller, in MB");
  app.add_option("--sockets", cluster.sockets, "quota of a controller");
  app.add_option("--user-threads", cluster.users.threads, "concurrent requests of users");
  app.add_option("--max-tasks", cluster.users.max_tasks, "of an array");
  app.add_option("--max-run", cluster.users.max_run_s, "of a task, in seconds");
  app.add_option("--requests", cluster.users.requests_per_second, "of users, per second");
  app.add_flag("--mixed-settings", cluster.has_mixed_settings,
               "draw the operators' settings of each controller at each start, and cut off zones");
  app.add_flag("--agents-ignore-leases", cluster.agents_ignore_leases,
               "break a rule, to see that it is reported");
}

}  // namespace

int main(int argc, char** argv) {
  SoakOptions options;
  CLI::App app{"random faults on a cluster of real processes on this machine"};
  add_options(app, options);
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  std::uint64_t failed = 0;
  for (std::uint64_t seed = options.first_seed; seed < options.first_seed + options.seeds; ++seed)
    failed += play_seed(options, seed) ? 0 : 1;
  std::printf("%llu passed, %llu failed\n", static_cast<unsigned long long>(options.seeds - failed),
              static_cast<unsigned long long>(failed));
  return failed == 0 ? 0 : 1;
}
