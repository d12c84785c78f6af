// Tests of a machine's fencing tokens and of what its heartbeats show about them.
#include "storage/machine.h"

#include <gtest/gtest.h>

namespace saddleslip::storage {

namespace {

const Time kNow(std::chrono::seconds(1000));

Time seconds_later(double seconds) {
  return base::after(kNow, Seconds(seconds));
}

}  // namespace

TEST(Machine, IsHalfOpenAfterTwoUnacknowledgedResponses) {
  Machine machine;
  machine.start_fencing(FencingToken(10));
  EXPECT_FALSE(machine.track_acknowledgement(FencingToken(0), kNow));  // no response was sent yet
  machine.token_for_response(Seconds(5), kNow);
  EXPECT_FALSE(machine.track_acknowledgement(FencingToken(0), seconds_later(1)));
  EXPECT_FALSE(machine.is_half_open());
  EXPECT_TRUE(machine.track_acknowledgement(FencingToken(0), seconds_later(2)));
  EXPECT_TRUE(machine.is_half_open());
  EXPECT_EQ(machine.half_open_since, seconds_later(1));
  // The change is returned only once.
  EXPECT_FALSE(machine.track_acknowledgement(FencingToken(0), seconds_later(3)));
  machine.track_acknowledgement(machine.last_sent_token, seconds_later(4));
  EXPECT_FALSE(machine.is_half_open());
  EXPECT_FALSE(machine.half_open_since);
}

TEST(Machine, ResponseTokenIsRaisedWhenItIsOld) {
  Machine machine;
  machine.start_fencing(FencingToken(10));
  machine.fencing_token_since = kNow;
  EXPECT_EQ(machine.token_for_response(Seconds(5), seconds_later(5)), FencingToken(10));
  EXPECT_EQ(machine.token_for_response(Seconds(5), seconds_later(5.1)), FencingToken(11));
  EXPECT_EQ(machine.last_sent_token, FencingToken(11));
  EXPECT_EQ(machine.token_for_response(Seconds(5), seconds_later(6)), FencingToken(11));
}

TEST(Machine, RestartedAgentIsNotConfirmedByItsOldToken) {
  Machine machine;
  machine.start_fencing(FencingToken(10));
  machine.last_heartbeat.fencing_token = FencingToken(10);
  machine.tasks_to_evict.insert({base::JobId("j"), 0});
  EXPECT_TRUE(machine.is_confirmed());
  machine.begin_agent_incarnation(kNow);
  EXPECT_FALSE(machine.is_confirmed());
  EXPECT_TRUE(machine.is_fenced());  // no commands were sent since the restart
  EXPECT_TRUE(machine.tasks_to_evict.empty());
}

TEST(Machine, ConfirmationIsKeptOnlyAcrossConsecutiveViews) {
  Machine machine;
  machine.start_fencing(FencingToken(10));
  machine.last_heartbeat.fencing_token = FencingToken(10);
  machine.last_answered_at = kNow;
  machine.continue_fencing(FencingToken(20), true, seconds_later(8));
  EXPECT_TRUE(machine.is_confirmed());
  EXPECT_FALSE(machine.is_fenced());
  EXPECT_EQ(machine.last_answered_at, kNow);
  machine.continue_fencing(FencingToken(40), false, seconds_later(8));
  EXPECT_FALSE(machine.is_confirmed());
  EXPECT_EQ(machine.last_answered_at, seconds_later(8));
}

TEST(Machine, LeastRecentlyUsedImagesAreRemoved) {
  Machine machine;
  machine.record_image_use("a", 4, 10);
  machine.record_image_use("b", 4, 10);
  machine.record_image_use("a", 4, 10);
  machine.record_image_use("c", 4, 10);
  EXPECT_TRUE(machine.has_image("a"));
  EXPECT_FALSE(machine.has_image("b"));
  EXPECT_TRUE(machine.has_image("c"));
  machine.record_image_use("larger than all", 20, 10);
  EXPECT_EQ(machine.images.size(), 1U);
}

}  // namespace saddleslip::storage
