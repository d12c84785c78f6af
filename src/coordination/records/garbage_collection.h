// Garbage collection: removes the remaining records of finished jobs from the state service.
#pragma once

#include <optional>

#include "base/settings.h"
#include "protocol/records.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Returns the transaction that removes orphaned records whose home controller is `self`, up to the
// number of writes that one transaction may hold. Returns nothing if there are no such records or
// no view.
std::optional<protocol::Transaction> collect_garbage(const storage::StateCache& cache,
                                                     const protocol::ControllerIncarnation& self,
                                                     const base::Settings& settings);

}  // namespace saddleslip::coordination
