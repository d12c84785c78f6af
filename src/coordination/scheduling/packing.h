// Vector bin packing: which of the waiting tasks go to which machines.
//
// The score is the dot product of the heuristic for heterogeneous bins (Gabay and Zaourar, section 3.3),
// weighted by one over the squared length of the free capacity. Pure functions without state.
#pragma once

#include <functional>
#include <vector>

#include "protocol/messages.h"

namespace saddleslip::coordination {

using protocol::Resources;

// Tasks with the same request, precedence and constraints.
struct Group {
  Resources request;
  std::size_t count = 0;
  int tier = 0;  // lower ones are packed first
  // In which pass over the tier the bin is tried: lower ones first, below 0 never. Must not change
  // while packing: asked once for each bin with capacity. Unset: 0 for all bins.
  std::function<int(std::size_t bin)> pass;
  // Asked before each placement. A bin that is refused once stays refused while packing, since
  // capacity, quotas and zones only ever fill up. Unset: all are allowed.
  std::function<bool(std::size_t bin)> allowed;
  // Told of each placement.
  std::function<void(std::size_t bin)> placed;
};

// A machine's free capacity, reduced by what is placed there.
struct Bin {
  Resources free;
};

// One task of a group, by the indexes of the group and its bin.
struct Placement {
  std::size_t group;
  std::size_t bin;
  double score;
};

// How well the request suits the free capacity; higher is better. Resources with a scale of 0 are left
// out.
double score(const Resources& request, const Resources& free, const Resources& scale);

// Places the groups' tasks, and returns the placements in their order. Changes the groups' counts and
// the bins' free capacity. `scale` is the largest capacity of a reporting machine, by resource. Within a
// tier and pass, the pair of group and bin with the highest score goes first; among equals the one with
// the first bin, then the first group. Only the bin that was changed is scored again.
std::vector<Placement> pack(std::vector<Group>& groups, std::vector<Bin>& bins,
                            const Resources& scale);

}  // namespace saddleslip::coordination
