// Tests of the bounded cache of final states.
#include "storage/final_states.h"

#include <gtest/gtest.h>

namespace saddleslip::storage {

using base::JobId;
using protocol::FinalState;
using protocol::JobStatus;

TEST(FinalStates, FirstStateOfAJobIsKept) {
  FinalStates states;
  EXPECT_TRUE(states.add(JobId("a"), FinalState{JobStatus::kDone, 10}));
  EXPECT_FALSE(states.add(JobId("a"), FinalState{JobStatus::kCancelled, 20}));
  const auto state = states.find(JobId("a"));
  ASSERT_TRUE(state);
  EXPECT_EQ(state->status, JobStatus::kDone);
  EXPECT_EQ(state->recorded_at, 10);
}

TEST(FinalStates, OldestStateIsRemovedOverCapacity) {
  FinalStates states(2);
  for (const char* id : {"a", "b", "a", "c"}) states.add(JobId(id), FinalState{});
  EXPECT_FALSE(states.contains(JobId("a")));
  EXPECT_FALSE(states.find(JobId("a")));
  EXPECT_TRUE(states.contains(JobId("b")));
  EXPECT_TRUE(states.contains(JobId("c")));
}

}  // namespace saddleslip::storage
