// A zone is cut off while one controller still has the operators' old member_ttl_s.
#include "../stage/stage.h"

using namespace stage;

namespace {

constexpr std::size_t kCutOff = 2;       // the controller in the zone that is cut off
constexpr std::size_t kServices = 90;    // of one task of one core each
constexpr double kWatchSeconds = 45;     // longer than the old TTL and a worker's lease together

void cut_off(Stage& stage, const std::string& zone) {
  stage.record.line("zone " + zone + " is cut off from everything");
  stage.state_links[kCutOff]->hold(true);
  stage.cloud_links[kCutOff]->hold(true);
  for (const std::size_t other : {0u, 1u}) {
    stage.peer_links[kCutOff][other]->hold(true);
    stage.peer_links[other][kCutOff]->hold(true);
    stage.cut_workers(zone, other, true);
    stage.cut_workers(stage.options.controller_zones[other], kCutOff, true);
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  const bool has_trouble = std::string(argv[4]) != "0";
  Options options;
  options.program = argv[1];
  options.folder = argv[2];
  options.record = argv[3];
  options.zones = {"bridgewater", "glenorchy", "new-norfolk"};
  options.controller_zones = {"bridgewater", "new-norfolk", "glenorchy"};
  options.report_s = 3;
  options.lease_s = 22;
  options.cancel_s = 47;
  options.txn_ops = 24;
  options.sockets = 1500;
  options.teams = {{"net-controls", {}}};
  options.objectives = {{{"kind", "wait"}, {"class", "setpoint"}, {"within_s", 2.0}, {"share", 0.92}}};
  // Both values are within the range of docs/operators.md: from 1 s to half the workers' lease.
  options.operators = {{0, "member_ttl_s: 1\n"}, {1, "member_ttl_s: 1\n"}, {2, "member_ttl_s: 11\n"}};
  options.seed = static_cast<std::uint64_t>(::getpid());
  Stage stage(options);
  const std::string zone = options.controller_zones[kCutOff];
  for (int i = 0; i < 16; ++i) stage.add_machine(zone, false, 0);
  for (int i = 0; i < 7; ++i) {
    stage.add_machine(options.controller_zones[0], false, 0);
    stage.add_machine(options.controller_zones[1], false, 0);
  }
  // Controllers 0 and 1 were restarted with the new file; controller 2 has yet to be.
  stage.start(0);
  stage.start(1);
  sleep_s(4);
  stage.start(kCutOff);
  if (!stage.wait_ready(20)) return 2;
  sleep_s(5);
  Client client;
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < kServices; ++i) {
    JobSpec job;
    char id[32];
    std::snprintf(id, sizeof id, "run-%06zu", i + 1);
    job.id = id;
    job.team = "net-controls";
    job.herd = "setpoint";
    job.kind = "daemon";
    job.rank = "critical";
    job.memory_gb = 2.5;
    job.image_gb = 1.2;
    ids.push_back(job.id);
    int status = stage.submit(client, i % 2, job).status;
    for (int again = 0; again < 5 && status != 200 && status != 201; ++again) {
      sleep_s(1);
      status = stage.submit(client, i % 2, job).status;
    }
    if (status != 200 && status != 201) return 2;
    sleep_s(0.1);
  }
  const auto running = [&] {
    std::size_t count = 0;
    for (const std::string& id : ids) count += stage.ledger.running(id);
    return count;
  };
  const Time until = later(Clock::now(), 20);
  while (running() < kServices && Clock::now() < until) sleep_s(0.1);
  if (running() < kServices) return 2;
  sleep_s(4);
  if (has_trouble) cut_off(stage, zone);
  const Time began = Clock::now();
  for (std::size_t next = 0; since(began) < kWatchSeconds; ++next) {
    stage.ask(client, next % 2, ids[next % ids.size()]);
    sleep_s(1);
  }
  bool is_broken = false;
  for (const std::string& line : stage.ledger.violations()) {
    std::puts(line.c_str());
    is_broken = is_broken || line.starts_with("ran_twice");
  }
  return is_broken ? 1 : 0;
}
