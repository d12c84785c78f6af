// Items of the state service, and transactions that write them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// A key with its value at one version.
struct Item {
  std::string key;
  Json value;  // JSON null: the key was removed
  Version version;
};

// A write of a transaction: sets or removes one key.
struct Write {
  std::string key;
  std::optional<Json> value;     // nullopt: remove the key
  std::optional<LeaseId> lease;  // if set, the key is removed when this lease ends
};

// The state service limits the writes per transaction; this many times that limit is the maximum
// number of preconditions.
inline constexpr std::size_t kPreconditionsPerWrite = 4;

// An atomic transaction: all writes take effect if every key in `preconditions` still has the given
// version, otherwise none does.
struct Transaction {
  std::map<std::string, Version> preconditions;
  std::vector<Write> writes;
};

// Encodes the transaction as the body of a commit request.
Json to_json(const Transaction& transaction);

// Parses an item in a response of the state service; nullopt if it is malformed. Takes the item's
// value out of `entry`, since a response may hold values of several megabytes in total.
std::optional<Item> take_item(Json& entry);
// Parses an entry of the history of changes in the same way: an item that was written or removed.
std::optional<Item> take_change(Json& entry);
// Returns the revision at which the state service made a response; 0 if the response has none.
Revision parse_revision(const Json& response);

}  // namespace saddleslip::protocol
