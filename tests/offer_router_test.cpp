// Tests of the router: which controller is offered which waiting tasks, and when.
#include "coordination/scheduling/offer_router.h"

#include "coordination/scheduling/partition_capacity.h"
#include "scheduling_fixture.h"

namespace saddleslip::coordination {

namespace {

using base::JobId;
using base::MachineId;
using base::MemberId;
using base::Seconds;
using protocol::ControllerIncarnation;
using protocol::MachineStatus;

const JobId kJob("run-000001");
const MemberId kSelf("n0"), kPeer("n1");

MachineStatus make_machine(const std::string& id, double free_cores) {
  MachineStatus machine;
  machine.id = MachineId(id);
  machine.zone = "zone-a";
  machine.free.amounts = {free_cores, 0, 100};
  return machine;
}

std::size_t count_tasks(const protocol::Offers& offers) {
  std::size_t count = 0;
  for (const protocol::Offer& offer : offers.offers) {
    for (const auto& range : offer.ranges) count += range.second;
  }
  return count;
}

// This controller is the only member of the view and therefore the home of every job. The routing
// input also contains the partition of a peer, so that tasks can be split between two partitions.
class OfferRouterTest : public SchedulingTest {
 protected:
  OfferRouterTest() {
    protocol::View view;
    view.epoch = base::Epoch(1);
    view.members = {self_};
    cache_.apply({protocol::kViewKey, to_json(view), base::Version(++revision_)}, now_);
  }
  std::map<MemberId, protocol::Offers> route(double seconds_later) {
    const base::Time now = base::after(now_, Seconds(seconds_later));
    router_.expire(now);
    const auto jobs = router_.jobs_to_route(self_, now);
    if (jobs.empty()) return {};
    priorities_.update(now);
    return router_.route(jobs, {now,
                                self_,
                                {{kSelf, {&own_machine_}}, {kPeer, {&peer_machine_}}},
                                [this](const JobId&) { return is_crash_looping_; }});
  }

  ControllerIncarnation self_{kSelf, base::Incarnation(1)};
  MachineStatus own_machine_ = make_machine("m1", 8), peer_machine_ = make_machine("m2", 4);
  bool is_crash_looping_ = false;
  OfferRouter router_{settings_, cache_, priorities_, failures_};
};

}  // namespace

TEST_F(OfferRouterTest, TasksAreSplitInProportionToFreeCapacity) {
  add_job(make_spec(kJob, 3, 4));
  auto offers = route(1);
  EXPECT_EQ(count_tasks(offers[kSelf]), 2u);
  EXPECT_EQ(count_tasks(offers[kPeer]), 1u);
  EXPECT_EQ(offers[kPeer].from, self_);
  EXPECT_EQ(offers[kPeer].epoch, base::Epoch(1));
}

TEST_F(OfferRouterTest, TaskIsNotOfferedAgainBeforeItsOfferExpires) {
  add_job(make_spec(kJob, 1, 4));
  const double round = settings_.tuning.round_period.count();
  EXPECT_EQ(route(1).size(), 1u);
  EXPECT_TRUE(route(1 + round).empty());
  EXPECT_EQ(route(1 + 1.3 * round).size(), 1u);
}

TEST_F(OfferRouterTest, TasksOfUndeliveredOffersAreOfferedAgainAtOnce) {
  add_job(make_spec(kJob, 1, 4));
  const auto offers = route(1);
  router_.forget_offers(offers.begin()->second);
  EXPECT_EQ(route(1).size(), 1u);
  router_.forget_offers();  // as after the installation of a view
  EXPECT_EQ(route(1).size(), 1u);
}

TEST_F(OfferRouterTest, FirstOffersAreMadeWhereTheJobWasSubmitted) {
  add_job(make_spec(kJob, 1, 4));
  EXPECT_TRUE(route(0.1).empty());
  router_.add_submitted_job(kJob);
  EXPECT_EQ(route(0.1).size(), 1u);
}

TEST_F(OfferRouterTest, MachinesThatAcceptNoNewTasksAreNoCandidates) {
  own_machine_.open = false;
  add_job(make_spec(kJob, 3, 4));
  auto offers = route(1);
  EXPECT_FALSE(offers.contains(kSelf));
  EXPECT_EQ(count_tasks(offers[kPeer]), 1u);
}

TEST_F(OfferRouterTest, CachedImageTakesPrecedenceOverMoreFreeCapacity) {
  peer_machine_.images = {"image"};
  protocol::JobSpec spec = make_spec(kJob, 1, 4);
  spec.kind = protocol::Kind::kService;
  add_job(spec);
  EXPECT_TRUE(route(1).contains(kPeer));
}

TEST_F(OfferRouterTest, GangIsOfferedOnlyIfAllItsTasksFit) {
  protocol::JobSpec spec = make_spec(kJob, 4, 4);
  spec.kind = protocol::Kind::kGang;
  add_job(spec);
  EXPECT_TRUE(route(1).empty());
  own_machine_.free.amounts[0] = 12;
  EXPECT_EQ(route(1).size(), 2u);
}

TEST_F(OfferRouterTest, CrashLoopingJobIsOfferedOneTaskAtATime) {
  is_crash_looping_ = true;
  add_job(make_spec(kJob, 3, 4));
  const auto offers = route(1);
  ASSERT_EQ(offers.size(), 1u);
  EXPECT_EQ(count_tasks(offers.begin()->second), 1u);
}

TEST_F(OfferRouterTest, UrgentTaskIsOfferedWhereItFitsByPreemption) {
  own_machine_.free.amounts[0] = 0;
  peer_machine_.free.amounts[0] = 0;
  peer_machine_.preemptible.amounts = {4, 0, 1};
  protocol::JobSpec spec = make_spec(kJob, 1, 4);
  spec.rank = protocol::Rank::kUrgent;
  add_job(spec);
  EXPECT_TRUE(route(1).contains(kPeer));
}

TEST_F(OfferRouterTest, PartitionFitCountsTasksAfterDeductingOfferedOnes) {
  const protocol::JobSpec spec = make_spec(kJob, 4, 3);
  PartitionCapacity partition(kSelf);
  partition.add_free_cores(own_machine_);
  partition.add_candidate(own_machine_);
  EXPECT_EQ(partition.fit(spec, {}, false).tasks_that_fit, 2u);
  partition.deduct_free(spec, 1);
  const PartitionFit fit = partition.fit(spec, {"zone-a"}, false);
  EXPECT_EQ(fit.tasks_that_fit, 1u);
  EXPECT_TRUE(fit.in_controller_zone);
  EXPECT_FALSE(fit.has_image);
  EXPECT_DOUBLE_EQ(partition.free_cores(), 5);
}

}  // namespace saddleslip::coordination
