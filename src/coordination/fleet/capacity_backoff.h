// Backoff after the cloud had no capacity for a kind of machine.
//
// Holds state only; takes the time as an argument. Not safe for use from
// several threads at once.
#pragma once

#include <map>

#include "base/clock.h"
#include "coordination/fleet/scaling_plan.h"

namespace saddleslip::coordination {

class CapacityBackoff {
 public:
  // The cloud had fewer machines of this kind than were asked for. The time
  // until the next try doubles with each such answer in a row, up to a bound.
  void record_refusal(const MachineKind& kind, base::Time now);
  // Machines of this kind were rented: the next backoff is short again.
  void record_success(const MachineKind& kind) { refusals_.erase(kind); }

  // Kinds that are not to be asked for before these times.
  const std::map<MachineKind, base::Time>& retry_at() const { return retry_at_; }

 private:
  std::map<MachineKind, base::Time> retry_at_;
  std::map<MachineKind, int> refusals_;  // in a row
};

}  // namespace saddleslip::coordination
