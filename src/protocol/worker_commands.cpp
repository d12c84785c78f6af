#include "protocol/worker_commands.h"

#include "protocol/wire_fields.h"

namespace saddleslip::protocol {

namespace {

// Returns the id of a task in messages: job id, slash and task number.
std::string format_task_id(const TaskId& task) {
  return task.job.get() + "/" + std::to_string(task.no);
}

Json to_json(const Command& command) {
  Json json = {{wire::kTask, format_task_id(command.task)},
               {wire::kAttempt, command.attempt.get()}};
  switch (command.op) {
    case Command::Op::kRun:
      json[wire::kCommand] = "run";
      break;
    case Command::Op::kKill:
      json[wire::kCommand] = "kill";
      json[wire::kGracePeriod] = command.grace.count();
      break;
    case Command::Op::kForget:
      json[wire::kCommand] = "forget";
      break;
  }
  return json;
}

Json to_json(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const Command& command : commands) list.push_back(to_json(command));
  return list;
}

}  // namespace

std::string encode_heartbeat_response(FencingToken fencing_token,
                                      const std::vector<Command>& commands) {
  return Json{{wire::kFencingToken, fencing_token.get()}, {wire::kCommands, to_json(commands)}}
      .dump();
}

std::string encode_command_batch(FencingToken fencing_token, AgentIncarnation agent_incarnation,
                                 const std::vector<Command>& commands) {
  return Json{{wire::kFencingToken, fencing_token.get()},
              {wire::kAgentIncarnation, agent_incarnation.get()},
              {wire::kCommands, to_json(commands)}}
      .dump();
}

std::string encode_redirect(const std::optional<MemberId>& owner) {
  return owner ? Json{{wire::kOwner, owner->get()}}.dump() : "{}";
}

}  // namespace saddleslip::protocol
