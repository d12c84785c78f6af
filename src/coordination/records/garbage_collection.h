// Garbage collection: removes records that belonged to jobs which are over.
#pragma once

#include <optional>

#include "base/settings.h"
#include "protocol/records.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// The transaction that removes orphaned records whose home is `self`, as many as one transaction may
// write; none if there are no such records, or no view.
std::optional<protocol::Transaction> collect_garbage(const storage::StateCache& cache,
                                                     const protocol::ControllerIncarnation& self,
                                                     const base::Settings& settings);

}  // namespace saddleslip::coordination
