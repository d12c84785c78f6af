#include "protocol/state_client.h"

#include "base/log.h"
#include "protocol/client_support.h"
#include "protocol/wire_fields.h"

namespace saddleslip::protocol {

using transport::Answer;
using transport::Sent;

namespace {

constexpr std::size_t kMaxCalls = 16;  // at once: a slow store must not make users queue
constexpr std::size_t kMaxRenewals = 2;
constexpr std::size_t kMaxWatches = 1;
constexpr Seconds kWatchMargin{3.0};  // for the answer, after the wait that was asked for
constexpr std::size_t kMaxLoggedBytes = 200;

constexpr const char* kItems = "items";
constexpr const char* kEvents = "events";
constexpr const char* kMore = "more";

// A commit that was carried out or found a conflict tells the revision.
void read_committed(const Answer& answer, StateClient::Committed& committed) {
  const Json body = parse_object(answer);
  if (!body.is_object() || !body.contains(wire::kRevision)) return;
  committed.revision = parse_revision(body);
  committed.outcome =
      answer.status == 200 ? StateClient::Outcome::kDone : StateClient::Outcome::kConflict;
  if (!has_list(body, "failed")) return;
  for (const Json& key : body.at("failed")) {
    if (key.is_string()) committed.failed.push_back(key.get<std::string>());
  }
}

std::string changes_path(const std::string& prefix, Revision after, Seconds wait) {
  return "/changes?starts=" + prefix + "&after=" + std::to_string(after.get()) +
         "&block_ms=" + std::to_string(static_cast<long>(wait.count() * 1000));
}

std::string lease_path(LeaseId lease) {
  return "/leases/" + std::to_string(lease.get());
}

StateClient::Watched parse_changes(const Answer& answer, Revision after) {
  using What = StateClient::Watched::What;
  StateClient::Watched watched;
  watched.after = after;
  // An answer that is too large would never get smaller: what was missed is listed anew, page by page.
  if (answer.too_large || (answer.sent == Sent::kYes && answer.status == 410)) {
    watched.what = What::kTooOld;
    return watched;
  }
  if (!answer.ok()) return watched;
  const Json body = parse_object(answer);
  if (!has_list(body, kEvents)) return watched;
  for (const Json& entry : body.at(kEvents)) {
    auto change = parse_change(entry);
    if (!change) return {};
    watched.events.push_back(std::move(*change));
  }
  watched.revision = parse_revision(body);
  watched.what = What::kEvents;
  return watched;
}

}  // namespace

StateClient::StateClient(const base::Address& address, std::size_t max_changes_bytes)
    : max_changes_bytes_(max_changes_bytes),
      http_(address, kMaxCalls),
      renewals_(address, kMaxRenewals),
      watches_(address, kMaxWatches) {}

StateClient::Committed StateClient::commit(const Transaction& transaction, Seconds timeout) {
  const Answer answer = http_.post("/commit", to_json(transaction).dump(), timeout);
  Committed committed;
  if (answer.sent == Sent::kNo) committed.outcome = Outcome::kRefused;
  if (answer.sent != Sent::kYes) return committed;
  switch (answer.status) {
    case 200:
    case 409:
      read_committed(answer, committed);
      break;
    case 429:
    case 503:
      committed.outcome = Outcome::kRefused;
      break;
    case 400:
      spdlog::error("the state service calls a transaction malformed: {}",
                    answer.body.substr(0, kMaxLoggedBytes));
      committed.outcome = Outcome::kMalformed;
      break;
    default:
      break;
  }
  return committed;
}

StateClient::Got StateClient::get(const std::string& key, Seconds timeout) {
  const Answer answer = http_.get("/store/" + key, timeout);
  Got got;
  if (answer.sent != Sent::kYes) return got;
  if (answer.status == 404) {
    got.answered = true;
    got.item.key = key;
  } else if (answer.status == 200) {
    auto item = parse_item(parse_object(answer));
    if (item && item->version.get() > 0) {
      got.answered = true;
      got.item = std::move(*item);
    }
  }
  return got;
}

StateClient::Listed StateClient::list(const std::string& prefix, const std::string& after,
                                      Seconds timeout) {
  std::string path = "/store?starts=" + prefix + "&page=" + kPageSize;
  if (!after.empty()) path += "&after=" + after;
  const Answer answer = http_.get(path, timeout, kMaxAnswerBytes);
  Listed listed;
  if (!answer.ok()) return listed;
  const Json body = parse_object(answer);
  if (!has_list(body, kItems)) return listed;
  for (const Json& entry : body.at(kItems)) {
    auto item = parse_item(entry);
    if (!item) return listed;
    listed.items.push_back(std::move(*item));
  }
  listed.more = body.contains(kMore) && body.at(kMore) == true;
  listed.revision = parse_revision(body);
  listed.answered = true;
  return listed;
}

std::optional<LeaseId> StateClient::create_lease(Seconds ttl, Seconds timeout) {
  const auto ttl_ms = static_cast<std::uint64_t>(ttl.count() * 1000);
  const Answer answer = renewals_.post("/leases", Json{{"ttl_ms", ttl_ms}}.dump(), timeout);
  if (!answer.ok()) return {};
  const Json body = parse_object(answer);
  const auto id = body.find(wire::kLease);
  if (id == body.end() || !id->is_number_unsigned() || *id == 0u) return {};
  return LeaseId(id->get<std::uint64_t>());
}

StateClient::Renewed StateClient::renew_lease(LeaseId lease, Seconds timeout) {
  const Answer answer = renewals_.post(lease_path(lease) + "/renew", "{}", timeout);
  if (answer.ok()) return Renewed::kYes;
  const bool is_gone = answer.sent == Sent::kYes && answer.status == 404;
  return is_gone ? Renewed::kGone : Renewed::kUnknown;
}

void StateClient::delete_lease(LeaseId lease, Seconds timeout) {
  renewals_.del(lease_path(lease), timeout);
}

StateClient::Watched StateClient::watch(const std::string& prefix, Revision after, Seconds wait) {
  const std::string path = changes_path(prefix, after, wait);
  return parse_changes(watches_.get(path, wait + kWatchMargin, max_changes_bytes_), after);
}

StateClient::Watched StateClient::changes(const std::string& prefix, Revision after,
                                          Seconds timeout) {
  const std::string path = changes_path(prefix, after, Seconds(0));
  return parse_changes(http_.get(path, timeout, max_changes_bytes_), after);
}

}  // namespace saddleslip::protocol
