// Tracks boot times, to decide whether a rented machine still counts as future capacity.
//
// Most machines report within twice the usual boot time of their type. Sometimes all machines of a
// kind take several times as long, and a few never report. An overdue machine is therefore judged
// by the recent boots of its kind: if it is given up too early, a second fleet is rented for the
// same work; if too late, work waits for machines that never come up.
//
// Holds state only; takes the time as an argument. Not thread-safe.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/clock.h"
#include "coordination/fleet/scaling_plan.h"

namespace saddleslip::coordination {

// Counts the rented machines of one type, in any zone, that have not reported yet.
struct BootingCount {
  std::size_t overdue = 0;  // machines that exceed the usual boot time of the type
};

// Records how long machines took to boot, by kind, and judges the machines that are still booting.
class BootTracker {
 public:
  // Records that a machine of this kind sent its first report this long after it was rented.
  void record_boot(const MachineKind& kind, base::Seconds boot_duration, base::Time now);

  // Returns whether a booting machine of this age exceeds the usual boot time of its type, with a
  // margin.
  static bool is_overdue(base::Seconds age, base::Seconds usual_boot_time);
  // Returns whether a booting machine counts as future capacity. `booting` counts the machines of
  // the same type that have not reported.
  bool is_likely_to_boot(const MachineKind& kind, base::Seconds age, base::Seconds usual_boot_time,
                         const BootingCount& booting, base::Time now) const;
  // Returns whether a machine has been booting for so long that it is to be released.
  bool has_failed_to_boot(const MachineKind& kind, base::Seconds age, base::Seconds usual_boot_time,
                          base::Time now) const;

 private:
  // A completed boot.
  struct Boot {
    base::Time reported_at{};
    base::Seconds boot_duration{0};
  };
  // A summary of the recent boots of one kind.
  struct RecentBoots {
    std::size_t count = 0;
    base::Seconds slowest{0};
  };

  // Returns the number and the longest duration of the recent boots of one kind.
  RecentBoots recent(const MachineKind& kind, base::Time now) const;
  // Returns the number of recent boots of all kinds of one machine type.
  std::size_t recent_of_type(const std::string& type, base::Time now) const;

  std::map<MachineKind, std::deque<Boot>> boots_;
};

}  // namespace saddleslip::coordination
