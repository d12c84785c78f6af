// Members, the view, and the parts: which member owns a machine, which one is a job's home.
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

// Rendezvous hash: a change of the members moves only the parts of those who came or went.
const ControllerIncarnation* home_of(const View& view, const JobId& job);
// The same for a machine, unless it is pinned to a member that it can reach.
const ControllerIncarnation* owner_of(const View& view, const MachineId& machine);

// The first token of an epoch. Above it there is room for a token for each direct order.
inline constexpr int kEpochBits = 24;
inline FencingToken first_fencing_token(Epoch epoch) {
  return FencingToken(epoch.get() << kEpochBits);
}

// The view that the members' keys ask for, or none if the present one is right. Pins, of machines
// that are not gone, as many as fit into a value of so many bytes.
std::optional<View> next_view(const std::map<MemberId, protocol::Member>& members,
                              const std::optional<View>& present,
                              const std::set<MemberId>& excluded,
                              const std::map<MachineId, ControllerIncarnation>& claims,
                              const std::function<bool(const MachineId&)>& released,
                              std::size_t most_bytes);

bool has_member(const View& view, const ControllerIncarnation& incarnation);

}  // namespace saddleslip::coordination
