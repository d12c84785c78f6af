// What controllers tell the agents on machines: commands, and answers to heartbeats.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// A command about one attempt of a task.
struct Command {
  enum class Op {
    kRun,
    kKill,    // stop it; it has the grace period to save its state
    kForget,  // it has ended, and its completion is recorded: it need not be reported again
  } op = Op::kRun;
  TaskId task;
  Attempt attempt;
  Seconds grace{0};  // of kKill
};

// The answer to a heartbeat: renews the worker's lease, and may carry commands.
std::string heartbeat_response(FencingToken fencing_token, const std::vector<Command>& commands);

// A batch of commands that is sent without waiting for a heartbeat. Only the named incarnation of the
// agent carries it out.
std::string orders(FencingToken fencing_token, AgentIncarnation agent_incarnation,
                   const std::vector<Command>& commands);

// The answer to a heartbeat that reached a controller which does not own the machine. `owner`: the
// member that does, if it is known.
std::string redirect(const std::optional<MemberId>& owner);

}  // namespace saddleslip::protocol
