#include "protocol/member_records.h"

#include <cmath>

namespace saddleslip::protocol {

namespace {

// JSON field names of member records and of the membership view.
constexpr const char* kIncarnation = "life";
constexpr const char* kReachesOthers = "reaches";
constexpr const char* kFormatField = "format";
constexpr const char* kLeaseTtlMs = "ttl_ms";
constexpr const char* kEpoch = "epoch";
constexpr const char* kMembersField = "members";
constexpr const char* kOverrides = "pins";  // object: member id -> array of machine ids

constexpr double kMillisecondsPerSecond = 1000;
// The state service grants no longer lease.
constexpr std::uint64_t kMaxLeaseTtlMs = 600'000;

// Returns whether the field `field` of the JSON object `object` is an array.
bool has_array(const Json& object, const char* field) {
  return object.contains(field) && object.at(field).is_array();
}

// Adds the ownership overrides to the view. Returns false if they are malformed.
bool read_overrides(const Json& overrides, View& view) {
  for (const auto& [member, machines] : overrides.items()) {
    if (!machines.is_array()) return false;
    for (const Json& machine : machines) {
      if (!machine.is_string()) return false;
      view.overrides[MachineId(machine.get<std::string>())] = MemberId(member);
    }
  }
  return true;
}

}  // namespace

Json to_json(const ControllerIncarnation& incarnation) {
  return Json::array({incarnation.member.get(), incarnation.incarnation.get()});
}

std::optional<ControllerIncarnation> parse_incarnation(const Json& value) {
  if (!value.is_array() || value.size() != 2) return {};
  if (!value[0].is_string() || !value[1].is_number_unsigned()) return {};
  return ControllerIncarnation{MemberId(value[0].get<std::string>()),
                               Incarnation(value[1].get<std::uint64_t>())};
}

Json to_json(const Member& member) {
  Json json = {{kIncarnation, to_json(member.incarnation)},
               {kReachesOthers, member.reaches_others},
               {kFormatField, member.format}};
  if (member.lease_ttl) {
    json[kLeaseTtlMs] =
        static_cast<std::uint64_t>(std::ceil(member.lease_ttl->count() * kMillisecondsPerSecond));
  }
  return json;
}

std::optional<Member> parse_member(const Json& value) {
  if (!value.is_object() || !value.contains(kIncarnation)) return {};
  const auto incarnation = parse_incarnation(value.at(kIncarnation));
  if (!incarnation) return {};
  Member member;
  member.incarnation = *incarnation;
  member.reaches_others = value.contains(kReachesOthers) && value.at(kReachesOthers) == true;
  const auto format = value.find(kFormatField);
  if (format != value.end() && format->is_number_unsigned()) {
    member.format = format->get<std::uint64_t>();
  }
  const auto ttl = value.find(kLeaseTtlMs);
  if (ttl != value.end() && ttl->is_number_unsigned() &&
      ttl->get<std::uint64_t>() <= kMaxLeaseTtlMs) {
    member.lease_ttl =
        base::Seconds(static_cast<double>(ttl->get<std::uint64_t>()) / kMillisecondsPerSecond);
  }
  return member;
}

Json to_json(const View& view) {
  Json members = Json::array();
  for (const ControllerIncarnation& member : view.members) members.push_back(to_json(member));
  Json json = {{kEpoch, view.epoch.get()}, {kMembersField, std::move(members)}};
  // Grouped by member to keep the record small: a member that loses contact with its workers hands
  // over hundreds of machines at once.
  for (const auto& [machine, member] : view.overrides) {
    json[kOverrides][member.get()].push_back(machine.get());
  }
  return json;
}

std::optional<View> parse_view(const Json& value) {
  if (!value.is_object() || !value.contains(kEpoch) || !has_array(value, kMembersField)) return {};
  if (!value.at(kEpoch).is_number_unsigned()) return {};
  View view;
  view.epoch = Epoch(value.at(kEpoch).get<std::uint64_t>());
  for (const Json& entry : value.at(kMembersField)) {
    const auto member = parse_incarnation(entry);
    if (!member) return {};
    view.members.push_back(*member);
  }
  const auto overrides = value.find(kOverrides);
  if (overrides != value.end() && overrides->is_object() && !read_overrides(*overrides, view)) {
    return {};
  }
  return view;
}

}  // namespace saddleslip::protocol
