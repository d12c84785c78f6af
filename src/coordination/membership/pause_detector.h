// Detects that this process was stopped for a while (suspended, swapped out, or starved of
// processor time) while its clock went on.
#pragma once

#include "base/clock.h"

namespace saddleslip::coordination {

// Detects gaps between recorded activities. Holds state only; not safe for use from several threads
// at once.
class PauseDetector {
 public:
  // Must be called several times a second by the regular activities of this process: heartbeats,
  // rounds and status messages to peers. A gap of a few seconds between two calls counts as a
  // pause.
  void record_activity(base::Time now);
  // Returns when the latest pause ended; the epoch of the clock if there was none.
  base::Time resumed_at() const { return resumed_at_; }

 private:
  base::Time last_activity_at_{};
  base::Time resumed_at_{};
};

}  // namespace saddleslip::coordination
