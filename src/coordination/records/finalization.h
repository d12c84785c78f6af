// Finalization: replaces the record of a finished job with a small final state (a tombstone).
//
// Free functions over the state cache. They return the transaction to commit and change no state.
#pragma once

#include <cstddef>
#include <optional>

#include "base/settings.h"
#include "protocol/records.h"
#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Returns whether the job is done or cancelled and none of its tasks is assigned to a machine.
bool may_finalize(const storage::Job& job);

// Adds the writes and preconditions that replace the job's record with its final state.
// `time_of_day`, in seconds since the epoch, is recorded as the end time of the job.
void add_finalization(protocol::Transaction& transaction, const storage::Job& job,
                      double time_of_day);

// Adds preconditions that the job's task records are unchanged since the state cache read them, up
// to the number of preconditions allowed in a transaction of `max_transaction_writes` writes.
void guard_task_records(protocol::Transaction& transaction, const storage::Job& job,
                        std::size_t max_transaction_writes);

// Returns the transaction that finalizes the first finished job whose home controller is `self`, or
// nothing if there is no such job or no view.
std::optional<protocol::Transaction> finalize_one_job(const storage::StateCache& cache,
                                                      const protocol::ControllerIncarnation& self,
                                                      const base::Settings& settings,
                                                      double time_of_day);

}  // namespace saddleslip::coordination
