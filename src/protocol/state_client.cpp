#include "protocol/state_client.h"

#include <utility>

#include "base/log.h"
#include "protocol/client_support.h"
#include "protocol/wire_fields.h"

namespace saddleslip::protocol {

using transport::Delivery;
using transport::HttpResult;

namespace {

// Enough concurrent calls that requests of users do not queue while the state service is slow.
constexpr std::size_t kMaxConcurrentCalls = 16;
constexpr std::size_t kMaxRenewals = 2;
constexpr std::size_t kMaxWatches = 1;
// The HTTP timeout of a watch is its wait plus this margin, in which the response may arrive.
constexpr Seconds kWatchTimeoutMargin{3.0};
constexpr std::size_t kMaxLoggedBytes = 200;
// A larger response is parsed only when no other one is.
constexpr std::size_t kLargeChangesBytes = 128u << 10;

constexpr const char* kItems = "items";
constexpr const char* kEvents = "events";
constexpr const char* kMore = "more";

// Reads the revision and the failed keys from a response with status 200 (committed) or
// 409 (conflict).
void read_commit_response(const HttpResult& response, StateClient::CommitResult& result) {
  const Json body = parse_object(response);
  if (!body.is_object() || !body.contains(wire::kRevision)) return;
  result.revision = parse_revision(body);
  result.outcome = response.status == 200 ? StateClient::CommitOutcome::kDone
                                          : StateClient::CommitOutcome::kConflict;
  if (!has_array(body, "failed")) return;
  for (const Json& key : body.at("failed")) {
    if (key.is_string()) result.failed.push_back(key.get<std::string>());
  }
}

std::string changes_path(const std::string& prefix, Revision after, Seconds wait) {
  return "/changes?starts=" + prefix + "&after=" + std::to_string(after.get()) +
         "&block_ms=" + std::to_string(static_cast<long>(wait.count() * 1000));
}

std::string lease_path(LeaseId lease) {
  return "/leases/" + std::to_string(lease.get());
}

}  // namespace

StateClient::StateClient(const base::Address& address, std::size_t max_changes_bytes)
    : max_changes_bytes_(max_changes_bytes),
      http_(address, kMaxConcurrentCalls),
      renewals_(address, kMaxRenewals),
      watches_(address, kMaxWatches) {}

StateClient::RequestCounts StateClient::take_request_counts() {
  const std::lock_guard lock(counts_mutex_);
  return std::exchange(counts_, {});
}

HttpResult StateClient::count(Purpose purpose, HttpResult response) {
  // A key that does not exist, a conflict, a lease that has ended and a history that is not kept any
  // more are valid responses.
  const bool is_valid =
      response.ok() || response.status == 404 || response.status == 409 || response.status == 410;
  const std::lock_guard lock(counts_mutex_);
  ++counts_.sent[static_cast<std::size_t>(purpose)];
  if (!is_valid) ++counts_.failed[static_cast<std::size_t>(purpose)];
  return response;
}

StateClient::CommitResult StateClient::commit(const Transaction& transaction, Seconds timeout) {
  const HttpResult response =
      count(Purpose::kCommit, http_.post("/commit", to_json(transaction).dump(), timeout));
  CommitResult result;
  if (response.delivery == Delivery::kNotSent) result.outcome = CommitOutcome::kRefused;
  if (response.delivery != Delivery::kAnswered) return result;
  switch (response.status) {
    case 200:
    case 409:
      read_commit_response(response, result);
      break;
    case 429:
    case 503:
      result.outcome = CommitOutcome::kRefused;
      break;
    case 400:
      spdlog::error("state service rejected a transaction as malformed: response={}",
                    response.body.substr(0, kMaxLoggedBytes));
      result.outcome = CommitOutcome::kMalformed;
      break;
    default:
      break;
  }
  return result;
}

StateClient::GetResult StateClient::get(const std::string& key, Seconds timeout) {
  const HttpResult response = count(Purpose::kRead, http_.get("/store/" + key, timeout));
  GetResult result;
  if (response.delivery != Delivery::kAnswered) return result;
  if (response.status == 404) {
    result.answered = true;
    result.item.key = key;
  } else if (response.status == 200) {
    Json body = parse_object(response);
    auto item = take_item(body);
    if (item && item->version.get() > 0) {
      result.answered = true;
      result.item = std::move(*item);
    }
  }
  return result;
}

StateClient::ListResult StateClient::list(const std::string& prefix, const std::string& after,
                                          Seconds timeout) {
  std::string path = "/store?starts=" + prefix + "&page=" + kPageSize;
  if (!after.empty()) path += "&after=" + after;
  const HttpResult response = count(Purpose::kList, http_.get(path, timeout, kMaxResponseBytes));
  ListResult result;
  if (!response.ok()) return result;
  Json body = parse_object(response);
  if (!has_array(body, kItems)) return result;
  for (Json& entry : body.at(kItems)) {
    auto item = take_item(entry);
    if (!item) return result;
    result.items.push_back(std::move(*item));
  }
  result.has_more = body.contains(kMore) && body.at(kMore) == true;
  result.revision = parse_revision(body);
  result.answered = true;
  return result;
}

std::optional<LeaseId> StateClient::create_lease(Seconds ttl, Seconds timeout) {
  const auto ttl_ms = static_cast<std::uint64_t>(ttl.count() * 1000);
  const HttpResult response =
      count(Purpose::kLease, renewals_.post("/leases", Json{{"ttl_ms", ttl_ms}}.dump(), timeout));
  if (!response.ok()) return {};
  const Json body = parse_object(response);
  const auto id = body.find(wire::kLease);
  if (id == body.end() || !id->is_number_unsigned() || *id == 0u) return {};
  return LeaseId(id->get<std::uint64_t>());
}

StateClient::RenewalOutcome StateClient::renew_lease(LeaseId lease, Seconds timeout) {
  const HttpResult response =
      count(Purpose::kLease, renewals_.post(lease_path(lease) + "/renew", "{}", timeout));
  if (response.ok()) return RenewalOutcome::kYes;
  const bool is_gone = response.delivery == Delivery::kAnswered && response.status == 404;
  return is_gone ? RenewalOutcome::kGone : RenewalOutcome::kUnknown;
}

void StateClient::delete_lease(LeaseId lease, Seconds timeout) {
  renewals_.del(lease_path(lease), timeout);
}

StateClient::WatchResult StateClient::parse_changes_response(HttpResult response, Revision after) {
  using Outcome = WatchResult::Outcome;
  WatchResult result;
  result.after = after;
  // A response that is too large would not get smaller on a retry, so the caller has to list the
  // items instead, page by page.
  if (response.too_large || (response.delivery == Delivery::kAnswered && response.status == 410)) {
    result.outcome = Outcome::kTooOld;
    return result;
  }
  if (!response.ok()) return result;
  if (response.body.size() > kLargeChangesBytes)
    result.large_response_lock = std::unique_lock(large_response_mutex_);
  Json body = parse_object(response);
  response.body = {};
  if (!has_array(body, kEvents)) return result;
  for (Json& entry : body.at(kEvents)) {
    auto change = take_change(entry);
    if (!change) return {};
    result.events.push_back(std::move(*change));
  }
  result.revision = parse_revision(body);
  result.outcome = Outcome::kEvents;
  return result;
}

StateClient::WatchResult StateClient::watch(const std::string& prefix, Revision after,
                                            Seconds wait) {
  const std::string path = changes_path(prefix, after, wait);
  HttpResult response = watches_.get(path, wait + kWatchTimeoutMargin, max_changes_bytes_);
  return parse_changes_response(count(Purpose::kWatch, std::move(response)), after);
}

StateClient::WatchResult StateClient::changes(const std::string& prefix, Revision after,
                                              Seconds timeout) {
  const std::string path = changes_path(prefix, after, Seconds(0));
  HttpResult response = http_.get(path, timeout, max_changes_bytes_);
  return parse_changes_response(count(Purpose::kChanges, std::move(response)), after);
}

}  // namespace saddleslip::protocol
