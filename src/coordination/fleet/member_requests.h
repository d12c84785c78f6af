// Requests of the leader to other members, kept until they next tell their
// status: machines that they are to cordon or to drain.
//
// Holds state only. Not safe for use from several threads at once.
#pragma once

#include <map>
#include <set>

#include "coordination/fleet/fleet_status.h"

namespace saddleslip::coordination {

class MemberRequests {
 public:
  void add_cordon(const base::MemberId& owner, const base::MachineId& machine) {
    cordon_[owner].insert(machine);
  }
  void add_drain(const base::MemberId& owner, const base::MachineId& machine) {
    drain_[owner].insert(machine);
  }
  // What is asked of this member; it is asked for once.
  MachineRequests take(const base::MemberId& owner);

 private:
  std::map<base::MemberId, std::set<base::MachineId>> cordon_;
  std::map<base::MemberId, std::set<base::MachineId>> drain_;
};

}  // namespace saddleslip::coordination
