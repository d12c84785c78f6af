// Where tasks are placed.
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

Group make_group(const Resources& request, std::size_t count, int tier) {
  Group group;
  group.request = request;
  group.count = count;
  group.tier = tier;
  return group;
}

// A request of as many gigabytes of memory as cores.
Resources make_even(double cores) {
  return make_resources(cores, cores);
}

}  // namespace

// s = (1/8, 1/4), r = (4/8, 8/32): the dot product over the squared length of r.
TEST(Packing, ScoreOfARequestIsItsScalarProjectionOnTheFreeCapacity) {
  EXPECT_NEAR(score(make_resources(1, 8), make_resources(4, 8), make_resources(8, 32)),
              (0.125 * 0.5 + 0.25 * 0.25) / (0.25 + 0.0625), 1e-12);
}

TEST(Packing, ResourceThatNoMachineHasIsNotScored) {
  EXPECT_NEAR(score(make_resources(1, 8), make_resources(4, 8), make_resources(8, 0)),
              0.125 * 0.5 / 0.25, 1e-12);
}

TEST(Packing, SeveralPairsFitTheBestIsPlacedFirst) {
  std::vector<Group> groups = {make_group(make_even(1), 1, 0), make_group(make_even(4), 1, 0)};
  std::vector<Bin> bins = {{make_even(8)}, {make_even(4)}};
  const auto placements = pack(groups, bins, make_even(8));
  ASSERT_EQ(placements.size(), 2u);
  EXPECT_EQ(placements[0].group, 1u);
  EXPECT_EQ(placements[0].bin, 1u);
  EXPECT_EQ(placements[1].bin, 0u);
}

TEST(Packing, GroupsOfSeveralTiersArePlacedByTierWithoutOverfilling) {
  std::vector<Group> groups = {make_group(make_even(4), 3, 1), make_group(make_even(1), 2, 0)};
  std::vector<Bin> bins = {{make_even(4)}, {make_even(5)}};
  const auto placements = pack(groups, bins, make_even(5));
  ASSERT_EQ(placements.size(), 3u);
  EXPECT_EQ(placements[0].group, 1u);
  EXPECT_EQ(placements[1].group, 1u);
  for (const Bin& bin : bins) EXPECT_GE(bin.free.cores(), 0);
}

namespace {

// A place in the order of tiers and, within a tier, of passes.
struct Precedence {
  int tier = 0, pass = 0;
  auto operator<=>(const Precedence&) const = default;
};

// None: the group may not be placed there.
std::optional<Precedence> precedence_of(const Group& group, const Bin& bin, std::size_t index) {
  const int pass = group.pass ? group.pass(index) : 0;
  if (group.count == 0 || !bin.free.fits(group.request) || pass < 0) return std::nullopt;
  if (group.allowed && !group.allowed(index)) return std::nullopt;
  return Precedence{group.tier, pass};
}

// The definition, without any optimization: of all pairs that fit, again and again the best one.
std::vector<Placement> pack_by_definition(std::vector<Group> groups, std::vector<Bin> bins,
                                          const Resources& scale) {
  std::vector<Placement> out;
  for (;;) {
    std::optional<Placement> best;
    Precedence first;
    for (std::size_t b = 0; b < bins.size(); ++b) {
      for (std::size_t g = 0; g < groups.size(); ++g) {
        const auto precedence = precedence_of(groups[g], bins[b], b);
        if (!precedence) continue;
        const double s = score(groups[g].request, bins[b].free, scale);
        if (best && (*precedence > first || (*precedence == first && s <= best->score))) continue;
        best = Placement{g, b, s};
        first = *precedence;
      }
    }
    if (!best) return out;
    out.push_back(*best);
    --groups[best->group].count;
    bins[best->bin].free -= groups[best->group].request;
    if (groups[best->group].placed) groups[best->group].placed(best->bin);
  }
}

// Random instances with the rules that quotas and zones bring in. The same seed gives the same ones.
class RandomInstances {
 public:
  std::vector<Bin> make_bins() {
    std::vector<Bin> bins;
    for (int b = 0, n = 1 + pick(9); b < n; ++b)
      bins.push_back({make_resources(2 + 2 * pick(4), 4 * pick(6))});
    return bins;
  }
  std::vector<Group> make_groups() {
    std::vector<Group> groups;
    for (int g = 0, n = 1 + pick(8); g < n; ++g) {
      const Resources request = make_resources(1 + pick(3), 2 * pick(3));
      const auto count = static_cast<std::size_t>(pick(6));
      Group group = make_group(request, count, pick(3));
      const int salt = pick(5);
      if (salt > 0) {
        group.pass = [salt](std::size_t b) {
          return static_cast<int>((b * 7 + 3u) % 4) - salt / 4;
        };
      }
      groups.push_back(std::move(group));
    }
    return groups;
  }
  int make_budget() { return 4 + pick(30); }

 private:
  int pick(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }

  std::mt19937 random_{7};
};

// The groups share a budget, as of a quota, and may have to keep to one half of the bins, as to a zone.
std::vector<Group> with_rules(std::vector<Group> groups, int budget) {
  struct Rules {
    int budget = 0;
    int half = -1;
  };
  const auto rules = std::make_shared<Rules>(Rules{budget, -1});
  for (Group& group : groups) {
    group.allowed = [rules](std::size_t b) {
      return rules->budget > 0 && (rules->half < 0 || rules->half == static_cast<int>(b % 2));
    };
    group.placed = [rules](std::size_t b) {
      --rules->budget;
      if (rules->budget % 3 == 0) rules->half = static_cast<int>(b % 2);
    };
  }
  return groups;
}

}  // namespace

TEST(Packing, RandomInstancesArePackedAsTheDefinitionSaysTiesIncluded) {
  RandomInstances random;
  for (int instance = 0; instance < 300; ++instance) {
    auto bins = random.make_bins();
    const auto groups = random.make_groups();
    const int budget = random.make_budget();
    const Resources scale = make_resources(8, 20);
    const auto expected = pack_by_definition(with_rules(groups, budget), bins, scale);
    auto with_budget = with_rules(groups, budget);
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
