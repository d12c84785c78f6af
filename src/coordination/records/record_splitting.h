// Splitting of task records that are larger than a value of the store may be.
//
// Limits of the store may fall while jobs run that were accepted under larger ones. The tasks of such
// a job are then recorded in pieces, which its job record names.
#pragma once

#include <optional>

#include "base/settings.h"
#include "protocol/records.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Does one record of the job's tasks hold more of them than fit into a value of the store?
bool needs_splitting(const storage::Job& job, const base::Settings& settings);

// The transaction that splits the task records of the first job that needs it and whose home is
// `self`; none if there is no such job, or while some controller can't read pieces yet. It holds only
// under the view of version `view`. Requires: the state cache has a view.
std::optional<protocol::Transaction> split_one_record(const storage::StateCache& cache,
                                                      const protocol::ControllerIncarnation& self,
                                                      protocol::Version view,
                                                      const base::Settings& settings);

}  // namespace saddleslip::coordination
