// HTTP client of the state service: a transactional key-value store with leases and a history of
// changes.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"
#include "protocol/base_types.h"
#include "protocol/store_transaction.h"
#include "transport/http_client.h"

namespace saddleslip::protocol {

// Client of the state service. All calls are thread-safe and block until a response arrives or the
// timeout expires. A malformed response is treated as no response.
class StateClient {
 public:
  // A response to watch() or changes() that exceeds `max_changes_bytes` is discarded and reported
  // as kTooOld.
  explicit StateClient(const base::Address& address, std::size_t max_changes_bytes = 8u << 20);

  // The purposes of requests.
  enum class Purpose { kCommit, kRead, kList, kLease, kWatch, kChanges };
  static constexpr std::size_t kPurposes = 6;
  // Numbers of requests, indexed by Purpose.
  struct RequestCounts {
    std::array<std::uint64_t, kPurposes> sent{};
    std::array<std::uint64_t, kPurposes> failed{};  // refused, or without a valid response
  };
  // Returns the numbers of requests since the last call.
  RequestCounts take_request_counts();

  // The outcome of a commit.
  enum class CommitOutcome {
    kDone,       // the transaction was committed
    kConflict,   // a precondition failed; nothing was written
    kRefused,    // rate limit exceeded or service unavailable; certainly not committed
    kUnknown,    // no valid response: it may have been committed, or may still be
    kMalformed,  // status 400: the lease has expired, or the request is invalid
  };
  // The result of a commit.
  struct CommitResult {
    CommitOutcome outcome = CommitOutcome::kUnknown;
    Revision revision;                // set for kDone and kConflict
    std::vector<std::string> failed;  // keys whose preconditions failed
  };
  // Commits a transaction.
  CommitResult commit(const Transaction& transaction, Seconds timeout);

  // The result of reading one key.
  struct GetResult {
    bool answered = false;
    Item item;  // version 0: the key does not exist
  };
  // Reads one key.
  GetResult get(const std::string& key, Seconds timeout);

  // One page of a list of items.
  struct ListResult {
    bool answered = false;
    std::vector<Item> items;
    bool has_more = false;  // there are further pages
    Revision revision;      // the revision at which the page was read
  };
  // Reads one page of the items whose keys start with `prefix` and sort after the key `after`.
  ListResult list(const std::string& prefix, const std::string& after, Seconds timeout);

  // Creates a lease; nullopt if the state service refused it or did not respond.
  std::optional<LeaseId> create_lease(Seconds ttl, Seconds timeout);
  // Whether a lease was renewed: kGone means that it has expired or was deleted, kUnknown that
  // there was no clear response.
  enum class RenewalOutcome { kYes, kGone, kUnknown };
  // Renews a lease for its time to live.
  RenewalOutcome renew_lease(LeaseId lease, Seconds timeout);
  // Deletes a lease, and with it the keys attached to it. Whether it succeeded is not reported.
  void delete_lease(LeaseId lease, Seconds timeout);

  // The changes to the keys under a prefix after a revision.
  struct WatchResult {
    // Held while a large response is parsed and its events exist. It is the first member, so that
    // it is destroyed after them.
    std::unique_lock<std::mutex> large_response_lock;
    enum class Outcome {
      kEvents,  // `events` holds all changes up to `revision`
      kTooOld,  // the changes are no longer stored or exceed the size limit: list the items instead
      kNoResponse  // no valid response
    } outcome = Outcome::kNoResponse;
    Revision revision;
    std::vector<Item> events;
    Revision after;  // the revision from which the changes were requested, exclusive
  };
  // Returns the changes after the revision `after`. If there are none yet, waits up to `wait` for
  // one.
  WatchResult watch(const std::string& prefix, Revision after, Seconds wait);
  // Returns the changes after the revision `after` without waiting for new ones. Uses the
  // connections of the general calls rather than that of watch().
  //
  // Only one large response to watch() and changes() is parsed at a time: parsed changes take many
  // times the memory of the response, and a process that missed many changes requests them for
  // several purposes at once. The next one is parsed when the WatchResult of the previous one is
  // destroyed.
  WatchResult changes(const std::string& prefix, Revision after, Seconds timeout);

 private:
  // Counts a request and returns its response.
  transport::HttpResult count(Purpose purpose, transport::HttpResult response);
  WatchResult parse_changes_response(transport::HttpResult response, Revision after);

  const std::size_t max_changes_bytes_;
  transport::HttpClient http_;
  transport::HttpClient renewals_;  // separate, so that queued calls do not delay lease renewals
  transport::HttpClient watches_;   // separate, as a watch occupies its connection while it waits
  std::mutex large_response_mutex_;
  std::mutex counts_mutex_;
  RequestCounts counts_;  // guarded by counts_mutex_
};

}  // namespace saddleslip::protocol
