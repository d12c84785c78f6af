#include "coordination/scheduling/packing.h"

#include <algorithm>
#include <map>
#include <queue>

namespace saddleslip::coordination {

double score(const Resources& request, const Resources& free, const Resources& scale) {
  double dot_product = 0, squared_length = 0;
  for (std::size_t i = 0; i < scale.amounts.size(); ++i) {
    if (scale.amounts[i] <= 0) continue;
    const double request_share = request.amounts[i] / scale.amounts[i],
                 free_share = free.amounts[i] / scale.amounts[i];
    dot_product += request_share * free_share;
    squared_length += free_share * free_share;
  }
  return squared_length > 0 ? dot_product / squared_length : 0;
}

namespace {

// A bin and the groups of the current tier and pass that may still be placed in it.
struct BinCandidate {
  std::size_t bin;
  std::vector<std::size_t> groups;
};

// The best group for a bin at the time of scoring. When a bin is scored again, its earlier entries
// stay in the queue; an entry is outdated if its generation is not the latest one of its candidate.
struct QueueEntry {
  double score;
  std::size_t bin;
  std::size_t candidate;
  std::size_t group;
  std::uint32_t generation;

  // The largest entry comes first in std::priority_queue: the highest score, then the lowest bin.
  bool operator<(const QueueEntry& other) const {
    return score != other.score ? score < other.score : bin > other.bin;
  }
};

void pack_pass(std::vector<PackingGroup>& groups, std::vector<Bin>& bins, const Resources& scale,
               std::vector<BinCandidate>& candidates, std::vector<Placement>& placements) {
  std::vector<std::uint32_t> generations(candidates.size(), 0);
  std::priority_queue<QueueEntry> queue;
  const auto rescore = [&](std::size_t candidate_index) {
    BinCandidate& candidate = candidates[candidate_index];
    const Resources& free = bins[candidate.bin].free;
    // Dropping groups is final: during packing, free capacity and group counts only decrease.
    std::erase_if(candidate.groups, [&](std::size_t group_index) {
      return groups[group_index].count == 0 || !free.fits(groups[group_index].request);
    });
    ++generations[candidate_index];
    if (candidate.groups.empty()) return;
    QueueEntry best{-1, candidate.bin, candidate_index, 0, generations[candidate_index]};
    for (const std::size_t group_index : candidate.groups) {
      const double group_score = score(groups[group_index].request, free, scale);
      if (group_score > best.score) {
        best.score = group_score;
        best.group = group_index;
      }
    }
    queue.push(best);
  };
  for (std::size_t candidate_index = 0; candidate_index < candidates.size(); ++candidate_index)
    rescore(candidate_index);
  while (!queue.empty()) {
    const QueueEntry top = queue.top();
    queue.pop();
    if (top.generation != generations[top.candidate]) continue;
    PackingGroup& group = groups[top.group];
    // Placements in other bins may have exhausted the group, its zone or its team's quota since
    // scoring.
    const bool can_place = group.count > 0 && (!group.may_place || group.may_place(top.bin));
    if (can_place) {
      placements.push_back({top.group, top.bin, top.score});
      --group.count;
      bins[top.bin].free -= group.request;
      if (group.on_placed) group.on_placed(top.bin);
    } else {
      std::erase(candidates[top.candidate].groups, top.group);
    }
    rescore(top.candidate);
  }
}

// Returns, for each resource, the smallest request of these groups. No group fits a bin with less
// free capacity.
Resources minimum_request(const std::vector<PackingGroup>& groups,
                          const std::vector<std::size_t>& group_indices) {
  Resources minimum = groups[group_indices.front()].request;
  for (const std::size_t group : group_indices) {
    for (std::size_t i = 0; i < minimum.amounts.size(); ++i) {
      minimum.amounts[i] = std::min(minimum.amounts[i], groups[group].request.amounts[i]);
    }
  }
  return minimum;
}

// Returns the bins with room for the smallest request of these groups. The other bins stay
// unusable, since free capacity only decreases during packing.
std::vector<std::size_t> find_usable_bins(const std::vector<PackingGroup>& groups,
                                          const std::vector<std::size_t>& group_indices,
                                          const std::vector<Bin>& bins) {
  std::vector<std::size_t> usable;
  if (group_indices.empty()) return usable;
  const Resources minimum = minimum_request(groups, group_indices);
  for (std::size_t bin = 0; bin < bins.size(); ++bin) {
    if (bins[bin].free.fits(minimum)) usable.push_back(bin);
  }
  return usable;
}

// Returns those of the usable bins in which tasks of these groups may be placed, by pass.
std::map<int, std::vector<BinCandidate>> candidates_by_pass(
    const std::vector<PackingGroup>& groups, const std::vector<std::size_t>& tier_groups,
    const std::vector<Bin>& bins, const std::vector<std::size_t>& usable_bins) {
  const Resources minimum = minimum_request(groups, tier_groups);
  std::map<int, std::vector<BinCandidate>> passes;
  for (const std::size_t bin : usable_bins) {
    if (!bins[bin].free.fits(minimum)) continue;
    for (const std::size_t group : tier_groups) {
      if (!bins[bin].free.fits(groups[group].request)) continue;
      const int pass = groups[group].pass_for_bin ? groups[group].pass_for_bin(bin) : 0;
      if (pass < 0) continue;
      auto& candidates = passes[pass];
      if (candidates.empty() || candidates.back().bin != bin) candidates.push_back({bin, {}});
      candidates.back().groups.push_back(group);
    }
  }
  return passes;
}

}  // namespace

std::vector<Placement> pack(std::vector<PackingGroup>& groups, std::vector<Bin>& bins,
                            const Resources& scale) {
  std::vector<Placement> placements;
  std::map<int, std::vector<std::size_t>> tiers;
  std::vector<std::size_t> waiting_groups;
  for (std::size_t group = 0; group < groups.size(); ++group) {
    if (groups[group].count == 0) continue;
    tiers[groups[group].tier].push_back(group);
    waiting_groups.push_back(group);
  }
  const std::vector<std::size_t> usable_bins = find_usable_bins(groups, waiting_groups, bins);
  for (const auto& [tier, tier_groups] : tiers) {
    const auto is_placed = [&groups](std::size_t group) { return groups[group].count == 0; };
    auto passes = candidates_by_pass(groups, tier_groups, bins, usable_bins);
    for (auto& [pass, candidates] : passes) {
      if (std::all_of(tier_groups.begin(), tier_groups.end(), is_placed)) break;
      pack_pass(groups, bins, scale, candidates, placements);
    }
  }
  return placements;
}

}  // namespace saddleslip::coordination
