// Splitting of task records that exceed the state service's limit on the size of a value.
//
// The limit may be lowered while jobs run that were accepted under a larger one. The tasks of such
// a job are then recorded in smaller pieces, whose size is stored in the job's record.
#pragma once

#include <optional>

#include "base/settings.h"
#include "protocol/records.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Returns whether a task record of the job covers more tasks than fit into one value of the state
// service.
bool needs_splitting(const storage::Job& job, const base::Settings& settings);

// Returns the transaction that splits the task records of the first job that needs it and whose
// home controller is `self`. Returns nothing if there is no such job, or while some controller
// cannot read pieces yet. The transaction has the view's version as a precondition. Requires a view
// in the state cache.
std::optional<protocol::Transaction> split_one_record(const storage::StateCache& cache,
                                                      const protocol::ControllerIncarnation& self,
                                                      protocol::Version view,
                                                      const base::Settings& settings);

}  // namespace saddleslip::coordination
