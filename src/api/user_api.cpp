#include "api/user_api.h"

#include <algorithm>

#include "base/log.h"
#include "coordination/records/admission.h"

namespace saddleslip {

using base::JobId;
using base::Time;
using base::Version;
using protocol::Json;
using protocol::Transaction;
using transport::Reply;
using Outcome = protocol::StateClient::Outcome;

namespace {

Reply error(int status, const std::string& reason, int retry_after_s = 0) {
  return {status, protocol::error_body(reason), retry_after_s};
}

Reply try_later(const std::string& reason) {
  return error(503, reason, 1);
}

Reply known_final(const JobId& id, protocol::JobStatus status) {
  return {200, protocol::user_status(id, status), 0};
}

constexpr const char* kStateSilent = "the state service does not answer";
// Final states read from the store for one submission at most; what is left is read for its next try.
constexpr std::size_t kMaxDependenciesRead = 64;

}  // namespace

UserApi::Known UserApi::look_up(const JobId& id, Reply& reply) {
  const auto known_here = [&](coordination::Controller& c) -> std::optional<Reply> {
    if (const auto f = c.cache().final_state(id)) return known_final(id, f->status);
    const auto* job = c.cache().job(id);
    if (!job) return {};
    if (job->cancelled_on_record()) return known_final(id, protocol::JobStatus::kCancelled);
    const auto status =
        job->assigned > 0 ? protocol::JobStatus::kRunning : protocol::JobStatus::kQueued;
    return Reply{200, protocol::user_status(id, status, job->done, job->assigned), 0};
  };
  const auto cached =
      locked([&](coordination::Controller& c) { return c.cache().final_state(id); });
  if (cached) {
    reply = known_final(id, cached->status);
    return Known::kYes;
  }
  // Another node may have told more than this one has heard of: what is not final is told only from
  // a copy that was proved current after the question came. A live record only ever becomes a final
  // one, so what that copy lacks is final, and read from the store, or was never accepted.
  if (!store_.read_barrier()) return Known::kCantTell;
  // It is cancelled with any job that it depends on: another node may have told so, and this one must not
  // say "queued" for want of a final state that it has not read.
  const auto unresolved =
      locked([&](coordination::Controller& c) { return c.cache().unresolved_dependencies(id); });
  for (const JobId& need : unresolved) {
    if (read_final(need) == Known::kCantTell) return Known::kCantTell;
  }
  if (auto here = locked(known_here)) {
    reply = std::move(*here);
    return Known::kYes;
  }
  const Known over = read_final(id);
  if (over != Known::kYes) return over;
  if (auto here = locked(known_here)) {
    reply = std::move(*here);
    return Known::kYes;
  }
  return Known::kCantTell;
}

UserApi::Known UserApi::read_final(const JobId& id) {
  const auto over = store_.get(protocol::final_key(id));
  if (!over.answered) return Known::kCantTell;
  if (over.item.version.get() == 0) return Known::kNo;
  const auto final_state = protocol::parse_final(over.item.value);
  if (!final_state) return Known::kCantTell;
  locked([&](coordination::Controller& c) { c.cache().remember_final(id, *final_state); });
  return Known::kYes;
}

UserApi::DependencyLookup UserApi::look_up_dependencies(const protocol::JobSpec& spec) {
  // What is known here was accepted; of the rest only the store can say that it never was.
  const auto not_known = [&](coordination::Controller& c) {
    std::vector<JobId> ids;
    for (const JobId& need : spec.dependencies) {
      if (!c.cache().job(need) && !c.cache().final_state(need)) ids.push_back(need);
    }
    return ids;
  };
  if (!locked(not_known).empty()) {
    if (!store_.read_barrier()) return {Known::kCantTell, {}, false};
    const std::vector<JobId> ids = locked(not_known);
    for (std::size_t i = 0; i < ids.size(); ++i) {
      if (i == kMaxDependenciesRead) return {Known::kCantTell, {}, false};
      const Known known = read_final(ids[i]);
      if (known != Known::kYes) return {known, ids[i], false};
    }
  }
  return locked([&](coordination::Controller& c) {
    const bool cancelled =
        std::any_of(spec.dependencies.begin(), spec.dependencies.end(), [&](const JobId& need) {
          const auto over = c.cache().final_state(need);
          if (over) return over->status == protocol::JobStatus::kCancelled;
          const auto* live = c.cache().job(need);
          return live && live->cancelled_on_record();
        });
    return DependencyLookup{Known::kYes, {}, cancelled};
  });
}

Reply UserApi::submit(const std::string& body, Time now) {
  const auto parsed = protocol::parse_submission(body);
  Reply reply;
  if (const auto* fault = std::get_if<protocol::ParseError>(&parsed)) {
    // An accepted id stays accepted, whatever a later body looks like.
    if (const auto id = protocol::parse_submission_id(body)) {
      const auto known = look_up(*id, reply);
      if (known == Known::kYes) return reply;
      if (known == Known::kCantTell) return try_later(kStateSilent);
    }
    return error(400, fault->message());
  }
  const auto& spec = std::get<protocol::JobSpec>(parsed);
  struct View {
    bool known, undecided;
    std::optional<std::string> never;
  };
  const View v = locked([&](coordination::Controller& c) {
    const auto& cache = c.cache();
    return View{cache.job(spec.id) || cache.final_state(spec.id), cache.catalogue().empty(),
                coordination::never_runs(spec, settings_, cache.catalogue())};
  });
  if (v.known || v.undecided || v.never) {
    const auto known = look_up(spec.id, reply);
    if (known == Known::kYes) return reply;
    if (known == Known::kCantTell) return try_later(kStateSilent);
    if (v.undecided) return try_later("the machine types are not known yet");
    if (v.never) return error(422, *v.never);
  }
  const DependencyLookup dependencies = look_up_dependencies(spec);
  if (dependencies.known != Known::kYes) {
    // Accepted already, it is so whatever it needs.
    const auto known = look_up(spec.id, reply);
    if (known == Known::kYes) return reply;
    if (known == Known::kCantTell || dependencies.known == Known::kCantTell)
      return try_later(kStateSilent);
    return error(422, "no such job: " + dependencies.never_accepted.get());
  }
  coordination::AcceptanceContext context;
  context.time_of_day = store_.wall();
  context.partitions = static_cast<std::size_t>(std::max(1, settings_.size));
  context.value_bytes = settings_.value_bytes;
  context.dependency_cancelled = dependencies.cancelled;
  return accept(coordination::accepted_record(spec, context), now);
}

// What it needs is written first, then the record that makes it accepted.
std::optional<Version> UserApi::write_dependency_lists(const protocol::JobRecord& record) {
  const std::string key = protocol::dependency_lists_key(record.spec.id);
  const auto before = store_.get(key);
  if (!before.answered) return {};
  Version version = before.item.version;
  const Json value = to_json(*record.dependency_lists);
  if (version.get() == 0 || before.item.value != value) {
    Transaction txn;
    txn.preconditions[key] = version;
    txn.writes.push_back({key, value, {}});
    const auto done = store_.commit(txn);
    if (done.outcome != Outcome::kDone) return {};
    version = Version(done.revision.get());
  }
  for (const Transaction& txn : coordination::dependency_list_writes(record, version, settings_)) {
    if (store_.commit(txn).outcome != Outcome::kDone) return {};
  }
  return version;
}

Reply UserApi::accept(const protocol::JobRecord& record, Time now) {
  const protocol::JobSpec& spec = record.spec;
  Version lists;
  if (record.dependency_lists) {
    const auto written = write_dependency_lists(record);
    if (!written) return try_later("the state service did not take what the job needs");
    lists = *written;
  }
  Reply reply;
  const Transaction txn = coordination::acceptance(record, lists);
  const auto done = store_.commit(txn);
  switch (done.outcome) {
    case Outcome::kDone:
      locked([&](coordination::Controller& c) {
        c.cache().apply(txn, done.revision, now);
        c.accepted(spec.id);
      });
      store_.changed();
      spdlog::debug("{} accepted", spec.id.get());
      return {201,
              protocol::user_status(spec.id, record.cancelled ? protocol::JobStatus::kCancelled
                                                              : protocol::JobStatus::kQueued),
              0};
    case Outcome::kRefused:
      return try_later("the state service is over its limit or out of service");
    default:
      // Taken before, or perhaps just now.
      if (look_up(spec.id, reply) == Known::kYes) return reply;
      return try_later("the state service did not answer");
  }
}

Reply UserApi::status(const JobId& id) {
  Reply reply;
  switch (look_up(id, reply)) {
    case Known::kYes:
      return reply;
    case Known::kNo:
      return error(404, "no such job");
    default:
      return try_later(kStateSilent);
  }
}

Reply UserApi::cancel(const JobId& id, Time now) {
  for (int i = 0; i < 3; ++i) {
    if (const auto f = locked([&](auto& c) { return c.cache().final_state(id); })) {
      return known_final(id, f->status);
    }
    auto live = store_.get(protocol::job_key(id));
    if (!live.answered) break;
    if (live.item.version.get() == 0) {
      Reply reply;
      const auto known = look_up(id, reply);
      if (known == Known::kYes) return reply;
      if (known == Known::kNo) return error(404, "no such job");
      break;
    }
    const auto record = protocol::parse_job(live.item.value);
    if (!record) break;
    if (record->cancelled) return known_final(id, protocol::JobStatus::kCancelled);
    const Transaction txn = coordination::cancellation(*record, live.item.version);
    const auto done = store_.commit(txn);
    if (done.outcome == Outcome::kRefused) break;
    if (done.outcome != Outcome::kDone) continue;  // changed meanwhile, or no answer: look again
    locked([&](coordination::Controller& c) { c.cache().apply(txn, done.revision, now); });
    spdlog::info("{} cancelled", id.get());
    store_.cancelled(id);
    store_.changed();
    return known_final(id, protocol::JobStatus::kCancelled);
  }
  return try_later(kStateSilent);
}

}  // namespace saddleslip
