// The messages from controllers to the agents on machines: commands, and responses to heartbeats.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// A command to an agent, about one attempt of a task.
struct Command {
  enum class Op {
    kRun,     // start the attempt
    kKill,    // stop the attempt, which has the grace period to save its state
    kForget,  // stop reporting the attempt: it has ended and its result is committed
  } op = Op::kRun;
  TaskId task;
  Attempt attempt;
  Seconds grace{0};  // for kKill: the time that the attempt has to save its state
};

// Encodes the owner's response to a heartbeat, which renews the worker's lease and may carry
// commands.
std::string encode_heartbeat_response(FencingToken fencing_token,
                                      const std::vector<Command>& commands);

// Encodes a batch of commands that is sent without waiting for a heartbeat. The agent executes it
// only if its incarnation is `agent_incarnation`.
std::string encode_command_batch(FencingToken fencing_token, AgentIncarnation agent_incarnation,
                                 const std::vector<Command>& commands);

// Encodes the response to a heartbeat of a machine that this controller does not own. `owner` is
// the member that owns the machine, if known.
std::string encode_redirect(const std::optional<MemberId>& owner);

}  // namespace saddleslip::protocol
