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
  Resources need;
  std::size_t count = 0;
  int tier = 0;                                  // lower ones are packed first
  std::function<bool(std::size_t bin)> allowed;  // asked anew after each placement
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

double score(const Resources& need, const Resources& free, const Resources& scale);

// `scale`: the largest capacity of a reporting machine, for each resource; a resource that no
// machine has is dropped. Within a tier the pair with the highest score goes first, and only the
// machine that was touched is scored again.
std::vector<Placement> pack(std::vector<Group>& groups, std::vector<Bin>& bins,
                            const Resources& scale);

}  // namespace saddleslip::coordination
