// The records of the controllers that make up the service.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// One run of a controller's process. No two runs of one member have the same incarnation.
struct ControllerIncarnation {
  MemberId member;
  Incarnation incarnation;
  auto operator<=>(const ControllerIncarnation&) const = default;
};

Json to_json(const ControllerIncarnation& incarnation);
// None if the value is malformed.
std::optional<ControllerIncarnation> parse_incarnation(const Json& value);

// A member's own record, under its lease.
struct Member {
  ControllerIncarnation incarnation;
  bool reaches = false;      // it reaches at least one other member
  std::uint64_t format = 1;  // the latest format of records that it reads
};

Json to_json(const Member& member);
// None if the value is malformed.
std::optional<Member> parse_member(const Json& value);

// The membership view: who shares out the machines.
struct View {
  Epoch epoch;
  std::vector<ControllerIncarnation> members;
  // Machines that cannot reach the member that the hash names, and who owns them instead.
  std::map<MachineId, MemberId> overrides;
  bool operator==(const View&) const = default;
};

Json to_json(const View& view);
// None if the value is malformed.
std::optional<View> parse_view(const Json& value);

}  // namespace saddleslip::protocol
