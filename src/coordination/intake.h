// Submissions and cancellations: what is refused, and what is committed before a user is answered.
#pragma once

#include <optional>
#include <string>

#include "bookkeeping/ledger.h"

namespace saddleslip::coordination {

// The reason for a 422: the job can never run.
std::optional<std::string> never_runs(const protocol::JobSpec& spec, const base::Settings& settings,
                                      const std::vector<protocol::MachineType>& catalogue);

// `parts`: among how many controllers the machines are parted.
protocol::Transaction acceptance(const protocol::JobSpec& spec, double wall_now, std::size_t parts);
protocol::Transaction cancellation(const protocol::JobRecord& job, base::Version version);

// Adds what moves a job that is over out of the way.
void add_finish(protocol::Transaction& txn, const bookkeeping::Job& job, std::size_t txn_ops);
// A job that is over, moved out of the way: its record becomes small and final. None if it isn't.
std::optional<protocol::Transaction> finish(const bookkeeping::Job& job, std::size_t txn_ops);

}  // namespace saddleslip::coordination
