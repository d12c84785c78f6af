// How long machines take to boot: whether one that was rented can still be
// counted on.
//
// Most machines report within twice the usual boot time of their type. At times
// all of a kind take several times as long, and a few never report. An overdue
// machine is judged by the recent boots of its kind: given up too early, a
// second fleet is rented for the same work; too late, work waits for machines
// that never come.
//
// Holds state only; takes the time as an argument. Not safe for use from
// several threads at once.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"
#include "coordination/fleet/scaling_plan.h"

namespace saddleslip::coordination {

// How many machines of one type, of whatever zone, are rented and have not
// reported.
struct BootingCount {
  std::size_t overdue = 0;  // later than is usual for the type
};

class BootTracker {
 public:
  // A machine of this kind first reported so long after it was rented.
  void record_boot(const MachineKind& kind, base::Seconds took, base::Time now);

  // Is a machine of this age later than its type's usual boot time explains?
  static bool is_overdue(base::Seconds age, base::Seconds usual_boot_time);
  // May it be counted as future capacity? `all` are the machines of its type
  // that have not reported.
  bool is_likely(const MachineKind& kind, base::Seconds age, base::Seconds usual_boot_time,
                 const BootingCount& all, base::Time now) const;
  // Has it taken so long that it is to be released?
  bool is_given_up(const MachineKind& kind, base::Seconds age, base::Seconds usual_boot_time,
                   base::Time now) const;

 private:
  struct Boot {
    base::Time reported_at{};
    base::Seconds took{0};
  };
  struct RecentBoots {
    std::size_t count = 0;
    base::Seconds slowest{0};
  };

  RecentBoots recent(const MachineKind& kind, base::Time now) const;
  std::size_t recent_of_type(const std::string& type, base::Time now) const;

  std::map<MachineKind, std::deque<Boot>> boots_;
};

}  // namespace saddleslip::coordination
