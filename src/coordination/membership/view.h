// The membership view: which member owns a machine, which one is a job's home, and which view comes
// next. Functions without state.
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

// The job's home: the member that routes its tasks and finalizes it; null if the view has no members.
// By rendezvous hash: a change of the members moves only what belongs to those who came or went.
const ControllerIncarnation* home_of(const View& view, const JobId& job);
// The member that owns the machine: the one that an ownership override names, otherwise by rendezvous
// hash. Null if the view has no members.
const ControllerIncarnation* owner_of(const View& view, const MachineId& machine);

// The first fencing token of an epoch. Above it there is room for a token for each command batch.
inline constexpr int kEpochBits = 24;
inline FencingToken first_fencing_token(Epoch epoch) {
  return FencingToken(epoch.get() << kEpochBits);
}

// The view that follows from the members' records, or none if `present` is as it should be. Excluded
// members are left out. Claims by members become ownership overrides, ahead of those of the present
// view; overrides of released machines are dropped, and so are those that don't fit into a value of
// `max_bytes`.
std::optional<View> next_view(const std::map<MemberId, protocol::Member>& members,
                              const std::optional<View>& present,
                              const std::set<MemberId>& excluded,
                              const std::map<MachineId, ControllerIncarnation>& claims,
                              const std::function<bool(const MachineId&)>& is_released,
                              std::size_t max_bytes);

// Is this incarnation, not just its member, in the view?
bool has_member(const View& view, const ControllerIncarnation& incarnation);

}  // namespace saddleslip::coordination
