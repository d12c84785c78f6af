#include "simulation/simulated_workers.h"

#include <algorithm>

namespace saddleslip::testing {

using protocol::Command;
using protocol::Json;

namespace {

constexpr double kImagePullSeconds = 0.5;
constexpr double kRequestTimeoutSeconds = 4;  // for a request that gets neither answer nor error
constexpr double kNextControllerRetrySeconds = 1.0;  // after a controller did not answer
constexpr double kRedirectRetrySeconds = 0.1;
constexpr double kHeartbeatAfterChangeSeconds = 0.2;
constexpr double kHeartbeatAfterCommandsSeconds = 0.5;
constexpr int kHttpMisdirected = 421;
constexpr char kFleetPrefix = 'f';

Command::Op parse_op(const std::string& call) {
  if (call == "run") return Command::Op::kRun;
  return call == "kill" ? Command::Op::kKill : Command::Op::kForget;
}

Command parse_command(const Json& call) {
  const std::string task = call["stride"];
  const auto slash = task.rfind('/');
  Command command;
  command.op = parse_op(call["call"]);
  command.task = {JobId(task.substr(0, slash)),
                  static_cast<TaskNumber>(std::stoul(task.substr(slash + 1)))};
  command.attempt = base::Attempt(call["remount"].get<std::uint64_t>());
  return command;
}

}  // namespace

void SimulatedWorkers::add(const std::string& id, const std::string& type, const std::string& zone,
                           bool is_spot, double up_at) {
  SimulatedMachine machine;
  machine.id = id;
  machine.type = type;
  machine.zone = zone;
  machine.is_spot = is_spot;
  machine.up_at = machine.last_answered_at = machine.next_heartbeat_at = up_at;
  machines_[id] = machine;
}

void SimulatedWorkers::add_fleet(std::size_t count, const std::string& type,
                                 const std::string& zone) {
  for (std::size_t i = 0; i < count; ++i) {
    const std::string id = kFleetPrefix + std::to_string(1000 + ++fleet_size_);
    add(id, type, zone, false, clock_.seconds());
  }
}

std::vector<SimulatedMachine*> SimulatedWorkers::every_nth_of_fleet(std::size_t interval) {
  std::vector<SimulatedMachine*> machines;
  std::size_t i = 0;
  for (auto& [id, machine] : machines_) {
    if (id[0] == kFleetPrefix && ++i % interval == 0) machines.push_back(&machine);
  }
  return machines;
}

std::size_t SimulatedWorkers::running_tasks(const JobId& job) const {
  std::size_t running = 0;
  for (const auto& [id, machine] : machines_) {
    if (!machine.is_alive || machine.is_hung) continue;
    for (const auto& [task, attempts] : machine.tasks) {
      if (task.job != job) continue;
      running += static_cast<std::size_t>(std::count_if(
          attempts.begin(), attempts.end(),
          [](const SimulatedAttempt& attempt) { return attempt.state == "running"; }));
    }
  }
  return running;
}

void SimulatedWorkers::reboot(const std::string& id, double seconds) {
  SimulatedMachine& machine = at(id);
  begin_agent_incarnation(machine);
  machine.up_at = machine.next_heartbeat_at = machine.last_answered_at = clock_.seconds() + seconds;
}

const SimulatedMachine* SimulatedWorkers::find(const std::string& id) const {
  const auto found = machines_.find(id);
  return found == machines_.end() ? nullptr : &found->second;
}

void SimulatedWorkers::step(ControllerEndpoints& controllers, ProtocolObserver& observer) {
  deliver_late_heartbeats(controllers);
  for (auto& [id, machine] : machines_) {
    if (machine.is_up(clock_.seconds())) step_machine(machine, controllers, observer);
  }
}

std::optional<protocol::Heartbeat> SimulatedWorkers::deliver(
    const coordination::CommandBatch& batch) {
  const auto found = machines_.find(batch.machine.get());
  if (found == machines_.end()) return std::nullopt;
  SimulatedMachine& machine = found->second;
  if (!machine.is_up(clock_.seconds()) || machine.is_hung || machine.is_half_open)
    return std::nullopt;
  if (batch.fencing_token.get() >= machine.fencing_token &&
      batch.agent_incarnation.get() == machine.agent_incarnation) {
    machine.fencing_token = batch.fencing_token.get();
    execute_commands(machine, batch.commands);
  }
  return make_heartbeat(machine);
}

void SimulatedWorkers::deliver_late_heartbeats(ControllerEndpoints& controllers) {
  for (std::size_t i = 0; i < late_heartbeats_.size();) {
    if (clock_.seconds() < late_heartbeats_[i].due_at) {
      ++i;
      continue;
    }
    const LateHeartbeat late = late_heartbeats_[i];
    late_heartbeats_.erase(late_heartbeats_.begin() + static_cast<std::ptrdiff_t>(i));
    for (std::size_t controller = 0; controller < controllers.count(); ++controller) {
      if (controllers.is_serving(controller))
        controllers.handle_heartbeat(controller, late.heartbeat);
    }
  }
}

void SimulatedWorkers::step_machine(SimulatedMachine& machine, ControllerEndpoints& controllers,
                                    ProtocolObserver& observer) {
  const double now = clock_.seconds();
  if (machine.spot_ends_at && now >= *machine.spot_ends_at) return machine.terminate();
  // The agent's lease also expires while the machine hangs. A machine that resumes later has lost
  // its tasks.
  if (now - machine.last_answered_at > config_.agent_lease_s) begin_agent_incarnation(machine);
  if (machine.is_hung) return;
  bool changed = false;
  for (auto& [task, attempts] : machine.tasks) {
    for (SimulatedAttempt& attempt : attempts)
      changed = step_attempt(machine, task, attempt, observer) || changed;
  }
  if (changed)
    machine.next_heartbeat_at =
        std::min(machine.next_heartbeat_at, now + kHeartbeatAfterChangeSeconds);
  if (now >= machine.next_heartbeat_at) send_heartbeat(machine, controllers, observer);
}

bool SimulatedWorkers::step_attempt(const SimulatedMachine& machine, const TaskId& task,
                                    SimulatedAttempt& attempt, ProtocolObserver& observer) {
  const double now = clock_.seconds();
  if (attempt.state == "pulling" && now >= attempt.image_ready_at) {
    observer.on_task_started(machine, task);
    const SimulatedJob& job = jobs_.at(task.job);
    attempt.state = "running";
    attempt.ends_at = now + job.fails_after_s.value_or(job.task_run_s);
    if (machine.is_faulty) attempt.end("error");
    return true;
  }
  if (attempt.state != "running" || now < attempt.ends_at) return false;
  SimulatedJob& job = jobs_.at(task.job);
  if (job.spec.kind == protocol::Kind::kService) return false;
  const bool failed = job.fails_after_s.has_value();
  attempt.end(failed ? "error" : "done");
  if (!failed) job.completed_tasks.insert(task.no);
  return true;
}

bool SimulatedWorkers::is_connected(const SimulatedMachine& machine) const {
  const std::string controller = controller_name(machine.controller);
  return !machine.is_silent && !network_.is_cut(controller, "workers") &&
         !network_.is_cut(controller, machine.id) && !network_.is_cut(controller, machine.zone);
}

void SimulatedWorkers::try_next_controller(SimulatedMachine& machine,
                                           const ControllerEndpoints& controllers) {
  machine.controller = (machine.controller + 1) % controllers.count();
  machine.next_heartbeat_at = clock_.seconds() + kNextControllerRetrySeconds;
}

void SimulatedWorkers::send_heartbeat(SimulatedMachine& machine, ControllerEndpoints& controllers,
                                      ProtocolObserver& observer) {
  const double now = clock_.seconds();
  machine.next_heartbeat_at = now + config_.heartbeat_period_s;
  const std::size_t to = machine.controller;
  if (!controllers.is_serving(to)) return try_next_controller(machine, controllers);
  if (!is_connected(machine) || controllers.is_frozen(to)) {
    try_next_controller(machine, controllers);
    if (network_.cuts_are_silent()) machine.next_heartbeat_at += kRequestTimeoutSeconds;
    return;
  }
  const auto heartbeat = make_heartbeat(machine);
  if (machine.duplicate_delay_s)
    late_heartbeats_.push_back({now + *machine.duplicate_delay_s, heartbeat});
  const auto reply = controllers.handle_heartbeat(to, heartbeat);
  trace_.write(now, "report", machine.id, controller_name(to), reply.status, reply.body);
  if (machine.is_half_open) {
    try_next_controller(machine, controllers);
    machine.next_heartbeat_at += kRequestTimeoutSeconds;
    return;
  }
  const Json body = Json::parse(reply.body, nullptr, false);
  if (reply.status == kHttpMisdirected && body.contains("trailboss"))
    return follow_redirect(machine, body, controllers);
  if (reply.status != 200) return try_next_controller(machine, controllers);
  process_reply(machine, body, observer);
}

void SimulatedWorkers::follow_redirect(SimulatedMachine& machine, const Json& reply,
                                       const ControllerEndpoints& controllers) {
  for (std::size_t controller = 0; controller < controllers.count(); ++controller) {
    if (controller_name(controller) != reply["trailboss"] || controller == machine.controller)
      continue;
    machine.controller = controller;
    machine.next_heartbeat_at = clock_.seconds() + kRedirectRetrySeconds;
    return;
  }
  try_next_controller(machine, controllers);
}

void SimulatedWorkers::process_reply(SimulatedMachine& machine, const Json& reply,
                                     ProtocolObserver& observer) {
  const auto fencing_token = reply["reins"].get<std::uint64_t>();
  if (fencing_token < machine.fencing_token) return;
  machine.fencing_token = fencing_token;
  machine.last_answered_at = clock_.seconds();
  std::vector<Command> commands;
  for (const Json& call : reply["calls"]) {
    const Command command = parse_command(call);
    if (command.op == Command::Op::kRun)
      observer.on_start_commanded(machine.controller, command.task);
    commands.push_back(command);
  }
  execute_commands(machine, commands);
  if (commands.empty()) return;
  machine.next_heartbeat_at =
      std::min(machine.next_heartbeat_at, clock_.seconds() + kHeartbeatAfterCommandsSeconds);
}

protocol::Heartbeat SimulatedWorkers::make_heartbeat(SimulatedMachine& machine) {
  Json tasks = Json::array();
  for (const auto& [id, attempts] : machine.tasks) {
    for (const SimulatedAttempt& attempt : attempts) {
      tasks.push_back({{"stride", id.job.get() + "/" + std::to_string(id.no)},
                       {"remount", attempt.number},
                       {"status", attempt.state},
                       {"cause", attempt.cause}});
    }
  }
  Json json = {{"mount", machine.id},
               {"endpoint", machine.id + ":1"},
               {"breed", machine.type},
               {"paddock", machine.zone},
               {"strays", machine.is_spot},
               {"ride", machine.agent_incarnation},
               {"tally", ++machine.sequence},
               {"reins", machine.fencing_token},
               {"strides", tasks}};
  if (machine.spot_ends_at) json["recall_s"] = *machine.spot_ends_at - clock_.seconds();
  auto heartbeat = protocol::parse_heartbeat(json.dump());
  if (!heartbeat) failures_.add("heartbeat of a simulated worker cannot be parsed");
  return *heartbeat;
}

void SimulatedWorkers::execute_commands(SimulatedMachine& machine,
                                        const std::vector<Command>& commands) {
  for (const Command& command : commands) {
    auto& attempts = machine.tasks[command.task];
    const auto found = std::find_if(
        attempts.begin(), attempts.end(),
        [&](const SimulatedAttempt& attempt) { return attempt.number == command.attempt.get(); });
    const bool is_known = found != attempts.end();
    if (command.op == Command::Op::kRun) {
      if (!is_known) attempts.push_back(start_attempt(machine, command));
    } else if (is_known && command.op == Command::Op::kForget) {
      if (!found->is_active()) attempts.erase(found);
    } else if (is_known && found->is_active()) {
      found->end("halted");
    }
    if (attempts.empty()) machine.tasks.erase(command.task);
  }
}

SimulatedAttempt SimulatedWorkers::start_attempt(const SimulatedMachine& machine,
                                                 const Command& command) const {
  SimulatedAttempt attempt{command.attempt.get(), "pulling", "",
                           clock_.seconds() + kImagePullSeconds, 0};
  const SimulatedJob* job = jobs_.find(command.task.job);
  if (machine.has_active(command.task)) {
    attempt.end("busy");
  } else if (!job) {
    attempt.end("unknown");
  } else if (cores_in_use(machine) + job->spec.request.cores() > machine.cores() + 1e-6) {
    attempt.end("no_room");
  }
  return attempt;
}

double SimulatedWorkers::cores_in_use(const SimulatedMachine& machine) const {
  double cores = 0;
  for (const auto& [task, attempts] : machine.tasks) {
    const SimulatedJob* job = jobs_.find(task.job);
    for (const SimulatedAttempt& attempt : attempts) {
      if (job && attempt.is_active()) cores += job->spec.request.cores();
    }
  }
  return cores;
}

void SimulatedWorkers::begin_agent_incarnation(SimulatedMachine& machine) {
  machine.tasks.clear();
  ++machine.agent_incarnation;
  machine.last_answered_at = clock_.seconds();
}

}  // namespace saddleslip::testing
