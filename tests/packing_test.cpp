#include "coordination/scheduling/packing.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <random>

#include "coordination/fleet/scaling_plan.h"

namespace saddleslip::coordination {

Resources r(double cores, double memory) {
  Resources x;
  x.v = {cores, 0, memory};
  return x;
}

Group group(const Resources& need, std::size_t count, int tier) {
  Group g;
  g.request = need;
  g.count = count;
  g.tier = tier;
  return g;
}

TEST(Packing, ScoresTheScalarProjectionOnFreeRoom) {
  // s = (1/8, 1/4), r = (4/8, 8/32): the dot product over the squared length of r.
  EXPECT_NEAR(score(r(1, 8), r(4, 8), r(8, 32)), (0.125 * 0.5 + 0.25 * 0.25) / (0.25 + 0.0625),
              1e-12);
  // A resource that no machine has is dropped.
  EXPECT_NEAR(score(r(1, 8), r(4, 8), r(8, 0)), 0.125 * 0.5 / 0.25, 1e-12);
}

TEST(Packing, PutsTheBestPairFirst) {
  std::vector<Group> groups = {group(r(1, 1), 1, 0), group(r(4, 4), 1, 0)};
  std::vector<Bin> bins = {{r(8, 8)}, {r(4, 4)}};
  const auto p = pack(groups, bins, r(8, 8));
  ASSERT_EQ(p.size(), 2u);
  EXPECT_EQ(p[0].group, 1u);
  EXPECT_EQ(p[0].bin, 1u);
  EXPECT_EQ(p[1].bin, 0u);
}

TEST(Packing, GoesByTiersAndNeverOverfills) {
  std::vector<Group> groups = {group(r(4, 4), 3, 1), group(r(1, 1), 2, 0)};
  std::vector<Bin> bins = {{r(4, 4)}, {r(5, 5)}};
  const auto p = pack(groups, bins, r(5, 5));
  ASSERT_EQ(p.size(), 3u);
  EXPECT_EQ(p[0].group, 1u);
  EXPECT_EQ(p[1].group, 1u);
  for (const Bin& b : bins) EXPECT_GE(b.free.cores(), 0);
}

// The definition, as the design puts it: of all pairs that fit, again and again the best one.
std::vector<Placement> plain(std::vector<Group> groups, std::vector<Bin> bins,
                             const Resources& scale) {
  std::vector<Placement> out;
  for (;;) {
    std::optional<Placement> best;
    std::pair<int, int> first;
    for (std::size_t b = 0; b < bins.size(); ++b) {
      for (std::size_t g = 0; g < groups.size(); ++g) {
        const int pass = groups[g].pass ? groups[g].pass(b) : 0;
        if (groups[g].count == 0 || !bins[b].free.fits(groups[g].request) || pass < 0 ||
            (groups[g].allowed && !groups[g].allowed(b))) {
          continue;
        }
        const std::pair at(groups[g].tier, pass);
        const double s = score(groups[g].request, bins[b].free, scale);
        if (!best || at < first || (at == first && s > best->score)) {
          best = Placement{g, b, s};
          first = at;
        }
      }
    }
    if (!best) return out;
    out.push_back(*best);
    --groups[best->group].count;
    bins[best->bin].free -= groups[best->group].request;
    if (groups[best->group].placed) groups[best->group].placed(best->bin);
  }
}

TEST(Packing, IsTheDefinitionOnSeededInstancesTiesIncluded) {
  std::mt19937 random(7);
  const auto pick = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
  for (int instance = 0; instance < 300; ++instance) {
    std::vector<Bin> bins;
    for (int b = 0, n = 1 + pick(9); b < n; ++b) bins.push_back({r(2 + 2 * pick(4), 4 * pick(6))});
    // What limits and places do: groups share a budget, and a group may keep to one half.
    struct Rules {
      int budget = 0;
      int half = -1;
    };
    std::vector<Group> groups;
    const auto rules = [&](std::vector<Group> of, const std::shared_ptr<Rules>& shared) {
      for (Group& g : of) {
        g.allowed = [shared](std::size_t b) {
          return shared->budget > 0 &&
                 (shared->half < 0 || shared->half == static_cast<int>(b % 2));
        };
        g.placed = [shared](std::size_t b) {
          --shared->budget;
          if (shared->budget % 3 == 0) shared->half = static_cast<int>(b % 2);
        };
      }
      return of;
    };
    for (int g = 0, n = 1 + pick(8); g < n; ++g) {
      Group group;
      group.request = r(1 + pick(3), 2 * pick(3));
      group.count = static_cast<std::size_t>(pick(6));
      group.tier = pick(3);
      const int salt = pick(5);
      if (salt > 0) {
        group.pass = [salt](std::size_t b) {
          return static_cast<int>((b * 7 + 3u) % 4) - salt / 4;
        };
      }
      groups.push_back(std::move(group));
    }
    const int budget = 4 + pick(30);
    auto quick = rules(groups, std::make_shared<Rules>(Rules{budget, -1}));
    auto left = bins;
    const auto got = pack(quick, left, r(8, 20));
    const auto want =
        plain(rules(groups, std::make_shared<Rules>(Rules{budget, -1})), bins, r(8, 20));
    ASSERT_EQ(got.size(), want.size()) << "instance " << instance;
    for (std::size_t i = 0; i < got.size(); ++i) {
      ASSERT_EQ(got[i].group, want[i].group) << "instance " << instance << ", placement " << i;
      ASSERT_EQ(got[i].bin, want[i].bin) << "instance " << instance << ", placement " << i;
    }
  }
}

TEST(Fleet, RentsTheCheapestForWhatWaitsAndNotMore) {
  std::vector<MachineType> types(2);
  types[0] = {"small", r(4, 16), 0, 0, 0.4, 0.16, Seconds(5), {"a"}};
  types[1] = {"big", r(8, 32), 0, 0, 0.7, 0.3, Seconds(5), {"a"}};
  protocol::JobSpec steady, stray;
  steady.request = stray.request = r(1, 1);
  stray.spot = true;
  ScalingInput in;
  in.catalogue = &types;
  in.now = Time(std::chrono::seconds(100));
  in.demand = {{r(1, 1), 8, 0, &steady}};
  auto plan = plan_scaling(in);
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_EQ(plan.scale_out[0].kind, (MachineKind{"big", "a", false}));
  EXPECT_EQ(plan.scale_out[0].count, 1);
  // What boots already is counted.
  in.booting = {{MachineId("i-1"), "big", "a", false, 0}};
  EXPECT_TRUE(plan_scaling(in).scale_out.empty());
  // Out of capacity lately: the next best kind. Spot only for jobs that allow it.
  in.booting.clear();
  in.retry_at[{"big", "a", false}] = base::after(in.now, Seconds(5));
  plan = plan_scaling(in);
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_EQ(plan.scale_out[0].kind.type, "small");
  in.demand = {{r(1, 1), 4, 0, &stray}};
  plan = plan_scaling(in);
  ASSERT_EQ(plan.scale_out.size(), 1u);
  EXPECT_TRUE(plan.scale_out[0].kind.spot);
}

}  // namespace saddleslip::coordination
