// Items of the state service, and transactions on them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// A key's value at one version.
struct Item {
  std::string key;
  Json value;  // null: removed
  Version version;
};

// One write of a transaction.
struct Put {
  std::string key;
  std::optional<Json> value;     // none: remove the key
  std::optional<LeaseId> lease;  // the key is removed with this lease
};

// A transaction may hold this many preconditions for each of the writes that the store allows.
inline constexpr std::size_t kPreconditionsPerWrite = 4;

// Writes that take effect together, if each key of the preconditions still has that version.
struct Transaction {
  std::map<std::string, Version> preconditions;
  std::vector<Put> writes;
};

// The body of a commit.
Json to_json(const Transaction& transaction);

// An item of the store's answers; none if it is malformed.
std::optional<Item> parse_item(const Json& value);
// A change of the store's history: an item that was written or removed. None if it is malformed.
std::optional<Item> parse_change(const Json& value);
// The revision that an answer of the store was made at; 0 if it tells none.
Revision parse_revision(const Json& answer);

}  // namespace saddleslip::protocol
