// The right of this process to act as a controller: its incarnation, its lease in the state
// service, and its authority, which is the right to answer workers and send them commands.
//
// Holds state only; calls take the time as an argument. Not safe for use from several threads at
// once.
#pragma once

#include <cstdint>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

// Tracks the lease and the authority of the current incarnation. Both expire by the local clock.
class AuthorityLease {
 public:
  // Reads the lease's time to live from the settings, and the view from the cache. Both must
  // outlive this object.
  AuthorityLease(const base::Settings& settings, const storage::StateCache& cache)
      : settings_(settings), cache_(cache) {}

  // Starts a new incarnation. It has no lease until record_lease_acquired() is called, and no
  // authority until a view names it and the cache was verified to be current after a renewal.
  void begin_incarnation(protocol::ControllerIncarnation incarnation, base::Time now);
  // Ends the incarnation, because its lease is lost or given up. self() still returns it
  // afterwards.
  void end_incarnation();

  // Records that a call sent at `sent_at` acquired or renewed the lease of this incarnation. This
  // gives no authority.
  void record_lease_acquired(base::Time sent_at);
  // Records that the cache was verified after a call sent at `sent_at` renewed the lease: it holds
  // everything that was committed before the call, including cancellations and views. This extends
  // the authority until that lease expires. `cache_generation` is the generation read before the
  // verification. If the cache was reloaded since, it is not verified, and the call has no effect.
  void record_lease_renewed(base::Time sent_at, std::uint64_t cache_generation);
  // Records that the cache was reloaded page by page. Parts of it may be older than the verified
  // state, so authority is suspended until the next renewal.
  void cache_replaced();

  const protocol::ControllerIncarnation& self() const { return self_; }
  bool has_incarnation() const { return has_incarnation_; }
  base::Time incarnation_began_at() const { return incarnation_began_at_; }
  std::uint64_t cache_generation() const { return cache_generation_; }

  bool has_lease(base::Time now) const { return now < lease_valid_until_; }
  // Returns whether this process may answer workers and send them commands. Requires that the
  // installed view is the one in the cache, names this incarnation, and was covered by the latest
  // verification. `installed_view` is 0 if no view was installed yet.
  bool has_authority(base::Time now, base::Version installed_view) const;
  // Returns how long the authority lasts without a further renewal; negative if it has ended.
  base::Seconds authority_left(base::Time now) const {
    return base::between(now, authority_valid_until_);
  }

 private:
  base::Time valid_until(base::Time sent_at) const;

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  protocol::ControllerIncarnation self_;
  bool has_incarnation_ = false;
  base::Time incarnation_began_at_{};
  base::Time lease_valid_until_{};
  base::Time authority_valid_until_{};
  base::Version verified_view_;         // the cache's view at the latest verification
  std::uint64_t cache_generation_ = 0;  // the number of reloads of the cache
};

}  // namespace saddleslip::coordination
