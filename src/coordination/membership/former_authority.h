// Until when the members of earlier views may still act as owners of their machines.
//
// A member that has not received a newer view answers workers until its own lease expires. The time
// to live of that lease is a setting of that member, and it differs between the members while the
// operators change it. So it is taken from the member's record, never from the own settings.
//
// Holds state only; calls take the time as an argument. Not safe for use from several threads at
// once.
#pragma once

#include <map>
#include <optional>

#include "base/settings.h"
#include "protocol/records.h"

namespace saddleslip::coordination {

// Bounds the authority of all members of the views before the installed one.
class FormerAuthority {
 public:
  // The settings must outlive this object.
  explicit FormerAuthority(const base::Settings& settings) : settings_(settings) {}

  // Records the installation of a view. `members` are the member records at that time.
  // `follows_previous` says whether this process had installed the view before it.
  void record_view(const protocol::View& view,
                   const std::map<base::MemberId, protocol::Member>& members, bool follows_previous,
                   base::Time now);

  // Returns when the authority under earlier views has certainly ended. The time may have passed.
  base::Time ends_at() const { return ends_at_; }
  // Returns the time to live that a member of the installed view has stated; none if it is unknown.
  std::optional<base::Seconds> stated_ttl(const protocol::ControllerIncarnation& member) const;

 private:
  // Returns the longest time to live of the members of the installed view.
  base::Seconds longest_ttl() const;

  const base::Settings& settings_;
  // The time to live that each member of the installed view has stated. Members without an entry
  // run a version that does not state it, or their records were already deleted.
  std::map<protocol::ControllerIncarnation, base::Seconds> stated_ttls_;
  std::size_t member_count_ = 0;  // members of the installed view
  base::Time ends_at_{};
};

}  // namespace saddleslip::coordination
