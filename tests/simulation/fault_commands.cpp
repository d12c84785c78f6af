// Commands that bring faults about, and mend them.
#include "simulation/scenario_commands.h"

namespace saddleslip::testing {

namespace {

void play_crash(SimulatedCluster& cluster, CommandLine& line) {
  const std::size_t controller = line.controller();
  cluster.controllers.crash(controller, line.optional_number());
}

// Commands with a controller and a number of seconds.
template <void (SimulatedControllers::*kFault)(std::size_t, double)>
void play_controller_fault(SimulatedCluster& cluster, CommandLine& line) {
  const std::size_t controller = line.controller();
  (cluster.controllers.*kFault)(controller, line.number());
}

void play_lose_commit(SimulatedCluster& cluster, CommandLine& line) {
  cluster.state.lose_next_answer(line.controller());
}

void play_late_commit(SimulatedCluster& cluster, CommandLine& line) {
  const std::size_t controller = line.controller();
  cluster.state.delay_next_commit(controller, line.number());
}

void play_state(SimulatedCluster& cluster, CommandLine& line) {
  cluster.state.set_down(line.is("down"));
}

void play_cloud(SimulatedCluster& cluster, CommandLine& line) {
  cluster.cloud.set_down(line.is("down"));
}

void play_spot(SimulatedCluster& cluster, CommandLine& line) {
  cluster.cloud.set_spot_offered(line.is("on"));
}

void play_boots(SimulatedCluster& cluster, CommandLine& line) {
  const std::string after = line.text();
  if (after == "never") return cluster.cloud.set_boots_never();
  cluster.cloud.set_boot_time(std::stod(after));
}

void play_cut(SimulatedCluster& cluster, CommandLine& line) {
  const std::string from = line.text(), to = line.text();
  cluster.network.cut(from, to);
}

void play_mend(SimulatedCluster& cluster, CommandLine& line) {
  const std::string from = line.text(), to = line.text();
  cluster.network.mend(from, to);
}

void play_silent_cuts(SimulatedCluster& cluster, CommandLine& line) {
  cluster.network.set_silent_cuts(line.is("on"));
}

SimulatedMachine& machine(SimulatedCluster& cluster, CommandLine& line) {
  return cluster.workers.at(line.text());
}

void play_die(SimulatedCluster& cluster, CommandLine& line) {
  machine(cluster, line).die();
}

// Commands that set or clear a condition of a machine.
template <bool SimulatedMachine::*kCondition, bool kValue>
void play_condition(SimulatedCluster& cluster, CommandLine& line) {
  machine(cluster, line).*kCondition = kValue;
}

// Every so-manieth machine of the large fleet.
void play_some(SimulatedCluster& cluster, CommandLine& line) {
  const std::size_t every = line.count();
  const std::string fault = line.text();
  for (SimulatedMachine* machine : cluster.workers.every_nth_of_fleet(every)) {
    if (fault == "die") {
      machine->die();
    } else {
      machine->is_hung = fault == "hang";
    }
  }
}

void play_reboot(SimulatedCluster& cluster, CommandLine& line) {
  const std::string id = line.text();
  cluster.workers.reboot(id, line.number());
}

void play_spot_notice(SimulatedCluster& cluster, CommandLine& line) {
  SimulatedMachine& spot = machine(cluster, line);
  spot.spot_ends_at = cluster.clock.seconds() + line.number();
}

void play_copies(SimulatedCluster& cluster, CommandLine& line) {
  SimulatedMachine& copied = machine(cluster, line);
  copied.copies_delay = line.number();
}

void play_hold_commands(SimulatedCluster& cluster, CommandLine& line) {
  cluster.commands.hold(line.number());
}

void play_lose_commands(SimulatedCluster& cluster, CommandLine& line) {
  cluster.commands.set_lost(line.is("on"));
}

void play_repeat_commands(SimulatedCluster& cluster, CommandLine& line) {
  cluster.commands.set_repeated(line.is("on"));
}

constexpr ScenarioCommand kServiceFaults[] = {
    {"crash", "CONTROLLER [BACK_AFTER_S]", "ends a controller's process", play_crash},
    {"upgrade", "CONTROLLER BACK_AFTER_S", "it ends, and comes back with this version",
     play_controller_fault<&SimulatedControllers::upgrade>},
    {"freeze", "CONTROLLER SECONDS", "it stands still while its clocks run on",
     play_controller_fault<&SimulatedControllers::freeze>},
    {"slow_load", "CONTROLLER SECONDS",
     "the time between reading the jobs and their tasks' records",
     play_controller_fault<&SimulatedControllers::set_load_time>},
    {"watch_lag", "CONTROLLER SECONDS", "it learns of changes so much later",
     play_controller_fault<&SimulatedControllers::set_watch_lag>},
    {"lose_commit", "CONTROLLER", "its next commit is carried out, unanswered", play_lose_commit},
    {"late_commit", "CONTROLLER SECONDS",
     "its next commit is carried out so much later, unanswered", play_late_commit},
    {"state", "up|down", "the state service", play_state},
    {"cloud", "up|down", "the cloud's interface", play_cloud},
    {"spot", "on|off", "does the cloud have spot machines?", play_spot},
    {"boots", "SECONDS|never", "how long machines boot that are rented from now on", play_boots},
    {"cut", "A B", "cuts a link between controllers, state, workers, a machine or a zone",
     play_cut},
    {"mend", "A B", "takes back a cut", play_mend},
    {"silent_cuts", "on|off", "what is cut gives no error: the sender waits for its timeout",
     play_silent_cuts},
};

constexpr ScenarioCommand kMachineFaults[] = {
    {"die", "MACHINE", "it is gone with its tasks", play_die},
    {"hang", "MACHINE", "it stands still", play_condition<&SimulatedMachine::is_hung, true>},
    {"wake", "MACHINE", "it no longer hangs", play_condition<&SimulatedMachine::is_hung, false>},
    {"some", "EVERY die|hang|wake", "every so-manieth machine of the large fleet", play_some},
    {"reboot", "MACHINE SECONDS", "it comes back empty before it is missed", play_reboot},
    {"faulty", "MACHINE", "it fails all that it starts",
     play_condition<&SimulatedMachine::is_faulty, true>},
    {"half_open", "MACHINE", "its heartbeats arrive, but nothing reaches it",
     play_condition<&SimulatedMachine::is_half_open, true>},
    {"mend_half_open", "MACHINE", "it is reached again",
     play_condition<&SimulatedMachine::is_half_open, false>},
    {"silent", "MACHINE", "its heartbeats do not arrive, but commands reach it",
     play_condition<&SimulatedMachine::is_silent, true>},
    {"audible", "MACHINE", "its heartbeats arrive again",
     play_condition<&SimulatedMachine::is_silent, false>},
    {"spot_notice", "MACHINE SECONDS", "the cloud takes a spot machine back after that",
     play_spot_notice},
    {"copies", "MACHINE SECONDS", "a copy of each heartbeat arrives so much later, everywhere",
     play_copies},
    {"hold_commands", "SECONDS", "commands that are sent from now on arrive after that",
     play_hold_commands},
    {"lose_commands", "on|off", "commands are lost", play_lose_commands},
    {"repeat_commands", "on|off", "commands arrive a second time, much later",
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
