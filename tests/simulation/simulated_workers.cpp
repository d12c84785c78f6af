#include "simulation/simulated_workers.h"

#include <algorithm>

namespace saddleslip::testing {

using protocol::Command;
using protocol::Json;

namespace {

constexpr double kImagePull = 0.5;
constexpr double kRequestTimeout = 4;         // for a request that gets neither answer nor error
constexpr double kRetryNextController = 1.0;  // after a controller did not answer
constexpr double kRetryRedirected = 0.1;
constexpr double kHeartbeatAfterChange = 0.2;
constexpr double kHeartbeatAfterCommands = 0.5;
constexpr int kMisdirected = 421;  // HTTP
constexpr char kFleetPrefix = 'f';

Command::Op op_of(const std::string& call) {
  if (call == "run") return Command::Op::kRun;
  return call == "kill" ? Command::Op::kKill : Command::Op::kForget;
}

Command command_of(const Json& call) {
  const std::string task = call["stride"];
  const auto slash = task.rfind('/');
  Command command;
  command.op = op_of(call["call"]);
  command.task = {JobId(task.substr(0, slash)),
                  static_cast<TaskNo>(std::stoul(task.substr(slash + 1)))};
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

std::vector<SimulatedMachine*> SimulatedWorkers::every_nth_of_fleet(std::size_t n) {
  std::vector<SimulatedMachine*> machines;
  std::size_t i = 0;
  for (auto& [id, machine] : machines_) {
    if (id[0] == kFleetPrefix && ++i % n == 0) machines.push_back(&machine);
  }
  return machines;
}

std::size_t SimulatedWorkers::running_tasks(const JobId& job) const {
  std::size_t running = 0;
  for (const auto& [id, machine] : machines_) {
    if (!machine.is_alive || machine.is_hung) continue;
    for (const auto& [task, attempts] : machine.tasks) {
      if (task.job != job) continue;
      running += static_cast<std::size_t>(
          std::count_if(attempts.begin(), attempts.end(),
                        [](const SimulatedAttempt& a) { return a.state == "running"; }));
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
  const auto at = machines_.find(id);
  return at == machines_.end() ? nullptr : &at->second;
}

void SimulatedWorkers::step(ControllerEndpoints& controllers, ProtocolObserver& observer) {
  deliver_late_heartbeats(controllers);
  for (auto& [id, machine] : machines_) {
    if (machine.is_up(clock_.seconds())) step_machine(machine, controllers, observer);
  }
}

std::optional<protocol::Heartbeat> SimulatedWorkers::deliver(
    const coordination::CommandBatch& batch) {
  const auto at = machines_.find(batch.machine.get());
  if (at == machines_.end()) return std::nullopt;
  SimulatedMachine& machine = at->second;
  if (!machine.is_up(clock_.seconds()) || machine.is_hung || machine.is_half_open)
    return std::nullopt;
  if (batch.fencing_token.get() >= machine.fencing_token &&
      batch.agent_incarnation.get() == machine.agent_incarnation) {
    machine.fencing_token = batch.fencing_token.get();
    execute(machine, batch.commands);
  }
  return heartbeat_of(machine);
}

void SimulatedWorkers::deliver_late_heartbeats(ControllerEndpoints& controllers) {
  for (std::size_t i = 0; i < late_heartbeats_.size();) {
    if (clock_.seconds() < late_heartbeats_[i].due_at) {
      ++i;
      continue;
    }
    const LateHeartbeat late = late_heartbeats_[i];
    late_heartbeats_.erase(late_heartbeats_.begin() + static_cast<std::ptrdiff_t>(i));
    for (std::size_t c = 0; c < controllers.count(); ++c) {
      if (controllers.is_serving(c)) controllers.handle_heartbeat(c, late.heartbeat);
    }
  }
}

void SimulatedWorkers::step_machine(SimulatedMachine& machine, ControllerEndpoints& controllers,
                                    ProtocolObserver& observer) {
  const double now = clock_.seconds();
  if (machine.spot_ends_at && now >= *machine.spot_ends_at) return machine.die();
  // A hung machine keeps its tasks only until its lease expires, as an agent's lease does not wait.
  if (now - machine.last_answered_at > config_.lease_s) begin_agent_incarnation(machine);
  if (machine.is_hung) return;
  bool changed = false;
  for (auto& [task, attempts] : machine.tasks) {
    for (SimulatedAttempt& attempt : attempts)
      changed = step_attempt(machine, task, attempt, observer) || changed;
  }
  if (changed)
    machine.next_heartbeat_at = std::min(machine.next_heartbeat_at, now + kHeartbeatAfterChange);
  if (now >= machine.next_heartbeat_at) send_heartbeat(machine, controllers, observer);
}

bool SimulatedWorkers::step_attempt(const SimulatedMachine& machine, const TaskId& task,
                                    SimulatedAttempt& attempt, ProtocolObserver& observer) {
  const double now = clock_.seconds();
  if (attempt.state == "pulling" && now >= attempt.image_ready_at) {
    observer.on_task_started(machine, task);
    const SimulatedJob& job = jobs_.at(task.job);
    attempt.state = "running";
    attempt.ends_at = now + job.fails_after.value_or(job.run_s);
    if (machine.is_faulty) attempt.end("error");
    return true;
  }
  if (attempt.state != "running" || now < attempt.ends_at) return false;
  SimulatedJob& job = jobs_.at(task.job);
  if (job.spec.kind == protocol::Kind::kService) return false;
  const bool failed = job.fails_after.has_value();
  attempt.end(failed ? "error" : "done");
  if (!failed) job.done.insert(task.no);
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
  machine.next_heartbeat_at = clock_.seconds() + kRetryNextController;
}

void SimulatedWorkers::send_heartbeat(SimulatedMachine& machine, ControllerEndpoints& controllers,
                                      ProtocolObserver& observer) {
  const double now = clock_.seconds();
  machine.next_heartbeat_at = now + config_.heartbeat_s;
  const std::size_t to = machine.controller;
  if (!controllers.is_serving(to)) return try_next_controller(machine, controllers);
  if (!is_connected(machine) || controllers.is_frozen(to)) {
    try_next_controller(machine, controllers);
    if (network_.cuts_are_silent()) machine.next_heartbeat_at += kRequestTimeout;
    return;
  }
  const auto heartbeat = heartbeat_of(machine);
  if (machine.copies_delay) late_heartbeats_.push_back({now + *machine.copies_delay, heartbeat});
  const auto reply = controllers.handle_heartbeat(to, heartbeat);
  trace_.write(now, "report", machine.id, controller_name(to), reply.status, reply.body);
  if (machine.is_half_open) {
    try_next_controller(machine, controllers);
    machine.next_heartbeat_at += kRequestTimeout;
    return;
  }
  const Json body = Json::parse(reply.body, nullptr, false);
  if (reply.status == kMisdirected && body.contains("trailboss"))
    return follow_redirect(machine, body, controllers);
  if (reply.status != 200) return try_next_controller(machine, controllers);
  take_reply(machine, body, observer);
}

void SimulatedWorkers::follow_redirect(SimulatedMachine& machine, const Json& reply,
                                       const ControllerEndpoints& controllers) {
  for (std::size_t c = 0; c < controllers.count(); ++c) {
    if (controller_name(c) != reply["trailboss"] || c == machine.controller) continue;
    machine.controller = c;
    machine.next_heartbeat_at = clock_.seconds() + kRetryRedirected;
    return;
  }
  try_next_controller(machine, controllers);
}

void SimulatedWorkers::take_reply(SimulatedMachine& machine, const Json& reply,
                                  ProtocolObserver& observer) {
  const auto fencing_token = reply["reins"].get<std::uint64_t>();
  if (fencing_token < machine.fencing_token) return;
  machine.fencing_token = fencing_token;
  machine.last_answered_at = clock_.seconds();
  std::vector<Command> commands;
  for (const Json& call : reply["calls"]) {
    const Command command = command_of(call);
    if (command.op == Command::Op::kRun)
      observer.on_start_commanded(machine.controller, command.task);
    commands.push_back(command);
  }
  execute(machine, commands);
  if (commands.empty()) return;
  machine.next_heartbeat_at =
      std::min(machine.next_heartbeat_at, clock_.seconds() + kHeartbeatAfterCommands);
}

protocol::Heartbeat SimulatedWorkers::heartbeat_of(SimulatedMachine& machine) {
  Json tasks = Json::array();
  for (const auto& [id, attempts] : machine.tasks) {
    for (const SimulatedAttempt& attempt : attempts) {
      tasks.push_back({{"stride", id.job.get() + "/" + std::to_string(id.no)},
                       {"remount", attempt.attempt},
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

void SimulatedWorkers::execute(SimulatedMachine& machine, const std::vector<Command>& commands) {
  for (const Command& command : commands) {
    auto& attempts = machine.tasks[command.task];
    const auto at = std::find_if(attempts.begin(), attempts.end(), [&](const SimulatedAttempt& a) {
      return a.attempt == command.attempt.get();
    });
    const bool is_known = at != attempts.end();
    if (command.op == Command::Op::kRun) {
      if (!is_known) attempts.push_back(start(machine, command));
    } else if (is_known && command.op == Command::Op::kForget) {
      if (!at->is_active()) attempts.erase(at);
    } else if (is_known && at->is_active()) {
      at->end("halted");
    }
    if (attempts.empty()) machine.tasks.erase(command.task);
  }
}

SimulatedAttempt SimulatedWorkers::start(const SimulatedMachine& machine,
                                         const Command& command) const {
  SimulatedAttempt attempt{command.attempt.get(), "pulling", "", clock_.seconds() + kImagePull, 0};
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
