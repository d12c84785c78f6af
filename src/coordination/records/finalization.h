// Finalization: the record of a job that is over gives way to a small final state (a tombstone).
//
// Free functions over the state cache; they return the transaction to commit and change nothing.
#pragma once

#include <cstddef>
#include <optional>

#include "base/settings.h"
#include "protocol/records.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Is the job done or cancelled, with none of its tasks assigned to a machine any more?
bool may_finalize(const storage::Job& job);

// Adds to `txn` the writes and preconditions that replace the job's record by its final state.
// `time_of_day` is in seconds since the epoch and becomes the time at which the job ended.
void add_finalization(protocol::Transaction& txn, const storage::Job& job, double time_of_day);

// Adds preconditions that the records of the job's tasks are as the state cache has them, up to the
// number of preconditions that a transaction of `txn_ops` writes may hold.
void guard_task_records(protocol::Transaction& txn, const storage::Job& job, std::size_t txn_ops);

// The transaction that finalizes the first job which is over and whose home is `self`; none if there
// is no such job, or no view.
std::optional<protocol::Transaction> finalize_one_job(const storage::StateCache& cache,
                                                      const protocol::ControllerIncarnation& self,
                                                      const base::Settings& settings,
                                                      double time_of_day);

}  // namespace saddleslip::coordination
