// Machines that the leader has decided to release and that the cloud has not released yet: machines
// that failed, that never came up, or that the cloud lists although they report to no member.
//
// Holds state only; takes the time as an argument. Not thread-safe.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "coordination/fleet/fleet_status.h"

namespace saddleslip::coordination {

// Collects the machines to release, and tracks listed machines that report to no member.
class PendingReleases {
 public:
  // Removes all entries, at the start of a leader's term.
  void clear();

  // Adds a machine that is to be released.
  void add(const base::MachineId& machine) { machines_.insert(machine); }
  // Removes a machine that the cloud has released.
  void remove(const base::MachineId& machine) { machines_.erase(machine); }

  // Records that a machine of the cloud's list reports to a member.
  void record_reporting(const base::MachineId& machine) { unreported_since_.erase(machine); }
  // Records that a machine of the cloud's list reports to no member. The machine is added once this
  // has been so for `limit` without a change of owners.
  void record_unreported(const base::MachineId& machine, const FleetStatus& fleet,
                         base::Seconds limit);
  // Removes the tracking of machines that the cloud no longer lists.
  void forget_unlisted(const std::set<base::MachineId>& listed);

  // Returns the machines to release now: those collected here and those that owners request,
  // without machines that are already released or that are alive because they report to a member
  // other than their owner.
  std::vector<base::MachineId> machines_to_release(const ReleaseRequests& requests,
                                                   const FleetStatus& fleet) const;

 private:
  std::set<base::MachineId> machines_;
  std::map<base::MachineId, base::Time> unreported_since_;
};

}  // namespace saddleslip::coordination
