#include "api/user_api.h"

#include <algorithm>

#include "base/log.h"
#include "coordination/records/admission.h"
#include "protocol/store_keys.h"

namespace saddleslip {

using base::JobId;
using base::Time;
using base::Version;
using coordination::Controller;
using protocol::JobStatus;
using protocol::Json;
using protocol::Transaction;
using transport::Reply;
using Outcome = protocol::StateClient::Outcome;

namespace {

constexpr const char* kStateSilent = "the state service does not answer";
constexpr int kRetryAfterSeconds = 1;
// Final states read from the store for one submission at most; the rest is read when it is repeated.
constexpr std::size_t kMaxDependenciesRead = 64;
// Tries to commit a cancellation before the user is asked to repeat it.
constexpr int kMaxCancelTries = 3;

Reply error(int status, const std::string& reason) {
  return {status, protocol::error_body(reason), 0};
}

Reply try_later(const std::string& reason) {
  return {protocol::kHttpUnavailable, protocol::error_body(reason), kRetryAfterSeconds};
}

Reply no_such_job() {
  return error(protocol::kHttpNotFound, "no such job");
}

}  // namespace

// --- lookups

Reply UserApi::state_reply(const JobId& id, const JobState& state) {
  return {protocol::kHttpOk, protocol::user_status(id, state.status, state.done, state.running), 0};
}

std::optional<protocol::FinalState> UserApi::cached_final(const JobId& id) {
  return locked([&](Controller& c) { return c.cache().final_state(id); });
}

std::optional<UserApi::JobState> UserApi::cached_state(const JobId& id) {
  return locked([&](Controller& c) -> std::optional<JobState> {
    if (const auto final_state = c.cache().final_state(id)) {
      return JobState{final_state->status, {}, {}};
    }
    const auto* job = c.cache().job(id);
    if (!job) return {};
    if (job->cancelled_on_record()) return JobState{JobStatus::kCancelled, {}, {}};
    const auto status = job->assigned > 0 ? JobStatus::kRunning : JobStatus::kQueued;
    return JobState{status, job->done, job->assigned};
  });
}

UserApi::Acceptance UserApi::read_final(const JobId& id) {
  const auto got = store_.get(protocol::final_key(id));
  if (!got.answered) return Acceptance::kUnknown;
  if (got.item.version.get() == 0) return Acceptance::kNever;
  const auto final_state = protocol::parse_final(got.item.value);
  if (!final_state) return Acceptance::kUnknown;
  locked([&](Controller& c) { c.cache().remember_final(id, *final_state); });
  return Acceptance::kAccepted;
}

bool UserApi::read_unresolved_dependencies(const JobId& id) {
  const auto unresolved =
      locked([&](Controller& c) { return c.cache().unresolved_dependencies(id); });
  return std::all_of(unresolved.begin(), unresolved.end(), [&](const JobId& dependency) {
    return read_final(dependency) != Acceptance::kUnknown;
  });
}

UserApi::LookupResult UserApi::look_up(const JobId& id) {
  if (const auto final_state = cached_final(id)) {
    return {Acceptance::kAccepted, {final_state->status, {}, {}}};
  }
  // Another controller may have told more than this one has heard of: a state that is not final is told
  // only from a cache that was brought up to date after the request came. The record of a live job only
  // ever becomes a final one, so a job that this cache lacks is final, and read from the store, or was
  // never accepted.
  if (!store_.read_barrier()) return {};
  // A job is cancelled with any of its dependencies. Another controller may have told so, and this one
  // must not say "queued" only because it has not read their final states.
  if (!read_unresolved_dependencies(id)) return {};
  if (const auto state = cached_state(id)) return {Acceptance::kAccepted, *state};
  const Acceptance acceptance = read_final(id);
  if (acceptance != Acceptance::kAccepted) return {acceptance, {}};
  if (const auto state = cached_state(id)) return {Acceptance::kAccepted, *state};
  return {};
}

std::optional<Reply> UserApi::reply_if_accepted(const JobId& id) {
  const LookupResult result = look_up(id);
  switch (result.acceptance) {
    case Acceptance::kNever:
      return {};
    case Acceptance::kUnknown:
      return try_later(kStateSilent);
    case Acceptance::kAccepted:
      break;
  }
  return state_reply(id, result.state);
}

// --- dependencies of a submission

std::vector<JobId> UserApi::unknown_dependencies(const protocol::JobSpec& spec) {
  return locked([&](Controller& c) {
    std::vector<JobId> ids;
    for (const JobId& id : spec.dependencies) {
      if (!c.cache().job(id) && !c.cache().final_state(id)) ids.push_back(id);
    }
    return ids;
  });
}

bool UserApi::has_cancelled_dependency(const protocol::JobSpec& spec) {
  return locked([&](Controller& c) {
    return std::any_of(spec.dependencies.begin(), spec.dependencies.end(), [&](const JobId& id) {
      const auto final_state = c.cache().final_state(id);
      if (final_state) return final_state->status == JobStatus::kCancelled;
      const auto* job = c.cache().job(id);
      return job && job->cancelled_on_record();
    });
  });
}

UserApi::DependencyLookup UserApi::look_up_dependencies(const protocol::JobSpec& spec) {
  // Jobs in the cache were accepted; of the others only the store can tell that they never were.
  if (!unknown_dependencies(spec).empty()) {
    if (!store_.read_barrier()) return {Acceptance::kUnknown, {}, false};
    const std::vector<JobId> unknown = unknown_dependencies(spec);
    for (std::size_t i = 0; i < unknown.size(); ++i) {
      if (i == kMaxDependenciesRead) return {Acceptance::kUnknown, {}, false};
      const Acceptance acceptance = read_final(unknown[i]);
      if (acceptance != Acceptance::kAccepted) return {acceptance, unknown[i], false};
    }
  }
  return {Acceptance::kAccepted, {}, has_cancelled_dependency(spec)};
}

// --- submission

UserApi::LocalCheck UserApi::check_locally(const protocol::JobSpec& spec) {
  return locked([&](Controller& c) -> LocalCheck {
    const auto& cache = c.cache();
    LocalCheck check;
    check.is_known = cache.job(spec.id) || cache.final_state(spec.id);
    if (cache.catalogue().empty()) {
      check.refusal = try_later("the machine types are not known yet");
    } else if (const auto reason = coordination::never_runs(spec, settings_, cache.catalogue())) {
      check.refusal = error(protocol::kHttpUnprocessable, *reason);
    }
    return check;
  });
}

Reply UserApi::submit(const std::string& body, Time now) {
  const auto parsed = protocol::parse_submission(body);
  if (const auto* fault = std::get_if<protocol::ParseError>(&parsed)) {
    const Reply refusal = error(protocol::kHttpBadRequest, fault->message());
    // An accepted id stays accepted, whatever a later body holds.
    const auto id = protocol::parse_submission_id(body);
    return id ? reply_if_accepted(*id).value_or(refusal) : refusal;
  }
  const auto& spec = std::get<protocol::JobSpec>(parsed);
  const LocalCheck check = check_locally(spec);
  if (check.is_known || check.refusal) {
    if (auto reply = reply_if_accepted(spec.id)) return *reply;
    if (check.refusal) return *check.refusal;
  }
  const DependencyLookup dependencies = look_up_dependencies(spec);
  if (dependencies.acceptance != Acceptance::kAccepted) {
    const Reply refusal = dependencies.acceptance == Acceptance::kUnknown
                              ? try_later(kStateSilent)
                              : error(protocol::kHttpUnprocessable,
                                      "no such job: " + dependencies.never_accepted.get());
    // An accepted job stays accepted, whatever a repeated submission depends on.
    return reply_if_accepted(spec.id).value_or(refusal);
  }
  return accept(new_record(spec, dependencies.is_cancelled), now);
}

protocol::JobRecord UserApi::new_record(const protocol::JobSpec& spec, bool dependency_cancelled) {
  coordination::AcceptanceContext context;
  context.time_of_day = store_.wall();
  context.partitions = static_cast<std::size_t>(std::max(1, settings_.size));
  context.value_bytes = settings_.value_bytes;
  context.dependency_cancelled = dependency_cancelled;
  return coordination::accepted_record(spec, context);
}

std::optional<Version> UserApi::name_dependency_lists(const protocol::JobRecord& record) const {
  const std::string key = protocol::dependency_lists_key(record.spec.id);
  const auto got = store_.get(key);
  if (!got.answered) return {};
  const Version version = got.item.version;
  const Json value = to_json(*record.dependency_lists);
  if (version.get() != 0 && got.item.value == value) return version;
  Transaction transaction;
  transaction.preconditions[key] = version;
  transaction.writes.push_back({key, value, {}});
  const auto committed = store_.commit(transaction);
  if (committed.outcome != Outcome::kDone) return {};
  // A key's version is the revision of the store that wrote it.
  return Version(committed.revision.get());
}

std::optional<Version> UserApi::write_dependency_lists(const protocol::JobRecord& record) {
  const auto version = name_dependency_lists(record);
  if (!version) return {};
  for (const Transaction& transaction :
       coordination::dependency_list_writes(record, *version, settings_)) {
    if (store_.commit(transaction).outcome != Outcome::kDone) return {};
  }
  return version;
}

Reply UserApi::accept(const protocol::JobRecord& record, Time now) {
  const JobId& id = record.spec.id;
  Version lists;
  if (record.dependency_lists) {
    const auto written = write_dependency_lists(record);
    if (!written) return try_later("the state service did not take what the job needs");
    lists = *written;
  }
  const Transaction transaction = coordination::acceptance(record, lists);
  const auto committed = store_.commit(transaction);
  if (committed.outcome == Outcome::kRefused) {
    return try_later("the state service is over its limit or out of service");
  }
  if (committed.outcome != Outcome::kDone) {
    // The job was accepted before, or perhaps by this commit.
    const LookupResult result = look_up(id);
    if (result.acceptance != Acceptance::kAccepted) {
      return try_later("the state service did not answer");
    }
    return state_reply(id, result.state);
  }
  locked([&](Controller& c) {
    c.cache().apply(transaction, committed.revision, now);
    c.accepted(id);
  });
  store_.changed();
  spdlog::debug("job accepted: job={}", id.get());
  const JobStatus status = record.cancelled ? JobStatus::kCancelled : JobStatus::kQueued;
  return {protocol::kHttpCreated, protocol::user_status(id, status), 0};
}

// --- status and cancellation

Reply UserApi::status(const JobId& id) {
  return reply_if_accepted(id).value_or(no_such_job());
}

Reply UserApi::cancel(const JobId& id, Time now) {
  for (int i = 0; i < kMaxCancelTries; ++i) {
    if (auto reply = try_cancel(id, now)) return *reply;
  }
  return try_later(kStateSilent);
}

std::optional<Reply> UserApi::try_cancel(const JobId& id, Time now) {
  if (const auto final_state = cached_final(id))
    return state_reply(id, {final_state->status, {}, {}});
  const auto got = store_.get(protocol::job_key(id));
  if (!got.answered) return try_later(kStateSilent);
  if (got.item.version.get() == 0) return reply_if_accepted(id).value_or(no_such_job());
  const auto record = protocol::parse_job(got.item.value);
  if (!record) return try_later(kStateSilent);
  if (record->cancelled) return state_reply(id, {JobStatus::kCancelled, {}, {}});
  const Transaction transaction = coordination::cancellation(*record, got.item.version);
  const auto committed = store_.commit(transaction);
  if (committed.outcome == Outcome::kRefused) return try_later(kStateSilent);
  if (committed.outcome != Outcome::kDone) return {};
  locked([&](Controller& c) { c.cache().apply(transaction, committed.revision, now); });
  spdlog::info("job cancelled: job={}", id.get());
  store_.cancelled(id);
  store_.changed();
  return state_reply(id, {JobStatus::kCancelled, {}, {}});
}

}  // namespace saddleslip
