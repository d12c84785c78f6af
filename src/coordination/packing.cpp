#include "coordination/packing.h"

#include <algorithm>
#include <set>

namespace saddleslip::coordination {

double score(const Resources& need, const Resources& free, const Resources& scale) {
  double dot = 0, length = 0;
  for (std::size_t i = 0; i < scale.v.size(); ++i) {
    if (scale.v[i] <= 0) continue;
    const double s = need.v[i] / scale.v[i], r = free.v[i] / scale.v[i];
    dot += s * r;
    length += r * r;
  }
  return length > 0 ? dot / length : 0;
}

std::vector<Placement> pack(std::vector<Group>& groups, std::vector<Bin>& bins,
                            const Resources& scale) {
  struct Best {
    double score = -1;
    std::size_t group = 0;
  };
  std::vector<Placement> placements;
  std::set<int> tiers;
  for (const Group& g : groups) tiers.insert(g.tier);
  for (const int tier : tiers) {
    std::vector<Best> best(bins.size());
    const auto rescore = [&](std::size_t b) {
      best[b] = Best{};
      for (std::size_t g = 0; g < groups.size(); ++g) {
        const Group& group = groups[g];
        if (group.tier != tier || group.count == 0 || !bins[b].free.fits(group.need) ||
            (group.allowed && !group.allowed(b))) {
          continue;
        }
        const double s = score(group.need, bins[b].free, scale);
        if (s > best[b].score) best[b] = {s, g};
      }
    };
    for (std::size_t b = 0; b < bins.size(); ++b) rescore(b);
    for (;;) {
      std::size_t at = bins.size();
      for (std::size_t b = 0; b < bins.size(); ++b) {
        if (best[b].score >= 0 && (at == bins.size() || best[b].score > best[at].score)) at = b;
      }
      if (at == bins.size()) break;
      Group& group = groups[best[at].group];
      // Other placements may have used up the group, its zone or its team's limit meanwhile.
      if (group.count == 0 || (group.allowed && !group.allowed(at))) {
        rescore(at);
        continue;
      }
      placements.push_back({best[at].group, at, best[at].score});
      --group.count;
      bins[at].free -= group.need;
      if (group.placed) group.placed(at);
      rescore(at);
    }
  }
  return placements;
}

}  // namespace saddleslip::coordination
