// Vector bin packing: assigns waiting tasks to machines.
//
// The score is the dot product of the heuristic for heterogeneous bins (Gabay and Zaourar, section
// 3.3), divided by the squared length of the vector of free capacity. Pure functions without state.
#pragma once

#include <functional>
#include <vector>

#include "protocol/messages.h"

namespace saddleslip::coordination {

using protocol::Resources;

// Waiting tasks with the same resource request, precedence and placement constraints.
struct PackingGroup {
  Resources request;
  std::size_t count = 0;
  int tier = 0;  // groups of lower tiers are packed first
  // Returns the pass over the tier in which a bin is tried for this group: lower passes first, bins
  // with a negative pass never. Called once for each bin with enough capacity, so the result must
  // not change during packing. If unset, all bins are in pass 0.
  std::function<int(std::size_t bin)> pass_for_bin;
  // Returns whether one more task of the group may be placed in the bin; called before each
  // placement. A rejected bin stays rejected until packing ends, since capacity, quotas and zones
  // only fill up. If unset, every placement is allowed.
  std::function<bool(std::size_t bin)> may_place;
  // Called after each placement of a task of the group. May be unset.
  std::function<void(std::size_t bin)> on_placed;
};

// A machine's free capacity, less the requests of the tasks placed there.
struct Bin {
  Resources free;
};

// The placement of one task: the indexes of its group and of the bin, and the score of the pair.
struct Placement {
  std::size_t group;
  std::size_t bin;
  double score;
};

// Returns how well the request suits the free capacity; higher is better. Both are divided by
// `scale`, resource by resource; resources with a scale of 0 are ignored.
double score(const Resources& request, const Resources& free, const Resources& scale);

// Places the groups' tasks and returns the placements in the order in which they were made. Updates
// the groups' counts and the bins' free capacity. `scale` holds, for each resource, the largest
// capacity of any machine that sends heartbeats. Within a tier and pass, the pair of group and bin
// with the highest score is placed first; ties go to the bin with the lower index, then to the
// group with the lower index. After each placement only the changed bin is scored again.
std::vector<Placement> pack(std::vector<PackingGroup>& groups, std::vector<Bin>& bins,
                            const Resources& scale);

}  // namespace saddleslip::coordination
