// The commands that bring what a machine runs in line with the records of its assignments.
#pragma once

#include <vector>

#include "protocol/messages.h"
#include "storage/machine.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Kills for the attempts that the machine reports and is not to run. A task that was evicted is given
// the time to save its checkpoint.
std::vector<protocol::Command> kills_due(const storage::Machine& machine,
                                         const storage::StateCache& cache);

// All commands for the response to the machine's last heartbeat: kills, attempts to forget, and starts
// that it has not heard of. `has_kills`: whether kills_due() names any, as the machine's capacity says.
std::vector<protocol::Command> commands_due(const storage::Machine& machine, bool has_kills,
                                            const storage::StateCache& cache);

}  // namespace saddleslip::coordination
