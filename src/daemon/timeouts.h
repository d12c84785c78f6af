// Timeouts that several of the daemon's classes share.
#pragma once

#include "base/clock.h"

namespace saddleslip {

// Reads that a user's request waits for: users wait two seconds for a status.
inline constexpr base::Seconds kUserReadTimeout{1.2};
inline constexpr base::Seconds kCommitTimeout{1.5};
// Before a call that failed is made again.
inline constexpr base::Seconds kRetryDelay{0.2};

}  // namespace saddleslip
