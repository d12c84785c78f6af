// The right of this process to act as a controller: its incarnation, its lease in the state service,
// and until when it may answer workers and send them commands (its authority).
//
// Holds state only; takes the time as an argument. Not safe for use from several threads at once.
#pragma once

#include <cstdint>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

class AuthorityLease {
 public:
  // Reads the lease's time to live from the settings, and the view from the cache. Both must outlive
  // this object.
  AuthorityLease(const base::Settings& settings, const storage::StateCache& cache)
      : settings_(settings), cache_(cache) {}

  // A lease was taken by a new incarnation. It has no authority until a view names it and a renewal
  // has proved the cache current.
  void begin_incarnation(protocol::ControllerIncarnation incarnation, base::Time now);
  // The lease is lost or given up. self() still names the incarnation that ended.
  void end_incarnation();

  // The lease of this incarnation was taken by a call that was sent then.
  void lease_acquired(base::Time sent_at);
  // The lease was renewed by a call that was sent then, and after that the cache was proved current:
  // it holds all that was committed before the call, cancellations and views included.
  // `cache_generation` is the generation from before the proof: a cache that was reloaded since was
  // not proved current, and the renewal is ignored.
  void lease_renewed(base::Time sent_at, std::uint64_t cache_generation);
  // The cache was reloaded page by page: some of it is older than what was proved current before.
  // Authority ends until the next renewal.
  void cache_replaced();

  const protocol::ControllerIncarnation& self() const { return self_; }
  bool has_incarnation() const { return has_incarnation_; }
  base::Time incarnation_began_at() const { return incarnation_began_at_; }
  std::uint64_t cache_generation() const { return cache_generation_; }

  bool has_lease(base::Time now) const { return now < lease_valid_until_; }
  // May this process answer workers and command them? Only while the view that it installed is the
  // one that the cache holds, names this incarnation, and was covered by the latest proof.
  // `installed_view`: 0 if none was installed yet.
  bool has_authority(base::Time now, base::Version installed_view) const;

 private:
  base::Time valid_until(base::Time sent_at) const;

  const base::Settings& settings_;
  const storage::StateCache& cache_;
  protocol::ControllerIncarnation self_;
  bool has_incarnation_ = false;
  base::Time incarnation_began_at_{};
  base::Time lease_valid_until_{};
  base::Time authority_valid_until_{};
  base::Version proved_view_;           // the view that the cache held at the latest proof
  std::uint64_t cache_generation_ = 0;  // how often the cache was reloaded
};

}  // namespace saddleslip::coordination
