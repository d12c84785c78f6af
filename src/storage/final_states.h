#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "base/ids.h"
#include "protocol/records.h"

namespace saddleslip::storage {

// A bounded cache of the final states of jobs, holding the most recently added ones.
//
// The state service keeps the final state of every job that ever ran, so an unbounded copy would
// grow without limit. Callers read the final states that are missing here from the state service.
//
// Not thread-safe.
class FinalStates {
 public:
  static constexpr std::size_t kDefaultCapacity = 8192;

  // Creates a cache of at most `capacity` final states, which must be at least 1.
  explicit FinalStates(std::size_t capacity = kDefaultCapacity) : capacity_(capacity) {}

  // Adds the final state of a job, and removes the oldest entry if the capacity is exceeded.
  // Returns false, and changes nothing, if the job's final state is here already.
  bool add(const base::JobId& id, const protocol::FinalState& state);

  // Returns the final state of the job, or nothing if it is not in the cache.
  std::optional<protocol::FinalState> find(const base::JobId& id) const;

  // Returns whether the final state of the job is in the cache.
  bool contains(const base::JobId& id) const { return states_.contains(id); }

 private:
  const std::size_t capacity_;
  std::unordered_map<base::JobId, protocol::FinalState> states_;
  std::deque<base::JobId> insertion_order_;
};

}  // namespace saddleslip::storage
