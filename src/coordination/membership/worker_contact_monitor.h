// Whether this controller receives the heartbeats of the machines that it owns.
//
// A controller that has lost the network to the workers, while it still reaches the state service and
// its peers, sees all its machines fall silent. Machines that try one unreachable controller after the
// other reach a live one only when most of their lease is over, so the controller has to tell its
// peers by itself that it has lost contact.
//
// Holds state only; takes the time as an argument. Not safe for use from several threads at once.
#pragma once

#include <cstddef>
#include <optional>

#include "coordination/membership/pause_detector.h"
#include "protocol/records.h"

namespace saddleslip::coordination {

// The machines that this controller owns, and those of them whose heartbeat is overdue.
struct MachineCensus {
  std::size_t owned = 0;
  std::size_t overdue = 0;
};

class WorkerContactMonitor {
 public:
  // The detector must outlive this object.
  explicit WorkerContactMonitor(const PauseDetector& pauses) : pauses_(pauses) {}

  // To be called in each round: does this process have authority? Without it, it turns machines away
  // and can't judge its contact.
  void update_authority(bool has_authority, base::Time now);
  // To be called in each round with authority.
  void update_census(const MachineCensus& census, base::Time now);

  // Since when this process could receive heartbeats: while it had no authority or was paused, machines
  // went from one controller to the next, which says nothing against them.
  base::Time listening_since() const;
  // What peers are to be told, for a census as of now.
  protocol::WorkerContact contact(const MachineCensus& census, bool has_authority,
                                  base::Time now) const;

 private:
  const PauseDetector& pauses_;
  std::optional<base::Time> authority_since_;
  std::optional<base::Time> lost_since_;  // while hardly any machine is heard
};

}  // namespace saddleslip::coordination
