// Exponential backoff for kinds of machines that the cloud has no capacity for.
//
// Holds state only; takes the time as an argument. Not thread-safe.
#pragma once

#include <map>

#include "base/clock.h"
#include "coordination/fleet/scaling_plan.h"

namespace saddleslip::coordination {

// Keeps, for each kind of machine, when it may be requested again.
class CapacityBackoff {
 public:
  // Records that the cloud had fewer machines of this kind than were requested. The delay until the
  // next request doubles with each consecutive refusal, up to a limit.
  void record_refusal(const MachineKind& kind, base::Time now);
  // Records that machines of this kind were rented, which resets the backoff to its shortest delay.
  void record_success(const MachineKind& kind) { consecutive_refusals_.erase(kind); }

  // Returns, by kind, the time before which no machine of that kind is requested.
  const std::map<MachineKind, base::Time>& retry_at() const { return retry_at_; }

 private:
  std::map<MachineKind, base::Time> retry_at_;
  std::map<MachineKind, int> consecutive_refusals_;  // since the last success
};

}  // namespace saddleslip::coordination
