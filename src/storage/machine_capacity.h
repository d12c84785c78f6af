// What a machine can still take, and which of its attempts are over.
#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "protocol/messages.h"

namespace saddleslip::storage {

// Follows from a machine's last heartbeat and from the records of its assignments. Computed once while
// neither of them changes: the first members say for which state it holds.
struct MachineCapacity {
  bool known = false;         // false: not computed yet, or the machine's type is not known
  std::uint64_t stamp = 0;    // of the machine's assignments
  std::uint64_t checked = 0;  // the cache's last stamp of any machine when `stamp` was compared
  base::AgentIncarnation agent_incarnation;
  base::Sequence sequence;
  std::size_t evicted = 0;

  std::uint32_t assigned = 0;  // tasks that are on record as assigned to it
  protocol::Resources free;
  protocol::Resources preemptible;  // taken by tasks that more urgent work may stop
  bool active = false;              // it reports an attempt that is not over
  bool stops = false;               // an attempt on it is to be stopped
  struct EndedAttempt {
    base::TaskId task;
    const char* why;
    bool done;
  };
  std::vector<EndedAttempt> ended_attempts;  // on record, and over as far as the machine says
};

}  // namespace saddleslip::storage
