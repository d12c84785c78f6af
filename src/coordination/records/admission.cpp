#include "coordination/records/admission.h"

#include <algorithm>

#include "coordination/fleet/scaling_plan.h"

namespace saddleslip::coordination {

using base::JobId;
using base::TaskNo;
using protocol::Kind;
using protocol::Transaction;

namespace {

constexpr std::size_t kMostListsAtOnce =
    3;  // a transaction holds 64 KiB in all, a list up to 16 KiB

}  // namespace

std::optional<std::string> never_runs(const protocol::JobSpec& spec, const base::Settings& settings,
                                      const std::vector<protocol::MachineType>& catalogue) {
  const auto team = settings.teams.find(spec.team);
  if (team == settings.teams.end()) return "unknown team " + spec.team;
  const bool fits = std::any_of(catalogue.begin(), catalogue.end(), [&](const auto& t) {
    if (!t.size.fits(spec.request)) return false;
    if (spec.types &&
        std::find(spec.types->begin(), spec.types->end(), t.name) == spec.types->end()) {
      return false;
    }
    return !spec.zone || std::find(t.zones.begin(), t.zones.end(), *spec.zone) != t.zones.end();
  });
  if (!fits) return std::string("a task fits no machine type that the job allows");
  const double n = spec.kind == Kind::kArray ? 1 : spec.tasks;
  const base::Team& limit = team->second;
  if ((limit.max_cores > 0 && spec.request.cores() * n > limit.max_cores + 1e-6) ||
      (limit.max_gpus > 0 && spec.request.gpus() * n > limit.max_gpus + 1e-6)) {
    return "the job needs more than the limit of team " + spec.team;
  }
  return {};
}

protocol::JobRecord accepted_record(const protocol::JobSpec& spec,
                                    const AcceptanceContext& context) {
  protocol::JobRecord record;
  record.spec = spec;
  record.submitted = context.time_of_day;
  record.cancelled = context.dependency_cancelled;
  record.chunk = protocol::chunk_size(spec.tasks, context.partitions, context.value_bytes);
  // A cancellation is written into the record later.
  protocol::JobRecord largest = record;
  largest.cancelled = true;
  if (!spec.dependencies.empty() && to_json(largest).dump().size() > context.value_bytes)
    record.dependency_lists = protocol::name_dependency_lists(
        protocol::split_dependencies(spec.dependencies, context.value_bytes));
  return record;
}

Transaction acceptance(const protocol::JobRecord& record, base::Version lists) {
  const JobId& id = record.spec.id;
  Transaction txn;
  // Neither live nor over: an id is accepted once, whichever nodes its retries reach.
  txn.preconditions[protocol::job_key(id)] = base::Version(0);
  txn.preconditions[protocol::final_key(id)] = base::Version(0);
  if (record.dependency_lists) txn.preconditions[protocol::dependency_lists_key(id)] = lists;
  txn.writes.push_back({protocol::job_key(id), to_json(record), {}});
  return txn;
}

std::vector<Transaction> dependency_list_writes(const protocol::JobRecord& record,
                                                base::Version lists,
                                                const base::Settings& settings) {
  std::vector<Transaction> out;
  const JobId& id = record.spec.id;
  const std::size_t most = std::min<std::size_t>(settings.txn_ops, kMostListsAtOnce);
  const std::vector<protocol::Json> values =
      protocol::split_dependencies(record.spec.dependencies, settings.value_bytes);
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (i % most == 0) {
      out.emplace_back();
      out.back().preconditions[protocol::dependency_lists_key(id)] = lists;
    }
    out.back().writes.push_back(
        {protocol::dependency_list_key(id, record.dependency_lists->set, i), values[i], {}});
  }
  return out;
}

Transaction cancellation(const protocol::JobRecord& job, base::Version version) {
  protocol::JobRecord next = job;
  next.cancelled = true;
  Transaction txn;
  // The version is the one that starts guard: none can be recorded after this.
  txn.preconditions[protocol::job_key(job.spec.id)] = version;
  txn.writes.push_back({protocol::job_key(job.spec.id), to_json(next), {}});
  return txn;
}

}  // namespace saddleslip::coordination
