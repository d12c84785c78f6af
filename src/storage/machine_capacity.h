// The free capacity of a machine, and the attempts on it that have ended.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "protocol/messages.h"

namespace saddleslip::storage {

// The free capacity of a machine and its ended attempts, computed from the machine's last heartbeat
// and from the records of its assignments, and reused while neither changes. The first members
// identify the state that it was computed for.
struct MachineCapacity {
  bool known = false;       // false if not computed yet or if the machine's type is unknown
  std::uint64_t stamp = 0;  // stamp of the machine's assignments
  std::uint64_t last_stamp_checked = 0;  // the cache's last stamp when `stamp` was last compared
  base::AgentIncarnation agent_incarnation;
  base::Sequence sequence;
  std::size_t evicted = 0;  // number of tasks to evict from the machine

  std::uint32_t assigned = 0;  // number of tasks recorded as assigned to it
  protocol::Resources free;
  protocol::Resources preemptible;  // in use by tasks that may be preempted
  bool active = false;              // whether it reports an attempt that has not ended
  bool has_kills_due = false;       // whether an attempt on it is to be stopped
  // An attempt that is still recorded as assigned but that has ended or never started.
  struct EndedAttempt {
    base::TaskId task;
    const char* reason;
    bool done;
  };
  // Attempts whose end is not recorded in the state service yet.
  std::vector<EndedAttempt> ended_attempts;
};

}  // namespace saddleslip::storage
