// Client of the state service: a transactional key-value store with leases and a history of changes.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/settings.h"
#include "protocol/base_types.h"
#include "protocol/store_transaction.h"
#include "transport/http_client.h"

namespace saddleslip::protocol {

// All calls block until there is an answer or the timeout has passed, and may be made from any thread.
// A malformed answer counts as none.
class StateClient {
 public:
  // A response of more than `max_changes_bytes` to watch() or changes() is not read: see kTooOld.
  explicit StateClient(const base::Address& address, std::size_t max_changes_bytes = 8u << 20);

  enum class Outcome {
    kDone,
    kConflict,   // a precondition failed; nothing was written
    kRefused,    // over a limit or out of service; certainly not carried out
    kUnknown,    // no answer: it may have been carried out, or may be later
    kMalformed,  // 400: an expired lease, or a mistake of ours
  };
  struct Committed {
    Outcome outcome = Outcome::kUnknown;
    Revision revision;
    std::vector<std::string> failed;  // the keys whose preconditions failed
  };
  Committed commit(const Transaction& transaction, Seconds timeout);

  struct Got {
    bool answered = false;
    Item item;  // version 0: no such key
  };
  Got get(const std::string& key, Seconds timeout);

  struct Listed {
    bool answered = false;
    std::vector<Item> items;
    bool more = false;
    Revision revision;
  };
  // One page of the items whose keys start with `prefix` and sort after `after`.
  Listed list(const std::string& prefix, const std::string& after, Seconds timeout);

  // None: no answer, or refused.
  std::optional<LeaseId> create_lease(Seconds ttl, Seconds timeout);
  enum class Renewed { kYes, kGone, kUnknown };
  Renewed renew_lease(LeaseId lease, Seconds timeout);
  void delete_lease(LeaseId lease, Seconds timeout);

  struct Watched {
    enum class What {
      kEvents,
      kTooOld,  // the changes are no longer kept, or take too many bytes: list the items anew
      kNothing
    } what = What::kNothing;
    Revision revision;
    std::vector<Item> events;
    Revision after;  // what was asked for: changes after this
  };
  // Waits up to `wait` for changes after that revision.
  Watched watch(const std::string& prefix, Revision after, Seconds wait);
  // The same without a wait, on the connections of other calls: all that has changed by now.
  Watched changes(const std::string& prefix, Revision after, Seconds timeout);

 private:
  const std::size_t max_changes_bytes_;
  transport::HttpClient http_;
  transport::HttpClient renewals_;  // of its own, so that no queue delays a renewal
  transport::HttpClient watches_;
};

}  // namespace saddleslip::protocol
