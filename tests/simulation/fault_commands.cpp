// Scenario commands that cause faults and end them.
#include "simulation/scenario_commands.h"

namespace saddleslip::testing {

namespace {

void play_crash(SimulatedCluster& cluster, CommandLine& line) {
  const std::size_t controller = line.next_controller();
  cluster.controllers.crash(controller, line.next_optional_number());
}

// Plays a command whose arguments are a controller and a number of seconds.
template <void (SimulatedControllers::*kFault)(std::size_t, double)>
void play_controller_fault(SimulatedCluster& cluster, CommandLine& line) {
  const std::size_t controller = line.next_controller();
  (cluster.controllers.*kFault)(controller, line.next_number());
}

void play_lose_commit(SimulatedCluster& cluster, CommandLine& line) {
  cluster.state.lose_next_answer(line.next_controller());
}

void play_late_commit(SimulatedCluster& cluster, CommandLine& line) {
  const std::size_t controller = line.next_controller();
  cluster.state.delay_next_commit(controller, line.next_number());
}

void play_state(SimulatedCluster& cluster, CommandLine& line) {
  cluster.state.set_down(line.next_is("down"));
}

void play_cloud(SimulatedCluster& cluster, CommandLine& line) {
  cluster.cloud.set_down(line.next_is("down"));
}

void play_spot(SimulatedCluster& cluster, CommandLine& line) {
  cluster.cloud.set_spot_offered(line.next_is("on"));
}

void play_boots(SimulatedCluster& cluster, CommandLine& line) {
  const std::string boot_time = line.next_text();
  if (boot_time == "never") return cluster.cloud.set_never_boots();
  cluster.cloud.set_boot_time(std::stod(boot_time));
}

void play_cut(SimulatedCluster& cluster, CommandLine& line) {
  const std::string from = line.next_text(), to = line.next_text();
  cluster.network.cut(from, to);
}

void play_mend(SimulatedCluster& cluster, CommandLine& line) {
  const std::string from = line.next_text(), to = line.next_text();
  cluster.network.restore(from, to);
}

void play_silent_cuts(SimulatedCluster& cluster, CommandLine& line) {
  cluster.network.set_silent_cuts(line.next_is("on"));
}

SimulatedMachine& named_machine(SimulatedCluster& cluster, CommandLine& line) {
  return cluster.workers.at(line.next_text());
}

void play_die(SimulatedCluster& cluster, CommandLine& line) {
  named_machine(cluster, line).terminate();
}

// Plays a command that sets or clears a condition of a machine.
template <bool SimulatedMachine::*kCondition, bool kValue>
void play_set_condition(SimulatedCluster& cluster, CommandLine& line) {
  named_machine(cluster, line).*kCondition = kValue;
}

// Applies a fault, or its end, to every n-th machine of the fleet.
void play_some(SimulatedCluster& cluster, CommandLine& line) {
  const std::size_t every = line.next_count();
  const std::string fault = line.next_text();
  for (SimulatedMachine* machine : cluster.workers.every_nth_of_fleet(every)) {
    if (fault == "die") {
      machine->terminate();
    } else {
      machine->is_hung = fault == "hang";
    }
  }
}

void play_reboot(SimulatedCluster& cluster, CommandLine& line) {
  const std::string id = line.next_text();
  cluster.workers.reboot(id, line.next_number());
}

void play_spot_notice(SimulatedCluster& cluster, CommandLine& line) {
  SimulatedMachine& machine = named_machine(cluster, line);
  machine.spot_ends_at = cluster.clock.seconds() + line.next_number();
}

void play_copies(SimulatedCluster& cluster, CommandLine& line) {
  SimulatedMachine& machine = named_machine(cluster, line);
  machine.duplicate_delay_s = line.next_number();
}

void play_hold_commands(SimulatedCluster& cluster, CommandLine& line) {
  cluster.commands.hold_for(line.next_number());
}

void play_lose_commands(SimulatedCluster& cluster, CommandLine& line) {
  cluster.commands.set_dropping(line.next_is("on"));
}

void play_repeat_commands(SimulatedCluster& cluster, CommandLine& line) {
  cluster.commands.set_duplicating(line.next_is("on"));
}

constexpr ScenarioCommand kServiceFaults[] = {
    {"crash", "CONTROLLER [BACK_AFTER_S]", "ends a controller's process", play_crash},
    {"upgrade", "CONTROLLER BACK_AFTER_S",
     "ends a controller's process and restarts it with the current version",
     play_controller_fault<&SimulatedControllers::upgrade>},
    {"freeze", "CONTROLLER SECONDS", "pauses a controller's process while its clocks keep running",
     play_controller_fault<&SimulatedControllers::freeze>},
    {"slow_load", "CONTROLLER SECONDS",
     "sets the time between loading the jobs and loading their tasks' records",
     play_controller_fault<&SimulatedControllers::set_chunk_load_delay>},
    {"watch_lag", "CONTROLLER SECONDS", "delays the changes that its watch delivers",
     play_controller_fault<&SimulatedControllers::set_watch_lag>},
    {"lose_commit", "CONTROLLER", "its next commit is applied, but the answer is lost",
     play_lose_commit},
    {"late_commit", "CONTROLLER SECONDS",
     "its next commit is applied after the delay, and not answered", play_late_commit},
    {"state", "up|down", "starts or ends an outage of the state service", play_state},
    {"cloud", "up|down", "starts or ends an outage of the cloud's API", play_cloud},
    {"spot", "on|off", "sets whether the cloud offers spot machines", play_spot},
    {"boots", "SECONDS|never", "sets the boot time of machines that are rented from now on",
     play_boots},
    {"cut", "A B",
     "cuts a link between two endpoints: a controller, state, workers, a machine or a zone",
     play_cut},
    {"mend", "A B", "restores a link that was cut with the same arguments", play_mend},
    {"silent_cuts", "on|off",
     "sets whether a sender over a cut link gets no error and waits for its timeout",
     play_silent_cuts},
};

constexpr ScenarioCommand kMachineFaults[] = {
    {"die", "MACHINE", "the machine fails, and its tasks are lost", play_die},
    {"hang", "MACHINE", "the machine stops responding, but may resume",
     play_set_condition<&SimulatedMachine::is_hung, true>},
    {"wake", "MACHINE", "a hung machine resumes",
     play_set_condition<&SimulatedMachine::is_hung, false>},
    {"some", "EVERY die|hang|wake", "applies this to every EVERY-th machine of the fleet",
     play_some},
    {"reboot", "MACHINE SECONDS", "the machine restarts without its tasks, within the given time",
     play_reboot},
    {"faulty", "MACHINE", "every task that the machine starts fails",
     play_set_condition<&SimulatedMachine::is_faulty, true>},
    {"half_open", "MACHINE",
     "the machine's heartbeats arrive, but replies and commands do not reach it",
     play_set_condition<&SimulatedMachine::is_half_open, true>},
    {"mend_half_open", "MACHINE", "replies and commands reach the half-open machine again",
     play_set_condition<&SimulatedMachine::is_half_open, false>},
    {"silent", "MACHINE", "the machine's heartbeats do not arrive, but commands reach it",
     play_set_condition<&SimulatedMachine::is_silent, true>},
    {"audible", "MACHINE", "the silent machine's heartbeats arrive again",
     play_set_condition<&SimulatedMachine::is_silent, false>},
    {"spot_notice", "MACHINE SECONDS", "the cloud reclaims a spot machine after the given time",
     play_spot_notice},
    {"copies", "MACHINE SECONDS",
     "a copy of each heartbeat arrives at all controllers after the given delay", play_copies},
    {"hold_commands", "SECONDS", "commands sent within the given time arrive at its end",
     play_hold_commands},
    {"lose_commands", "on|off", "sets whether commands are lost", play_lose_commands},
    {"repeat_commands", "on|off", "sets whether commands arrive a second time, 20 seconds later",
     play_repeat_commands},
};

}  // namespace

std::span<const ScenarioCommand> service_fault_commands() {
  return kServiceFaults;
}

std::span<const ScenarioCommand> machine_fault_commands() {
  return kMachineFaults;
}

}  // namespace saddleslip::testing
