// Numbers the changes to this controller's machines, and records which of them each peer has
// acknowledged.
//
// Every change of a machine's status, and every machine that leaves, gets the next revision. A peer
// is sent only the changes after the revision that it has acknowledged. Sending the full status of
// hundreds of machines each time took more processor time than all other work of a controller
// together.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/settings.h"

namespace saddleslip::coordination {

// Holds the current revision, the machines that left, and the peers' acknowledged revisions. Not
// safe for use from several threads at once.
class StatusRevisions {
 public:
  // Returns the revision of the latest change.
  std::uint64_t current() const { return current_; }
  // Starts a new revision for a change of a machine's status, and returns it.
  std::uint64_t advance() { return ++current_; }

  // Records that the machine no longer belongs to this controller.
  void record_departure(const base::MachineId& machine) {
    departure_revisions_[machine] = advance();
  }
  // Records that the machine belongs to this controller, possibly again.
  void record_arrival(const base::MachineId& machine) { departure_revisions_.erase(machine); }
  // Returns the machines that left after this revision. None for revision 0, since a full status
  // lists no machines that left.
  std::vector<base::MachineId> departed_since(std::uint64_t revision) const;

  // Records that the peer has applied the changes up to this revision; 0 requests a full status.
  void acknowledge(const base::MemberId& peer, std::uint64_t revision) {
    acknowledged_[peer] = revision;
  }
  // Returns the revision that the peer has acknowledged; 0 if it must be sent the full status.
  std::uint64_t acknowledged(const base::MemberId& peer) const;
  // Removes the machines that left before or at the lowest revision acknowledged by these peers.
  // Peers that need a full status do not count.
  void prune_departed(const std::vector<base::Peer>& peers);

 private:
  std::uint64_t current_ = 0;
  std::map<base::MachineId, std::uint64_t>
      departure_revisions_;  // the revisions at which machines left
  std::map<base::MemberId, std::uint64_t> acknowledged_;
};

}  // namespace saddleslip::coordination
