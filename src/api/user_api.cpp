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
using CommitOutcome = protocol::StateClient::CommitOutcome;

namespace {

constexpr const char* kStateServiceSilent = "the state service does not answer";
constexpr int kRetryAfterSeconds = 1;
// The most final states that one submission reads from the state service. A submission that needs
// more gets 503; when it is repeated, the final states read before are in the cache and others are
// read.
constexpr std::size_t kMaxFinalStateReadsPerSubmission = 64;
// Attempts to commit a cancellation before the reply asks the user to retry.
constexpr int kMaxCancelAttempts = 3;

Reply error_reply(int status, const std::string& reason) {
  return {status, protocol::error_body(reason), 0};
}

Reply retry_later_reply(const std::string& reason) {
  return {protocol::kHttpUnavailable, protocol::error_body(reason), kRetryAfterSeconds};
}

Reply no_such_job_reply() {
  return error_reply(protocol::kHttpNotFound, "no such job");
}

}  // namespace

// --- Job lookup

Reply UserApi::job_status_reply(const JobId& id, const JobState& state) {
  return {protocol::kHttpOk,
          protocol::user_status(id, state.status, state.done_tasks, state.running_tasks), 0};
}

std::optional<protocol::FinalState> UserApi::cached_final_state(const JobId& id) {
  return with_lock([&](Controller& controller) { return controller.cache().final_state(id); });
}

std::optional<UserApi::JobState> UserApi::cached_job_state(const JobId& id) {
  return with_lock([&](Controller& controller) -> std::optional<JobState> {
    if (const auto final_state = controller.cache().final_state(id)) {
      return JobState{final_state->status, {}, {}};
    }
    const auto* job = controller.cache().job(id);
    if (!job) return {};
    if (job->cancelled_on_record()) return JobState{JobStatus::kCancelled, {}, {}};
    const auto status = job->assigned > 0 ? JobStatus::kRunning : JobStatus::kQueued;
    return JobState{status, job->done, job->assigned};
  });
}

UserApi::Acceptance UserApi::read_final_state(const JobId& id) {
  const auto response = store_.get(protocol::tombstone_key(id));
  if (!response.answered) return Acceptance::kUnknown;
  if (response.item.version.get() == 0) return Acceptance::kNeverAccepted;
  const auto final_state = protocol::parse_final_state(response.item.value);
  if (!final_state) return Acceptance::kUnknown;
  with_lock([&](Controller& controller) { controller.cache().add_final_state(id, *final_state); });
  return Acceptance::kAccepted;
}

bool UserApi::read_unresolved_dependencies(const JobId& id) {
  const auto unresolved = with_lock(
      [&](Controller& controller) { return controller.cache().unresolved_dependencies(id); });
  return std::all_of(unresolved.begin(), unresolved.end(), [&](const JobId& dependency) {
    return read_final_state(dependency) != Acceptance::kUnknown;
  });
}

UserApi::LookupResult UserApi::look_up_job(const JobId& id) {
  if (const auto final_state = cached_final_state(id)) {
    return {Acceptance::kAccepted, {final_state->status, {}, {}}};
  }
  // Another controller may have reported a newer state than this cache holds, so a state that is
  // not final is reported only after a read barrier. A live job's record is only ever replaced by a
  // final state: a job that the cache lacks after the barrier either has its final state in the
  // state service or was never accepted.
  if (!store_.read_barrier()) return {};
  // A job is cancelled if any of its dependencies is. Another controller may have reported that
  // already, so this one must read the dependencies' final states before it reports "queued".
  if (!read_unresolved_dependencies(id)) return {};
  if (const auto state = cached_job_state(id)) return {Acceptance::kAccepted, *state};
  const Acceptance acceptance = read_final_state(id);
  if (acceptance != Acceptance::kAccepted) return {acceptance, {}};
  if (const auto state = cached_job_state(id)) return {Acceptance::kAccepted, *state};
  return {};
}

std::optional<Reply> UserApi::status_reply_if_accepted(const JobId& id) {
  const LookupResult result = look_up_job(id);
  switch (result.acceptance) {
    case Acceptance::kNeverAccepted:
      return {};
    case Acceptance::kUnknown:
      return retry_later_reply(kStateServiceSilent);
    case Acceptance::kAccepted:
      break;
  }
  return job_status_reply(id, result.state);
}

// --- Dependencies of a submission

std::vector<JobId> UserApi::dependencies_missing_from_cache(const protocol::JobSpec& spec) {
  return with_lock([&](Controller& controller) {
    std::vector<JobId> ids;
    for (const JobId& id : spec.dependencies) {
      if (!controller.cache().job(id) && !controller.cache().final_state(id)) ids.push_back(id);
    }
    return ids;
  });
}

bool UserApi::has_cancelled_dependency(const protocol::JobSpec& spec) {
  return with_lock([&](Controller& controller) {
    return std::any_of(spec.dependencies.begin(), spec.dependencies.end(), [&](const JobId& id) {
      const auto final_state = controller.cache().final_state(id);
      if (final_state) return final_state->status == JobStatus::kCancelled;
      const auto* job = controller.cache().job(id);
      return job && job->cancelled_on_record();
    });
  });
}

UserApi::DependencyLookup UserApi::look_up_dependencies(const protocol::JobSpec& spec) {
  // Every job in the cache was accepted. Only the state service shows that a job was never
  // accepted.
  if (!dependencies_missing_from_cache(spec).empty()) {
    if (!store_.read_barrier()) return {Acceptance::kUnknown, {}, false};
    const std::vector<JobId> unknown = dependencies_missing_from_cache(spec);
    for (std::size_t i = 0; i < unknown.size(); ++i) {
      if (i == kMaxFinalStateReadsPerSubmission) return {Acceptance::kUnknown, {}, false};
      const Acceptance acceptance = read_final_state(unknown[i]);
      if (acceptance != Acceptance::kAccepted) return {acceptance, unknown[i], false};
    }
  }
  return {Acceptance::kAccepted, {}, has_cancelled_dependency(spec)};
}

// --- Submission

UserApi::LocalCheck UserApi::check_locally(const protocol::JobSpec& spec) {
  return with_lock([&](Controller& controller) -> LocalCheck {
    const auto& cache = controller.cache();
    LocalCheck check;
    check.was_accepted = cache.job(spec.id) || cache.final_state(spec.id);
    if (cache.catalogue().empty()) {
      check.refusal = retry_later_reply("the machine types are not known yet");
    } else if (const auto reason =
                   coordination::rejection_reason(spec, settings_, cache.catalogue())) {
      check.refusal = error_reply(protocol::kHttpUnprocessable, *reason);
    }
    return check;
  });
}

Reply UserApi::submit(const std::string& body, Time now) {
  const auto parsed = protocol::parse_submission(body);
  if (const auto* parse_error = std::get_if<protocol::ParseError>(&parsed)) {
    const Reply refusal = error_reply(protocol::kHttpBadRequest, parse_error->message());
    // An accepted job stays accepted even if a later submission of its id is malformed.
    const auto id = protocol::parse_submission_id(body);
    return id ? status_reply_if_accepted(*id).value_or(refusal) : refusal;
  }
  const auto& spec = std::get<protocol::JobSpec>(parsed);
  const LocalCheck check = check_locally(spec);
  if (check.was_accepted || check.refusal) {
    if (auto reply = status_reply_if_accepted(spec.id)) return *reply;
    if (check.refusal) return *check.refusal;
  }
  const DependencyLookup dependencies = look_up_dependencies(spec);
  if (dependencies.acceptance != Acceptance::kAccepted) {
    const Reply refusal = dependencies.acceptance == Acceptance::kUnknown
                              ? retry_later_reply(kStateServiceSilent)
                              : error_reply(protocol::kHttpUnprocessable,
                                            "no such job: " + dependencies.never_accepted.get());
    // An accepted job stays accepted even if a later submission of its id names other dependencies.
    return status_reply_if_accepted(spec.id).value_or(refusal);
  }
  return commit_new_job(new_record(spec, dependencies.is_cancelled), now);
}

protocol::JobRecord UserApi::new_record(const protocol::JobSpec& spec, bool dependency_cancelled) {
  coordination::AcceptanceContext context;
  context.time_of_day = store_.time_of_day();
  context.partitions = static_cast<std::size_t>(std::max(1, settings_.controller_count));
  context.value_bytes = settings_.value_bytes;
  context.dependency_cancelled = dependency_cancelled;
  return coordination::new_job_record(spec, context);
}

std::optional<Version> UserApi::commit_dependency_list_manifest(
    const protocol::JobRecord& record) const {
  const std::string key = protocol::dependency_lists_key(record.spec.id);
  const auto response = store_.get(key);
  if (!response.answered) return {};
  const Version version = response.item.version;
  const Json value = to_json(*record.dependency_lists);
  if (version.get() != 0 && response.item.value == value) return version;
  Transaction transaction;
  transaction.preconditions[key] = version;
  transaction.writes.push_back({key, value, {}});
  const auto commit_result = store_.commit(transaction);
  if (commit_result.outcome != CommitOutcome::kDone) return {};
  // The version of a key is the revision of the commit that last wrote it.
  return Version(commit_result.revision.get());
}

std::optional<Version> UserApi::write_dependency_lists(const protocol::JobRecord& record) {
  const auto version = commit_dependency_list_manifest(record);
  if (!version) return {};
  for (const Transaction& transaction :
       coordination::dependency_list_writes(record, *version, settings_)) {
    if (store_.commit(transaction).outcome != CommitOutcome::kDone) return {};
  }
  return version;
}

Reply UserApi::commit_new_job(const protocol::JobRecord& record, Time now) {
  const JobId& id = record.spec.id;
  Version manifest_version;
  if (record.dependency_lists) {
    const auto written = write_dependency_lists(record);
    if (!written) return retry_later_reply("the state service did not take what the job needs");
    manifest_version = *written;
  }
  const Transaction transaction = coordination::acceptance_transaction(record, manifest_version);
  const auto commit_result = store_.commit(transaction);
  if (commit_result.outcome == CommitOutcome::kRefused) {
    return retry_later_reply("the state service is over its limit or out of service");
  }
  if (commit_result.outcome != CommitOutcome::kDone) {
    // The job was accepted before, or this commit has succeeded although its response was lost.
    const LookupResult result = look_up_job(id);
    if (result.acceptance != Acceptance::kAccepted) {
      return retry_later_reply("the state service did not answer");
    }
    return job_status_reply(id, result.state);
  }
  with_lock([&](Controller& controller) {
    controller.cache().apply(transaction, commit_result.revision, now);
    controller.add_submitted_job(id);
  });
  store_.request_scheduling_round();
  spdlog::debug("job accepted: job={}", id.get());
  const JobStatus status = record.cancelled ? JobStatus::kCancelled : JobStatus::kQueued;
  return {protocol::kHttpCreated, protocol::user_status(id, status), 0};
}

// --- Status and cancellation

Reply UserApi::status(const JobId& id) {
  return status_reply_if_accepted(id).value_or(no_such_job_reply());
}

Reply UserApi::cancel(const JobId& id, Time now) {
  for (int i = 0; i < kMaxCancelAttempts; ++i) {
    if (auto reply = try_cancel(id, now)) return *reply;
  }
  return retry_later_reply(kStateServiceSilent);
}

std::optional<Reply> UserApi::try_cancel(const JobId& id, Time now) {
  if (const auto final_state = cached_final_state(id))
    return job_status_reply(id, {final_state->status, {}, {}});
  const auto response = store_.get(protocol::job_key(id));
  if (!response.answered) return retry_later_reply(kStateServiceSilent);
  if (response.item.version.get() == 0)
    return status_reply_if_accepted(id).value_or(no_such_job_reply());
  const auto record = protocol::parse_job(response.item.value);
  if (!record) return retry_later_reply(kStateServiceSilent);
  if (record->cancelled) return job_status_reply(id, {JobStatus::kCancelled, {}, {}});
  const Transaction transaction =
      coordination::cancellation_transaction(*record, response.item.version);
  const auto commit_result = store_.commit(transaction);
  if (commit_result.outcome == CommitOutcome::kRefused)
    return retry_later_reply(kStateServiceSilent);
  if (commit_result.outcome != CommitOutcome::kDone) return {};
  with_lock([&](Controller& controller) {
    controller.cache().apply(transaction, commit_result.revision, now);
  });
  spdlog::info("job cancelled: job={}", id.get());
  store_.broadcast_cancellation(id);
  store_.request_scheduling_round();
  return job_status_reply(id, {JobStatus::kCancelled, {}, {}});
}

}  // namespace saddleslip
