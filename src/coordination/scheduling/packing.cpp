#include "coordination/scheduling/packing.h"

#include <algorithm>
#include <map>
#include <queue>

namespace saddleslip::coordination {

double score(const Resources& request, const Resources& free, const Resources& scale) {
  double dot = 0, length = 0;
  for (std::size_t i = 0; i < scale.v.size(); ++i) {
    if (scale.v[i] <= 0) continue;
    const double s = request.v[i] / scale.v[i], r = free.v[i] / scale.v[i];
    dot += s * r;
    length += r * r;
  }
  return length > 0 ? dot / length : 0;
}

namespace {

// The groups of one tier and pass that a bin may still take.
struct Candidate {
  std::size_t bin;
  std::vector<std::size_t> groups;
};

// A bin's best pair. Entries stay in the queue when their bin is scored again: an outdated one is known
// by its turn.
struct Entry {
  double score;
  std::size_t bin;
  std::size_t candidate;
  std::size_t group;
  std::uint32_t turn;

  // std::priority_queue puts the largest first: the highest score, then the first bin.
  bool operator<(const Entry& o) const { return score != o.score ? score < o.score : bin > o.bin; }
};

void pack_pass(std::vector<Group>& groups, std::vector<Bin>& bins, const Resources& scale,
               std::vector<Candidate>& candidates, std::vector<Placement>& placements) {
  std::vector<std::uint32_t> turns(candidates.size(), 0);
  std::priority_queue<Entry> queue;
  const auto rescore = [&](std::size_t c) {
    Candidate& candidate = candidates[c];
    const Resources& free = bins[candidate.bin].free;
    // Capacity only shrinks, and a group that is used up stays so.
    std::erase_if(candidate.groups, [&](std::size_t g) {
      return groups[g].count == 0 || !free.fits(groups[g].request);
    });
    ++turns[c];
    if (candidate.groups.empty()) return;
    Entry best{-1, candidate.bin, c, 0, turns[c]};
    for (const std::size_t g : candidate.groups) {
      const double s = score(groups[g].request, free, scale);
      if (s > best.score) {
        best.score = s;
        best.group = g;
      }
    }
    queue.push(best);
  };
  for (std::size_t c = 0; c < candidates.size(); ++c) rescore(c);
  while (!queue.empty()) {
    const Entry top = queue.top();
    queue.pop();
    if (top.turn != turns[top.candidate]) continue;
    Group& group = groups[top.group];
    // Other placements may have used up the group, its zone or its team's quota meanwhile.
    const bool may = group.count > 0 && (!group.allowed || group.allowed(top.bin));
    if (may) {
      placements.push_back({top.group, top.bin, top.score});
      --group.count;
      bins[top.bin].free -= group.request;
      if (group.placed) group.placed(top.bin);
    } else {
      std::erase(candidates[top.candidate].groups, top.group);
    }
    rescore(top.candidate);
  }
}

// The least that any of these groups requests of each resource: a bin without that much free fits none.
Resources least_request(const std::vector<Group>& groups, const std::vector<std::size_t>& members) {
  Resources least = groups[members.front()].request;
  for (const std::size_t g : members) {
    for (std::size_t i = 0; i < least.v.size(); ++i) {
      least.v[i] = std::min(least.v[i], groups[g].request.v[i]);
    }
  }
  return least;
}

// The bins that may take a task of these groups, by pass.
std::map<int, std::vector<Candidate>> candidates_by_pass(const std::vector<Group>& groups,
                                                         const std::vector<std::size_t>& members,
                                                         const std::vector<Bin>& bins) {
  const Resources least = least_request(groups, members);
  std::map<int, std::vector<Candidate>> passes;
  for (std::size_t b = 0; b < bins.size(); ++b) {
    if (!bins[b].free.fits(least)) continue;
    for (const std::size_t g : members) {
      if (!bins[b].free.fits(groups[g].request)) continue;
      const int pass = groups[g].pass ? groups[g].pass(b) : 0;
      if (pass < 0) continue;
      auto& candidates = passes[pass];
      if (candidates.empty() || candidates.back().bin != b) candidates.push_back({b, {}});
      candidates.back().groups.push_back(g);
    }
  }
  return passes;
}

}  // namespace

std::vector<Placement> pack(std::vector<Group>& groups, std::vector<Bin>& bins,
                            const Resources& scale) {
  std::vector<Placement> placements;
  std::map<int, std::vector<std::size_t>> tiers;
  for (std::size_t g = 0; g < groups.size(); ++g) {
    if (groups[g].count > 0) tiers[groups[g].tier].push_back(g);
  }
  for (const auto& [tier, members] : tiers) {
    const auto is_placed = [&groups](std::size_t g) { return groups[g].count == 0; };
    auto passes = candidates_by_pass(groups, members, bins);
    for (auto& [pass, candidates] : passes) {
      if (std::all_of(members.begin(), members.end(), is_placed)) break;
      pack_pass(groups, bins, scale, candidates, placements);
    }
  }
  return placements;
}

}  // namespace saddleslip::coordination
