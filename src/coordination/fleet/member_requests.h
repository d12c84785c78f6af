// Requests of the leader to other members to cordon or drain machines, kept until the next status
// report of the member.
//
// Holds state only. Not thread-safe.
#pragma once

#include <map>
#include <set>

#include "coordination/fleet/fleet_status.h"

namespace saddleslip::coordination {

// The requests to each member that have not been sent yet.
class MemberRequests {
 public:
  // Adds a request to the owner to cordon the machine.
  void add_cordon(const base::MemberId& owner, const base::MachineId& machine) {
    cordon_[owner].insert(machine);
  }
  // Adds a request to the owner to drain the machine.
  void add_drain(const base::MemberId& owner, const base::MachineId& machine) {
    drain_[owner].insert(machine);
  }
  // Returns the requests to this member and removes them, so that each is sent once.
  MachineRequests take(const base::MemberId& owner);

 private:
  std::map<base::MemberId, std::set<base::MachineId>> cordon_;
  std::map<base::MemberId, std::set<base::MachineId>> drain_;
};

}  // namespace saddleslip::coordination
