// When a controller may answer workers and command them.
#include <gtest/gtest.h>

#include "coordination/controller.h"

namespace saddleslip::coordination {

class Authority : public ::testing::Test {
 protected:
  Authority()
      : settings_(base::parse_settings(
            R"({"member":"n0","serve_on":"10.0.0.1:1","peer_listen":"10.0.0.1:2",
                "endpoints":{"cloud":"10.0.0.1:3","state":"10.0.0.1:4"}})")),
        controller_(settings_) {
    const ControllerIncarnation incarnation{MemberId("n0"), base::Incarnation(7)};
    controller_.begin_incarnation(incarnation, start_);
    View view;
    view.epoch = Epoch(1);
    view.members.push_back(incarnation);
    controller_.cache().apply({protocol::kViewKey, to_json(view), Version(3)}, start_);
    controller_.cache().advance_to(base::Revision(3));
    controller_.install_view(start_);
  }
  Time at(double s) const { return base::after(start_, Seconds(s)); }

  const base::Settings settings_;
  Controller controller_;
  const Time start_{std::chrono::seconds(1000)};
};

TEST_F(Authority, EndsOneTtlAfterTheRenewalWasSent) {
  const double ttl = settings_.tuning.member_ttl.count();
  EXPECT_FALSE(controller_.has_authority(start_));
  // A lease alone is not enough: the copy of the jobs may be older.
  controller_.lease_acquired(start_);
  EXPECT_FALSE(controller_.has_authority(start_));
  controller_.lease_renewed(start_, controller_.cache_generation());
  EXPECT_TRUE(controller_.has_authority(at(ttl * 0.99)));
  EXPECT_FALSE(controller_.has_authority(at(ttl)));
  // Answered late: it counts from when it was sent, whenever that is known.
  controller_.lease_renewed(at(1), controller_.cache_generation());
  EXPECT_TRUE(controller_.has_authority(at(ttl)));
  EXPECT_FALSE(controller_.has_authority(at(ttl + 1)));
}

TEST_F(Authority, NeedsAProofAfterTheCopyWasReadAnew) {
  controller_.lease_renewed(start_, controller_.cache_generation());
  EXPECT_TRUE(controller_.has_authority(at(1)));
  controller_.cache_replaced();
  EXPECT_FALSE(controller_.has_authority(at(1)));
  controller_.lease_renewed(at(1.5), controller_.cache_generation());
  EXPECT_TRUE(controller_.has_authority(at(2)));
}

// The copy may be read anew between the look that proved it current and the word of it: what was proved
// is gone then.
TEST_F(Authority, IsNotGivenToACopyThatWasReadAnewDuringTheProof) {
  const std::uint64_t copy = controller_.cache_generation();
  controller_.cache_replaced();
  controller_.lease_renewed(start_, copy);
  EXPECT_FALSE(controller_.has_authority(at(1)));
  controller_.lease_renewed(start_, controller_.cache_generation());
  EXPECT_TRUE(controller_.has_authority(at(1)));
}

}  // namespace saddleslip::coordination
