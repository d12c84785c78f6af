// Tests of the pool of offers: order, expiry and the limit on its size.
#include "coordination/scheduling/offer_pool.h"

#include <gtest/gtest.h>

namespace saddleslip::coordination {

namespace {

using base::JobId;
using base::Seconds;

const JobId kJob("run-000001");

protocol::Offers make_offers(base::TaskNumber first, base::TaskNumber count) {
  protocol::Offers offers;
  offers.offers.push_back({kJob, {{first, count}}});
  return offers;
}

class OfferPoolTest : public ::testing::Test {
 protected:
  base::Time after_rounds(double rounds) const {
    return base::after(now_, settings_.tuning.round_period * rounds);
  }

  base::Settings settings_;
  OfferPool pool_{settings_};
  base::Time now_ = base::after(base::Time{}, Seconds(50));
};

}  // namespace

TEST_F(OfferPoolTest, OffersKeepTheirOrderAndRanges) {
  pool_.add(make_offers(0, 3), now_);
  pool_.add(make_offers(8, 2), now_);
  ASSERT_EQ(pool_.offers().size(), 2u);
  EXPECT_EQ(pool_.offers()[0].job, kJob);
  EXPECT_EQ(pool_.offers()[0].ranges[0].count, 3u);
  EXPECT_EQ(pool_.offers()[1].ranges[0].first, 8u);
}

TEST_F(OfferPoolTest, OffersExpireAfterTwoAndAHalfRounds) {
  pool_.add(make_offers(0, 3), now_);
  pool_.add(make_offers(8, 2), after_rounds(1));
  pool_.expire(after_rounds(2.4));
  EXPECT_EQ(pool_.offers().size(), 2u);
  pool_.expire(after_rounds(2.6));
  ASSERT_EQ(pool_.offers().size(), 1u);
  EXPECT_EQ(pool_.offers()[0].ranges[0].first, 8u);
}

TEST_F(OfferPoolTest, OldestOffersAreRemovedWhenThePoolIsFull) {
  for (base::TaskNumber task = 0; task < 5000; ++task) pool_.add(make_offers(task, 1), now_);
  EXPECT_EQ(pool_.offers().size(), 4096u);
  EXPECT_EQ(pool_.offers().back().ranges[0].first, 4999u);
}

}  // namespace saddleslip::coordination
