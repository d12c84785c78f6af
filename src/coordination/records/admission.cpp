#include "coordination/records/admission.h"

#include <algorithm>

#include "coordination/fleet/scaling_plan.h"

namespace saddleslip::coordination {

using base::JobId;
using base::TaskNumber;
using protocol::Kind;
using protocol::Transaction;

namespace {

// A transaction holds up to 64 KiB and one list up to 16 KiB.
constexpr std::size_t kMaxListsPerTransaction = 3;

}  // namespace

std::optional<std::string> rejection_reason(const protocol::JobSpec& spec,
                                            const base::Settings& settings,
                                            const std::vector<protocol::MachineType>& catalogue) {
  const auto team_entry = settings.teams.find(spec.team);
  if (team_entry == settings.teams.end()) return "unknown team " + spec.team;
  const bool fits = std::any_of(catalogue.begin(), catalogue.end(), [&](const auto& machine_type) {
    if (!machine_type.size.fits(spec.request)) return false;
    if (spec.types &&
        std::find(spec.types->begin(), spec.types->end(), machine_type.name) == spec.types->end()) {
      return false;
    }
    return !spec.zone || std::find(machine_type.zones.begin(), machine_type.zones.end(),
                                   *spec.zone) != machine_type.zones.end();
  });
  if (!fits) return std::string("a task fits no machine type that the job allows");
  const double concurrent_tasks = spec.kind == Kind::kArray ? 1 : spec.tasks;
  const base::Team& limit = team_entry->second;
  if ((limit.max_cores > 0 && spec.request.cores() * concurrent_tasks > limit.max_cores + 1e-6) ||
      (limit.max_gpus > 0 && spec.request.gpus() * concurrent_tasks > limit.max_gpus + 1e-6)) {
    return "the job needs more than the limit of team " + spec.team;
  }
  return {};
}

protocol::JobRecord new_job_record(const protocol::JobSpec& spec,
                                   const AcceptanceContext& context) {
  protocol::JobRecord record;
  record.spec = spec;
  record.submitted_at = context.time_of_day;
  record.cancelled = context.dependency_cancelled;
  record.chunk_size = protocol::chunk_size(spec.tasks, context.partitions, context.value_bytes);
  // A later cancellation makes the record larger, so its size is checked with the flag set.
  protocol::JobRecord largest = record;
  largest.cancelled = true;
  if (!spec.dependencies.empty() && to_json(largest).dump().size() > context.value_bytes)
    record.dependency_lists = protocol::name_dependency_lists(
        protocol::split_dependencies(spec.dependencies, context.value_bytes));
  return record;
}

Transaction acceptance_transaction(const protocol::JobRecord& record, base::Version lists) {
  const JobId& id = record.spec.id;
  Transaction transaction;
  // The job must have neither a live record nor a final state. The preconditions make a retried
  // submission idempotent even if another controller handles the retry.
  transaction.preconditions[protocol::job_key(id)] = base::Version(0);
  transaction.preconditions[protocol::tombstone_key(id)] = base::Version(0);
  if (record.dependency_lists)
    transaction.preconditions[protocol::dependency_lists_key(id)] = lists;
  transaction.writes.push_back({protocol::job_key(id), to_json(record), {}});
  return transaction;
}

std::vector<Transaction> dependency_list_writes(const protocol::JobRecord& record,
                                                base::Version lists,
                                                const base::Settings& settings) {
  std::vector<Transaction> transactions;
  const JobId& id = record.spec.id;
  const std::size_t lists_per_transaction =
      std::min<std::size_t>(settings.max_transaction_writes, kMaxListsPerTransaction);
  const std::vector<protocol::Json> values =
      protocol::split_dependencies(record.spec.dependencies, settings.value_bytes);
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (i % lists_per_transaction == 0) {
      transactions.emplace_back();
      transactions.back().preconditions[protocol::dependency_lists_key(id)] = lists;
    }
    transactions.back().writes.push_back(
        {protocol::dependency_list_key(id, record.dependency_lists->set, i), values[i], {}});
  }
  return transactions;
}

Transaction cancellation_transaction(const protocol::JobRecord& job, base::Version version) {
  protocol::JobRecord cancelled_record = job;
  cancelled_record.cancelled = true;
  Transaction transaction;
  // Task starts have the same version as a precondition, so no start can be committed after this.
  transaction.preconditions[protocol::job_key(job.spec.id)] = version;
  transaction.writes.push_back({protocol::job_key(job.spec.id), to_json(cancelled_record), {}});
  return transaction;
}

}  // namespace saddleslip::coordination
