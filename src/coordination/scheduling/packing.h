// The packing of the design: the dot product of the heterogeneous vector bin packing heuristic
// (Gabay and Zaourar, section 3.3), weighted by one over the squared length of the free room.
#pragma once

#include <functional>
#include <vector>

#include "protocol/messages.h"

namespace saddleslip::coordination {

using protocol::Resources;

// Tasks that are alike.
struct Group {
  Resources request;
  std::size_t count = 0;
  int tier = 0;  // lower ones are packed first
  // Which bins come first within the tier: lower ones do; below 0: never. Fixed while packing, and
  // asked once for each bin with room.
  std::function<int(std::size_t bin)> pass;
  // Asked anew before each placement. What was refused once stays refused while packing: room,
  // limits and places only ever fill up.
  std::function<bool(std::size_t bin)> allowed;
  std::function<void(std::size_t bin)> placed;
};

struct Bin {
  Resources free;
};

struct Placement {
  std::size_t group;
  std::size_t bin;
  double score;
};

double score(const Resources& request, const Resources& free, const Resources& scale);

// `scale`: the largest capacity of a reporting machine, for each resource; a resource that no
// machine has is dropped. Within a tier and pass the pair with the highest score goes first (among
// equals the first bin's, then the first group's), and only the machine that was touched is scored
// again.
std::vector<Placement> pack(std::vector<Group>& groups, std::vector<Bin>& bins,
                            const Resources& scale);

}  // namespace saddleslip::coordination
