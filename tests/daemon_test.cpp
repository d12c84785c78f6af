// The daemon's building blocks: wake-up events, the write rate limiter and the read barrier.
#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <stop_token>
#include <thread>
#include <vector>

#include "daemon/read_barrier.h"
#include "daemon/wakeup_event.h"
#include "daemon/write_rate_limiter.h"

namespace saddleslip {

namespace {

using base::Seconds;
using coordination::WriteBudget;

constexpr Seconds kLong{3600};

TEST(WakeupEvent, NotifiedTwiceBetweenWaitsWakesOnce) {
  WakeupEvent event;
  event.notify();
  event.notify();
  EXPECT_TRUE(event.wait_for(kLong, {}));
  EXPECT_FALSE(event.wait_for(Seconds(0), {}));
}

TEST(WakeupEvent, StopRequestedEndsWaitUnnotified) {
  WakeupEvent event;
  std::stop_source stop;
  std::thread stopper([&] { stop.request_stop(); });
  EXPECT_FALSE(event.wait_for(kLong, stop.get_token()));
  stopper.join();
  sleep_for(kLong, stop.get_token());
}

class WriteRateLimiterTest : public ::testing::Test {
 protected:
  static constexpr double kRate = 10;  // writes per second
  Seconds refill_at(double seconds) {
    return limiter_.refill(base::after(start_, Seconds(seconds)), kRate);
  }

  const base::Time start_ = base::after(base::Time{}, Seconds(1000));
  WriteRateLimiter limiter_;
};

TEST_F(WriteRateLimiterTest, FirstRefillFillsBucket) {
  EXPECT_EQ(refill_at(0).count(), 0);
  EXPECT_EQ(limiter_.budget(), WriteBudget::kSurplus);
}

TEST_F(WriteRateLimiterTest, BucketHoldsOneSecondOfWrites) {
  refill_at(0);
  refill_at(100);
  limiter_.charge(9);
  EXPECT_EQ(limiter_.budget(), WriteBudget::kNormal);
  limiter_.charge(1);
  EXPECT_EQ(limiter_.budget(), WriteBudget::kExhausted);
}

TEST_F(WriteRateLimiterTest, SurplusNeedsMoreThanSixTenthsOfASecond) {
  refill_at(0);
  limiter_.charge(4);
  EXPECT_EQ(limiter_.budget(), WriteBudget::kNormal);
  refill_at(0.125);
  EXPECT_EQ(limiter_.budget(), WriteBudget::kSurplus);
}

TEST_F(WriteRateLimiterTest, DebtBeyondLimitMustBeWaitedFor) {
  refill_at(0);
  limiter_.charge(14);  // four in debt: the most allowed
  EXPECT_EQ(refill_at(0).count(), 0);
  limiter_.charge(5);
  const Seconds wait = refill_at(0);
  EXPECT_DOUBLE_EQ(wait.count(), 0.5);
  EXPECT_EQ(limiter_.budget(), WriteBudget::kExhausted);
  EXPECT_NEAR(refill_at(wait.count()).count(), 0, 1e-9);
}

// A barrier whose catch-up is a function of its number, counted from one.
class CountedBarrier {
 public:
  explicit CountedBarrier(std::function<bool(int)> catch_up)
      : barrier_({Seconds(0), kLong}, [this, catch_up] { return catch_up(++catch_ups_); }) {}
  ReadBarrier& barrier() { return barrier_; }
  int catch_ups() const { return catch_ups_; }

 private:
  std::atomic<int> catch_ups_{0};
  ReadBarrier barrier_;
};

TEST(ReadBarrier, CatchUpFailedReadFails) {
  CountedBarrier counted([](int number) { return number == 2; });
  EXPECT_FALSE(counted.barrier().wait());
  EXPECT_TRUE(counted.barrier().wait());
}

TEST(ReadBarrier, ReadsBegunDuringCatchUpShareTheNextOne) {
  constexpr std::size_t kReaders = 3;
  std::vector<std::thread> readers;
  std::atomic<int> succeeded{0};
  CountedBarrier* reads = nullptr;
  CountedBarrier counted([&](int number) {
    if (number > 1) return true;
    for (std::size_t i = 0; i < kReaders; ++i) {
      readers.emplace_back([&] { succeeded += reads->barrier().wait() ? 1 : 0; });
    }
    while (reads->barrier().waiting_reads() < kReaders) std::this_thread::yield();
    return false;
  });
  reads = &counted;
  EXPECT_FALSE(counted.barrier().wait());
  for (auto& r : readers) r.join();
  EXPECT_EQ(succeeded, 3) << "served by a catch-up that had begun before them";
  EXPECT_EQ(counted.catch_ups(), 2);
}

}  // namespace

}  // namespace saddleslip
