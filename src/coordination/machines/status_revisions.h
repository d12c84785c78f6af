// Which changes of this controller's machines each peer has acknowledged.
//
// Every change of a machine's status, and every machine that leaves, gets the next revision. A peer is
// sent what came after the revision that it has acknowledged: sent in full each time, the status of
// hundreds of machines cost more processor time than all else that a controller does.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/settings.h"

namespace saddleslip::coordination {

// Holds state only; not safe for use from several threads at once.
class StatusRevisions {
 public:
  std::uint64_t current() const { return current_; }
  // The status of a machine has changed: returns the revision of the change.
  std::uint64_t advance() { return ++current_; }

  // The machine is no longer one of this controller's.
  void machine_left(const base::MachineId& machine) { left_[machine] = advance(); }
  // The machine is one of this controller's again.
  void machine_joined(const base::MachineId& machine) { left_.erase(machine); }
  // The machines that left after that revision; none after 0, since a full status names none.
  std::vector<base::MachineId> left_since(std::uint64_t revision) const;

  // The peer has taken in all up to that revision; 0: it asks for the full status.
  void acknowledge(const base::MemberId& peer, std::uint64_t revision) {
    acknowledged_[peer] = revision;
  }
  // 0: the peer is to be sent the full status.
  std::uint64_t acknowledged(const base::MemberId& peer) const;
  // Forgets the machines that every one of these peers knows to have left.
  void forget_acknowledged(const std::vector<base::Peer>& peers);

 private:
  std::uint64_t current_ = 0;
  std::map<base::MachineId, std::uint64_t> left_;  // at which revision
  std::map<base::MemberId, std::uint64_t> acknowledged_;
};

}  // namespace saddleslip::coordination
