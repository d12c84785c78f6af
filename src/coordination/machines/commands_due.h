// Derives the commands that make the attempts on a machine match its recorded assignments.
#pragma once

#include <vector>

#include "protocol/messages.h"
#include "storage/machine.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Returns kill commands for the attempts that the machine reports but must not run. An evicted task
// that writes checkpoints is given time to save one.
std::vector<protocol::Command> kills_due(const storage::Machine& machine,
                                         const storage::StateCache& cache);

// Returns all commands for the response to the machine's last heartbeat: kills, removals of ended
// attempts, and starts of assigned attempts that the machine has not reported. `has_kills`: whether
// kills_due() returns any, which the caller has cached in the machine's capacity.
std::vector<protocol::Command> commands_due(const storage::Machine& machine, bool has_kills,
                                            const storage::StateCache& cache);

}  // namespace saddleslip::coordination
