#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "base/ids.h"
#include "protocol/records.h"

namespace saddleslip::storage {

// How finished jobs ended: a bounded memory of the latest ones.
//
// The store keeps the final state of every job that ever ran, so a copy of all of them would grow
// without limit. A caller that asks for one which is not here reads it from the store.
//
// Not safe for use from several threads at once.
class FinalStates {
 public:
  static constexpr std::size_t kDefaultCapacity = 8192;

  // Requires a capacity of at least 1.
  explicit FinalStates(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

  // Remembers how the job ended; the job remembered longest ago is forgotten for it if all places
  // are taken. Returns false, and changes nothing, if the job's final state is known already.
  bool remember(const base::JobId& id, const protocol::FinalState& state);

  // How the job ended; none: not known here.
  std::optional<protocol::FinalState> find(const base::JobId& id) const;

  bool contains(const base::JobId& id) const { return states_.contains(id); }

 private:
  const std::size_t capacity_;
  std::unordered_map<base::JobId, protocol::FinalState> states_;
  std::deque<base::JobId> oldest_first_;
};

}  // namespace saddleslip::storage
