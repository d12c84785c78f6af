// Scenario commands that set up and configure the cluster.
#include "simulation/scenario_commands.h"

namespace saddleslip::testing {

namespace {

void play_workers(SimulatedCluster& cluster, CommandLine& line) {
  cluster.config.heartbeat_period_s = line.next_number();
  cluster.config.agent_lease_s = line.next_number();
}

void play_team(SimulatedCluster& cluster, CommandLine& line) {
  ClusterConfig::TeamQuota quota;
  quota.team = line.next_text();
  quota.guaranteed_cores = line.next_number();
  quota.max_cores = line.next_number();
  cluster.config.teams.push_back(quota);
}

// Reads the rest of the line as one line of an operators' settings file.
std::string read_setting(CommandLine& line) {
  return line.remaining_text().substr(1) + "\n";
}

void play_operators(SimulatedCluster& cluster, CommandLine& line) {
  cluster.config.operator_settings += read_setting(line);
}

void play_operators_of(SimulatedCluster& cluster, CommandLine& line) {
  const std::size_t controller = line.next_controller();
  cluster.config.operator_settings_of[controller] += read_setting(line);
}

ClusterConfig::StateLimits read_limits(CommandLine& line) {
  ClusterConfig::StateLimits limits;
  limits.max_value_bytes = line.next_count();
  limits.max_writes = line.next_count();
  return limits;
}

void play_state_limits(SimulatedCluster& cluster, CommandLine& line) {
  cluster.config.state_limits = read_limits(line);
}

void play_next_limits(SimulatedCluster& cluster, CommandLine& line) {
  cluster.config.next_state_limits = read_limits(line);
}

void play_controllers(SimulatedCluster& cluster, CommandLine& line) {
  cluster.controllers.start_all(line.next_count());
}

void play_capacity(SimulatedCluster& cluster, CommandLine& line) {
  const std::string type = line.next_text();
  cluster.cloud.set_capacity(type, static_cast<int>(line.next_count()));
}

void play_machine(SimulatedCluster& cluster, CommandLine& line) {
  const std::string id = line.next_text(), type = line.next_text(), zone = line.next_text();
  cluster.workers.add(id, type, zone, line.next_is("spot"), cluster.clock.seconds());
}

void play_machines(SimulatedCluster& cluster, CommandLine& line) {
  const std::size_t count = line.next_count();
  const std::string type = line.next_text(), zone = line.next_text();
  cluster.workers.add_fleet(count, type, zone);
}

void play_put(SimulatedCluster& cluster, CommandLine& line) {
  const std::string key = line.next_text();
  cluster.state.put(key, protocol::Json::parse(line.remaining_text()));
}

constexpr ScenarioCommand kCommands[] = {
    {"workers", "HEARTBEAT_S LEASE_S",
     "sets the agents' heartbeat period and lease; must precede controllers", play_workers},
    {"team", "NAME GUARANTEED_CORES MAX_CORES",
     "adds a team with its quota; must precede controllers", play_team},
    {"operators", "SETTING: VALUE",
     "adds a line to the operators' settings; must precede controllers", play_operators},
    {"operators_of", "CONTROLLER SETTING: VALUE",
     "adds a line to one controller's operators' settings, which it reads when it starts",
     play_operators_of},
    {"state_limits", "VALUE_BYTES WRITES",
     "sets the state service's limits per value and per transaction; must precede controllers",
     play_state_limits},
    {"next_limits", "VALUE_BYTES WRITES",
     "sets limits that apply later; must precede controllers, which start as the previous version",
     play_next_limits},
    {"controllers", "COUNT", "starts COUNT controllers: n0, n1, ...", play_controllers},
    {"capacity", "TYPE COUNT", "sets how many machines of a type can be rented", play_capacity},
    {"machine", "ID TYPE ZONE [spot]", "adds a machine; types: small, big", play_machine},
    {"machines", "COUNT TYPE ZONE", "adds COUNT machines to the fleet: f1001, f1002, ...",
     play_machines},
    {"put", "KEY JSON",
     "writes a record to the state service: a damaged one or one of another version", play_put},
};

}  // namespace

std::span<const ScenarioCommand> cluster_commands() {
  return kCommands;
}

}  // namespace saddleslip::testing
