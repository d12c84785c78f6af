// Notices that this process was stopped for a while (suspended, swapped out, or starved of processor
// time) while its clock ran on.
#pragma once

#include "base/clock.h"

namespace saddleslip::coordination {

// Holds state only; not safe for use from several threads at once.
class PauseDetector {
 public:
  // To be called several times a second by whatever this process does regularly: heartbeats, rounds
  // and statuses to peers. A longer gap between two calls is a pause.
  void record_running(base::Time now);
  // When the latest pause ended; the epoch of the clock if there was none.
  base::Time resumed_at() const { return resumed_at_; }

 private:
  base::Time last_running_at_{};
  base::Time resumed_at_{};
};

}  // namespace saddleslip::coordination
