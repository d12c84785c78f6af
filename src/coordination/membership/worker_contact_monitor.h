// Whether this controller receives the heartbeats of the machines that it owns.
//
// A controller that has lost the network to the workers, while it still reaches the state service
// and its peers, receives no heartbeats from any of its machines. Machines that try one unreachable
// controller after another reach a working one only when most of their lease has run out. The
// controller therefore reports to its peers that it has lost contact, so that its machines are
// moved earlier.
//
// Holds state only; calls take the time as an argument. Not safe for use from several threads at
// once.
#pragma once

#include <cstddef>
#include <optional>

#include "coordination/membership/pause_detector.h"
#include "protocol/records.h"

namespace saddleslip::coordination {

// How many machines this controller owns, and how many of them have an overdue heartbeat.
struct OverdueCounts {
  std::size_t owned = 0;
  std::size_t overdue = 0;
};

// Judges the contact with workers by the share of owned machines whose heartbeats are overdue.
class WorkerContactMonitor {
 public:
  // The detector must outlive this object.
  explicit WorkerContactMonitor(const PauseDetector& pauses) : pauses_(pauses) {}

  // Records whether this process has authority; must be called in each round. Without authority it
  // turns machines away, so that its contact cannot be judged.
  void update_authority(bool has_authority, base::Time now);
  // Records the counts of a round; must be called in each round with authority.
  void update_counts(const OverdueCounts& counts, base::Time now);

  // Returns since when this process could receive heartbeats. While it had no authority or was
  // paused, machines tried other controllers, so their missing heartbeats before that time do not
  // count.
  base::Time listening_since() const;
  // Returns the contact to report to peers, for the counts at this time.
  protocol::WorkerContact contact(const OverdueCounts& counts, bool has_authority,
                                  base::Time now) const;

 private:
  const PauseDetector& pauses_;
  std::optional<base::Time> authority_since_;
  std::optional<base::Time> lost_since_;  // since when most heartbeats are overdue
};

}  // namespace saddleslip::coordination
