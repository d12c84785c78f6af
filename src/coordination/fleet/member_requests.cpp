#include "coordination/fleet/member_requests.h"

#include <utility>

namespace saddleslip::coordination {

MachineRequests MemberRequests::take(const base::MemberId& owner) {
  const std::set<base::MachineId> cordon = std::exchange(cordon_[owner], {});
  const std::set<base::MachineId> drain = std::exchange(drain_[owner], {});
  return {{cordon.begin(), cordon.end()}, {drain.begin(), drain.end()}};
}

}  // namespace saddleslip::coordination
