#include "coordination/scheduling/capacity_reservations.h"

#include "scheduling_fixture.h"

namespace saddleslip::coordination {

namespace {

using base::JobId;
using base::MachineId;
using base::Seconds;

const JobId kStarved("run-000001"), kOther("run-000002");
const MachineId kMachine("m1"), kSecond("m2");

class CapacityReservationsTest : public SchedulingTest {
 protected:
  CapacityReservationsTest() {
    add_job(make_spec(kStarved, 1, 4));
    add_job(make_spec(kOther, 1, 4));
  }
  base::Time later(double seconds) const { return base::after(now_, Seconds(seconds)); }

  CapacityReservations reservations_{cache_};
};

}  // namespace

TEST_F(CapacityReservationsTest, ReservedMachineIsOutOfBoundsForOtherJobsOnly) {
  reservations_.reserve_for_starving_job(kMachine, kStarved, later(60));
  EXPECT_TRUE(reservations_.is_reserved_for(kMachine, kStarved));
  EXPECT_FALSE(reservations_.is_reserved_for_other(kMachine, kStarved));
  EXPECT_TRUE(reservations_.is_reserved_for_other(kMachine, kOther));
  EXPECT_FALSE(reservations_.is_reserved_for_other(kSecond, kOther));
}

TEST_F(CapacityReservationsTest, PreemptedCapacityDoesNotReplaceAReservation) {
  reservations_.reserve_for_starving_job(kMachine, kStarved, later(60));
  reservations_.reserve_preempted_capacity(kMachine, kOther, later(6));
  EXPECT_TRUE(reservations_.is_reserved_for(kMachine, kStarved));
  reservations_.reserve_preempted_capacity(kSecond, kOther, later(6));
  EXPECT_TRUE(reservations_.is_reserved_for(kSecond, kOther));
  EXPECT_EQ(reservations_.count_for_starving_jobs(), 1u);
}

TEST_F(CapacityReservationsTest, FulfilEndsOnlyTheReservationOfThatJob) {
  reservations_.reserve_for_starving_job(kMachine, kStarved, later(60));
  reservations_.fulfil(kMachine, kOther);
  EXPECT_TRUE(reservations_.is_reserved(kMachine));
  reservations_.fulfil(kMachine, kStarved);
  EXPECT_FALSE(reservations_.is_reserved(kMachine));
}

TEST_F(CapacityReservationsTest, ExpireDropsWhatIsPastItsTime) {
  reservations_.reserve_for_starving_job(kMachine, kStarved, later(60));
  reservations_.expire(later(60));
  EXPECT_TRUE(reservations_.is_reserved(kMachine));
  reservations_.expire(later(61));
  EXPECT_FALSE(reservations_.is_reserved(kMachine));
}

TEST_F(CapacityReservationsTest, ExpireDropsWhatIsForAJobThatIsOver) {
  reservations_.reserve_for_starving_job(kMachine, kStarved, later(60));
  reservations_.reserve_for_starving_job(kSecond, kOther, later(60));
  remove_job(kStarved);
  reservations_.expire(now_);
  EXPECT_FALSE(reservations_.is_reserved(kMachine));
  EXPECT_TRUE(reservations_.is_reserved(kSecond));
}

}  // namespace saddleslip::coordination
