// The records by which the controllers of a cluster coordinate: member records and the membership
// view.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// One incarnation of a controller: a member during the life of one of its leases. After a restart
// or the loss of its lease, the member has a new incarnation.
struct ControllerIncarnation {
  MemberId member;
  Incarnation incarnation;
  auto operator<=>(const ControllerIncarnation&) const = default;
};

Json to_json(const ControllerIncarnation& incarnation);
// Parses the array [member, incarnation]; nullopt if the value is malformed.
std::optional<ControllerIncarnation> parse_incarnation(const Json& value);

// The record that each member keeps about itself. It is attached to the member's lease in the state
// service and removed with it.
struct Member {
  ControllerIncarnation incarnation;
  bool reaches_others = false;  // it can reach at least one other member
  std::uint64_t format = 1;     // the latest format of stored records that it can read
  // The time to live of its lease, after which its authority ends. Not stated by earlier versions.
  std::optional<base::Seconds> lease_ttl{};
};

Json to_json(const Member& member);
// Parses a member record; nullopt if the value is malformed.
std::optional<Member> parse_member(const Json& value);

// The membership view: the members among which the ownership of the machines is divided.
struct View {
  Epoch epoch;
  std::vector<ControllerIncarnation> members;
  // Owners of machines that cannot reach the member to which the hash assigns them.
  std::map<MachineId, MemberId> overrides;
  bool operator==(const View&) const = default;
};

Json to_json(const View& view);
// Parses a membership view; nullopt if the value is malformed.
std::optional<View> parse_view(const Json& value);

}  // namespace saddleslip::protocol
