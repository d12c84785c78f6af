// Scenario commands for user actions, for advancing the time and for expectations.
#include <sstream>

#include "simulation/scenario_commands.h"

namespace saddleslip::testing {

namespace {

// The options of the command `submit`, in the form key=value.
class JobOptions {
 public:
  explicit JobOptions(CommandLine& line) : options_(line.remaining_options()) {}

  bool has(const std::string& key) const { return options_.contains(key); }
  std::string text(const std::string& key, const std::string& default_value) const {
    return has(key) ? options_.at(key) : default_value;
  }
  double number(const std::string& key, double default_value) const {
    return has(key) ? std::stod(options_.at(key)) : default_value;
  }

 private:
  std::map<std::string, std::string> options_;
};

protocol::Kind parse_kind(const std::string& name) {
  if (name == "service") return protocol::Kind::kService;
  return name == "gang" ? protocol::Kind::kGang : protocol::Kind::kArray;
}

protocol::Rank parse_rank(const std::string& name) {
  static const std::map<std::string, protocol::Rank> kRanks = {
      {"critical", protocol::Rank::kCritical},
      {"urgent", protocol::Rank::kUrgent},
      {"standard", protocol::Rank::kStandard},
      {"idle", protocol::Rank::kIdle}};
  return kRanks.at(name);
}

protocol::JobSpec make_job_spec(const std::string& id, const std::string& kind,
                                const JobOptions& options) {
  protocol::JobSpec spec;
  spec.id = JobId(id);
  spec.kind = parse_kind(kind);
  spec.job_class = options.text("class", "c");
  spec.team = options.text("team", "t");
  spec.rank = parse_rank(options.text("rank", "standard"));
  spec.tasks = static_cast<TaskNumber>(options.number("tasks", 1));
  spec.request.amounts = {options.number("cores", 1), 0, options.number("memory", 1)};
  spec.image = "img";
  if (options.has("deadline")) spec.deadline = base::Seconds(options.number("deadline", 0));
  spec.estimate = base::Seconds(options.number("estimate", 0));
  spec.spot = options.has("spot");
  spec.one_zone = options.has("one_zone");
  spec.spread = options.has("spread");
  if (options.has("zone")) spec.zone = options.text("zone", "");
  if (options.has("type")) spec.types = {{options.text("type", "")}};
  std::istringstream dependencies(options.text("follows", ""));
  for (std::string dependency; std::getline(dependencies, dependency, ',');)
    spec.dependencies.emplace_back(dependency);
  return spec;
}

void play_submit(SimulatedCluster& cluster, CommandLine& line) {
  const std::string id = line.next_text(), kind = line.next_text();
  const JobOptions options(line);
  SimulatedJob job;
  job.spec = make_job_spec(id, kind, options);
  job.task_run_s = options.number("run", 10);
  if (options.has("fails")) job.fails_after_s = options.number("fails", 0);
  cluster.users.submit(static_cast<std::size_t>(options.number("controller", 0)), job);
}

void play_cancel(SimulatedCluster& cluster, CommandLine& line) {
  cluster.users.cancel(JobId(line.next_text()));
}

void play_unasked(SimulatedCluster& cluster, CommandLine& line) {
  cluster.users.exclude_controller(line.next_controller());
}

void play_run(SimulatedCluster& cluster, CommandLine& line) {
  cluster.run(line.next_number());
}

void play_expect(SimulatedCluster& cluster, CommandLine& line) {
  const std::string name = line.next_text();
  const ScenarioCommand* expectation = find_expectation(name);
  if (!expectation)
    return cluster.failures.add("unknown expectation: " + name + "\n" + scenario_help());
  expectation->play(cluster, line);
}

constexpr ScenarioCommand kCommands[] = {
    {"submit", "ID array|service|gang [KEY=VALUE ...]",
     "keys: tasks cores memory run rank team class deadline estimate controller type zone spot "
     "one_zone spread fails (seconds until each task fails) follows (ID,ID)",
     play_submit},
    {"cancel", "ID", "requests a job's cancellation until it is confirmed", play_cancel},
    {"unasked", "CONTROLLER", "users send no more requests about their jobs to this controller",
     play_unasked},
    {"run", "SECONDS", "advances the simulated time", play_run},
    {"expect", "EXPECTATION", "fails the scenario if the expectation is not met now", play_expect},
};

}  // namespace

std::span<const ScenarioCommand> user_commands() {
  return kCommands;
}

}  // namespace saddleslip::testing
