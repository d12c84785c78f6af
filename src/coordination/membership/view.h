// Functions on the membership view: the owner of a machine, the home of a job, and the next view.
// They have no state.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "storage/state_cache.h"

namespace saddleslip::coordination {

using base::Epoch;
using base::FencingToken;
using base::JobId;
using base::MachineId;
using base::MemberId;
using protocol::ControllerIncarnation;
using protocol::View;

// Returns the job's home, the member that routes its tasks and finalizes it; null if the view has
// no members. Chosen by rendezvous hashing, so that a change of members moves only the jobs of the
// members that joined or left.
const ControllerIncarnation* home_of(const View& view, const JobId& job);
// Returns the member that owns the machine: the one named by an ownership override, otherwise the
// one chosen by rendezvous hashing. Null if the view has no members.
const ControllerIncarnation* owner_of(const View& view, const MachineId& machine);

// The number of low bits of a fencing token that count the command batches within one epoch.
inline constexpr int kTokenBitsPerEpoch = 24;
// Returns the lowest fencing token of an epoch.
inline FencingToken first_fencing_token(Epoch epoch) {
  return FencingToken(epoch.get() << kTokenBitsPerEpoch);
}

// Returns the view that the member records lead to; none if `current` needs no change. Excluded
// members are left out. Claims by members become ownership overrides and take precedence over those
// of the current view. Overrides of released machines are dropped, and so are those that do not fit
// into a value of `max_bytes`.
std::optional<View> next_view(const std::map<MemberId, protocol::Member>& members,
                              const std::optional<View>& current,
                              const std::set<MemberId>& excluded,
                              const std::map<MachineId, ControllerIncarnation>& claims,
                              const std::function<bool(const MachineId&)>& is_released,
                              std::size_t max_bytes);

// Returns whether the view contains this incarnation, not just its member.
bool has_member(const View& view, const ControllerIncarnation& incarnation);

}  // namespace saddleslip::coordination
