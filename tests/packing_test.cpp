// Tests of the vector bin packing that places tasks on machines.
#include "coordination/scheduling/packing.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include "makers.h"

namespace saddleslip::coordination {

namespace {

using testing::make_resources;

PackingGroup make_group(const Resources& request, std::size_t count, int tier) {
  PackingGroup group;
  group.request = request;
  group.count = count;
  group.tier = tier;
  return group;
}

// Returns resources with equal numbers of cores and gigabytes of memory.
Resources make_equal_resources(double cores) {
  return make_resources(cores, cores);
}

}  // namespace

// With request shares (1/8, 1/4) and free shares (4/8, 8/32), the score is their dot product
// divided by the squared length of the free shares.
TEST(Packing, ScoreIsDotProductOverSquaredLengthOfFreeCapacity) {
  EXPECT_NEAR(score(make_resources(1, 8), make_resources(4, 8), make_resources(8, 32)),
              (0.125 * 0.5 + 0.25 * 0.25) / (0.25 + 0.0625), 1e-12);
}

TEST(Packing, ScoreIgnoresResourceThatNoMachineHas) {
  EXPECT_NEAR(score(make_resources(1, 8), make_resources(4, 8), make_resources(8, 0)),
              0.125 * 0.5 / 0.25, 1e-12);
}

TEST(Packing, PairWithTheHighestScoreIsPlacedFirst) {
  std::vector<PackingGroup> groups = {make_group(make_equal_resources(1), 1, 0),
                                      make_group(make_equal_resources(4), 1, 0)};
  std::vector<Bin> bins = {{make_equal_resources(8)}, {make_equal_resources(4)}};
  const auto placements = pack(groups, bins, make_equal_resources(8));
  ASSERT_EQ(placements.size(), 2u);
  EXPECT_EQ(placements[0].group, 1u);
  EXPECT_EQ(placements[0].bin, 1u);
  EXPECT_EQ(placements[1].bin, 0u);
}

TEST(Packing, LowerTiersArePlacedFirstWithoutExceedingCapacity) {
  std::vector<PackingGroup> groups = {make_group(make_equal_resources(4), 3, 1),
                                      make_group(make_equal_resources(1), 2, 0)};
  std::vector<Bin> bins = {{make_equal_resources(4)}, {make_equal_resources(5)}};
  const auto placements = pack(groups, bins, make_equal_resources(5));
  ASSERT_EQ(placements.size(), 3u);
  EXPECT_EQ(placements[0].group, 1u);
  EXPECT_EQ(placements[1].group, 1u);
  for (const Bin& bin : bins) EXPECT_GE(bin.free.cores(), 0);
}

namespace {

// The order of placement: by tier and, within a tier, by pass.
struct Precedence {
  int tier = 0, pass = 0;
  auto operator<=>(const Precedence&) const = default;
};

// Returns the precedence of placing a task of the group in the bin, or nullopt if that is not
// possible.
std::optional<Precedence> precedence_of(const PackingGroup& group, const Bin& bin,
                                        std::size_t bin_index) {
  const int pass = group.pass_for_bin ? group.pass_for_bin(bin_index) : 0;
  if (group.count == 0 || !bin.free.fits(group.request) || pass < 0) return std::nullopt;
  if (group.may_place && !group.may_place(bin_index)) return std::nullopt;
  return Precedence{group.tier, pass};
}

// Reference implementation without optimizations: repeatedly places the best of all pairs that fit.
std::vector<Placement> pack_by_reference(std::vector<PackingGroup> groups, std::vector<Bin> bins,
                                         const Resources& scale) {
  std::vector<Placement> placements;
  for (;;) {
    std::optional<Placement> best;
    Precedence best_precedence;
    for (std::size_t bin = 0; bin < bins.size(); ++bin) {
      for (std::size_t group = 0; group < groups.size(); ++group) {
        const auto precedence = precedence_of(groups[group], bins[bin], bin);
        if (!precedence) continue;
        const double pair_score = score(groups[group].request, bins[bin].free, scale);
        if (best && (*precedence > best_precedence ||
                     (*precedence == best_precedence && pair_score <= best->score)))
          continue;
        best = Placement{group, bin, pair_score};
        best_precedence = *precedence;
      }
    }
    if (!best) return placements;
    placements.push_back(*best);
    --groups[best->group].count;
    bins[best->bin].free -= groups[best->group].request;
    if (groups[best->group].on_placed) groups[best->group].on_placed(best->bin);
  }
}

// Generates random packing instances. The seed is fixed, so every run tests the same instances.
class RandomInstances {
 public:
  std::vector<Bin> make_bins() {
    std::vector<Bin> bins;
    for (int bin = 0, count = 1 + pick(9); bin < count; ++bin)
      bins.push_back({make_resources(2 + 2 * pick(4), 4 * pick(6))});
    return bins;
  }
  std::vector<PackingGroup> make_groups() {
    std::vector<PackingGroup> groups;
    for (int group_index = 0, group_count = 1 + pick(8); group_index < group_count; ++group_index) {
      const Resources request = make_resources(1 + pick(3), 2 * pick(3));
      const auto count = static_cast<std::size_t>(pick(6));
      PackingGroup group = make_group(request, count, pick(3));
      const int salt = pick(5);
      if (salt > 0) {
        group.pass_for_bin = [salt](std::size_t bin) {
          return static_cast<int>((bin * 7 + 3u) % 4) - salt / 4;
        };
      }
      groups.push_back(std::move(group));
    }
    return groups;
  }
  int make_budget() { return 4 + pick(30); }

 private:
  int pick(int count) { return static_cast<int>(random_() % static_cast<unsigned>(count)); }

  std::mt19937 random_{7};
};

// Adds constraints like those of quotas and zones: all groups share a budget of placements, and
// some placements restrict later ones to one half of the bins.
std::vector<PackingGroup> with_constraints(std::vector<PackingGroup> groups, int budget) {
  struct Constraints {
    int budget = 0;
    int half = -1;
  };
  const auto constraints = std::make_shared<Constraints>(Constraints{budget, -1});
  for (PackingGroup& group : groups) {
    group.may_place = [constraints](std::size_t bin) {
      return constraints->budget > 0 &&
             (constraints->half < 0 || constraints->half == static_cast<int>(bin % 2));
    };
    group.on_placed = [constraints](std::size_t bin) {
      --constraints->budget;
      if (constraints->budget % 3 == 0) constraints->half = static_cast<int>(bin % 2);
    };
  }
  return groups;
}

}  // namespace

TEST(Packing, RandomInstancesArePackedAsByReferenceIncludingTies) {
  RandomInstances random;
  for (int instance = 0; instance < 300; ++instance) {
    auto bins = random.make_bins();
    const auto groups = random.make_groups();
    const int budget = random.make_budget();
    const Resources scale = make_resources(8, 20);
    const auto expected = pack_by_reference(with_constraints(groups, budget), bins, scale);
    auto with_budget = with_constraints(groups, budget);
    const auto placements = pack(with_budget, bins, scale);
    ASSERT_EQ(placements.size(), expected.size()) << "instance " << instance;
    for (std::size_t i = 0; i < placements.size(); ++i) {
      ASSERT_EQ(placements[i].group, expected[i].group)
          << "instance " << instance << ", placement " << i;
      ASSERT_EQ(placements[i].bin, expected[i].bin)
          << "instance " << instance << ", placement " << i;
    }
  }
}

}  // namespace saddleslip::coordination
