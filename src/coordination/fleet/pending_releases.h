// Machines that the leader itself found to be of no use, until the cloud has
// released them: machines that failed, that never came up, or that are listed
// by the cloud and report to no member.
//
// Holds state only; takes the time as an argument. Not safe for use from
// several threads at once.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "coordination/fleet/fleet_status.h"

namespace saddleslip::coordination {

class PendingReleases {
 public:
  // Forgets everything, as at the start of a leader's term.
  void clear();

  void add(const base::MachineId& machine) { machines_.insert(machine); }
  // The cloud has released it.
  void remove(const base::MachineId& machine) { machines_.erase(machine); }

  // A machine of the cloud's list reports to a member, or to none. One that
  // reports to none since before `limit`, while the owners stayed the same, is
  // added.
  void record_reporting(const base::MachineId& machine) { unheard_since_.erase(machine); }
  void record_unheard(const base::MachineId& machine, const FleetStatus& fleet,
                      base::Seconds limit);
  // Forgets since when machines are unheard that the cloud no longer lists.
  void forget_unlisted(const std::set<base::MachineId>& listed);

  // The machines to be released now: these and what the owners ask for, without
  // those that were released already or are alive for another member than their
  // owner.
  std::vector<base::MachineId> due(const ReleaseRequests& requests, const FleetStatus& fleet) const;

 private:
  std::set<base::MachineId> machines_;
  std::map<base::MachineId, base::Time> unheard_since_;
};

}  // namespace saddleslip::coordination
