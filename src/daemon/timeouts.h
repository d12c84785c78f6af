// Timeouts shared by several classes of the daemon.
#pragma once

#include "base/clock.h"

namespace saddleslip {

// Timeout of reads that a user's request waits for. Users wait at most two seconds for a status.
inline constexpr base::Seconds kUserReadTimeout{1.2};
// Timeout of a commit to the state service.
inline constexpr base::Seconds kCommitTimeout{1.5};
// Delay before a failed call is retried.
inline constexpr base::Seconds kRetryDelay{0.2};

}  // namespace saddleslip
