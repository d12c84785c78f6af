// Tests of the reservations of machines for starving jobs and for jobs that preempted tasks.
#include "coordination/scheduling/capacity_reservations.h"

#include "scheduling_fixture.h"

namespace saddleslip::coordination {

namespace {

using base::JobId;
using base::MachineId;
using base::Seconds;

const JobId kStarvingJob("run-000001"), kOtherJob("run-000002");
const MachineId kMachine("m1"), kSecondMachine("m2");

class CapacityReservationsTest : public SchedulingTest {
 protected:
  CapacityReservationsTest() {
    add_job(make_spec(kStarvingJob, 1, 4));
    add_job(make_spec(kOtherJob, 1, 4));
  }
  base::Time after_seconds(double seconds) const { return base::after(now_, Seconds(seconds)); }

  CapacityReservations reservations_{cache_};
};

}  // namespace

TEST_F(CapacityReservationsTest, ReservationExcludesOtherJobsOnly) {
  reservations_.reserve_for_starving_job(kMachine, kStarvingJob, after_seconds(60));
  EXPECT_TRUE(reservations_.is_reserved_for(kMachine, kStarvingJob));
  EXPECT_FALSE(reservations_.is_reserved_for_other(kMachine, kStarvingJob));
  EXPECT_TRUE(reservations_.is_reserved_for_other(kMachine, kOtherJob));
  EXPECT_FALSE(reservations_.is_reserved_for_other(kSecondMachine, kOtherJob));
}

TEST_F(CapacityReservationsTest, ReservationOfPreemptedCapacityDoesNotReplaceAnother) {
  reservations_.reserve_for_starving_job(kMachine, kStarvingJob, after_seconds(60));
  reservations_.reserve_preempted_capacity(kMachine, kOtherJob, after_seconds(6));
  EXPECT_TRUE(reservations_.is_reserved_for(kMachine, kStarvingJob));
  reservations_.reserve_preempted_capacity(kSecondMachine, kOtherJob, after_seconds(6));
  EXPECT_TRUE(reservations_.is_reserved_for(kSecondMachine, kOtherJob));
  EXPECT_EQ(reservations_.count_for_starving_jobs(), 1u);
}

TEST_F(CapacityReservationsTest, FulfilEndsOnlyTheReservationForThatJob) {
  reservations_.reserve_for_starving_job(kMachine, kStarvingJob, after_seconds(60));
  reservations_.fulfil(kMachine, kOtherJob);
  EXPECT_TRUE(reservations_.is_reserved(kMachine));
  reservations_.fulfil(kMachine, kStarvingJob);
  EXPECT_FALSE(reservations_.is_reserved(kMachine));
}

TEST_F(CapacityReservationsTest, ExpireRemovesReservationsPastTheirExpiryTime) {
  reservations_.reserve_for_starving_job(kMachine, kStarvingJob, after_seconds(60));
  reservations_.expire(after_seconds(60));
  EXPECT_TRUE(reservations_.is_reserved(kMachine));
  reservations_.expire(after_seconds(61));
  EXPECT_FALSE(reservations_.is_reserved(kMachine));
}

TEST_F(CapacityReservationsTest, ExpireRemovesReservationsForEndedJobs) {
  reservations_.reserve_for_starving_job(kMachine, kStarvingJob, after_seconds(60));
  reservations_.reserve_for_starving_job(kSecondMachine, kOtherJob, after_seconds(60));
  remove_job(kStarvingJob);
  reservations_.expire(now_);
  EXPECT_FALSE(reservations_.is_reserved(kMachine));
  EXPECT_TRUE(reservations_.is_reserved(kSecondMachine));
}

}  // namespace saddleslip::coordination
