// Tests of the daemon and its parts: wakeup events, the write rate limiter and the read barrier.
#include "daemon/daemon.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <stop_token>
#include <thread>
#include <vector>

#include "base/log.h"
#include "coordination/membership/ownership_claims.h"
#include "coordination/membership/peer_contact.h"
#include "daemon/peer_sync.h"
#include "daemon/read_barrier.h"
#include "daemon/wakeup_event.h"
#include "daemon/write_rate_limiter.h"

namespace saddleslip {

namespace {

using base::Seconds;
using coordination::WriteBudget;

constexpr Seconds kOneHour{3600};

TEST(WakeupEvent, TwoNotificationsBetweenWaitsWakeOnce) {
  WakeupEvent event;
  event.notify();
  event.notify();
  EXPECT_TRUE(event.wait_for(kOneHour, {}));
  EXPECT_FALSE(event.wait_for(Seconds(0), {}));
}

TEST(WakeupEvent, StopRequestEndsWaitWithoutNotification) {
  WakeupEvent event;
  std::stop_source stop;
  std::thread stop_thread([&] { stop.request_stop(); });
  EXPECT_FALSE(event.wait_for(kOneHour, stop.get_token()));
  stop_thread.join();
  sleep_for(kOneHour, stop.get_token());
}

// Guards against views that change every few seconds without a fault: with rare rounds, the leader
// called its peers less often than it needs to count them as reachable.
TEST(PeerSync, StatusPeriodIsBoundedWhateverTheRoundPeriod) {
  for (const double round_period_s : {0.05, 1.0, 4.0, 10.0, 60.0}) {
    const Seconds period = status_period(Seconds(round_period_s));
    EXPECT_LE(period, Seconds(round_period_s));
    EXPECT_LT(period * 2.0, coordination::kPeerStatusMaxAge) << round_period_s;
    EXPECT_LT(period * 2.0, coordination::kPeerContactTimeout) << round_period_s;
  }
}

// A rate limiter at 10 writes per second.
class WriteRateLimiterTest : public ::testing::Test {
 protected:
  static constexpr double kRate = 10;  // writes per second
  // Refills the bucket at a time given in seconds after the start. Returns the required wait.
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

TEST_F(WriteRateLimiterTest, SurplusRequiresMoreThanSixTenthsOfBucket) {
  refill_at(0);
  limiter_.charge(4);
  EXPECT_EQ(limiter_.budget(), WriteBudget::kNormal);
  refill_at(0.125);
  EXPECT_EQ(limiter_.budget(), WriteBudget::kSurplus);
}

TEST_F(WriteRateLimiterTest, DebtBeyondLimitRequiresWait) {
  refill_at(0);
  limiter_.charge(14);  // the balance is -4, the maximum debt
  EXPECT_EQ(refill_at(0).count(), 0);
  limiter_.charge(5);
  const Seconds wait = refill_at(0);
  EXPECT_DOUBLE_EQ(wait.count(), 0.5);
  EXPECT_EQ(limiter_.budget(), WriteBudget::kExhausted);
  EXPECT_NEAR(refill_at(wait.count()).count(), 0, 1e-9);
}

// A read barrier that counts its catch-ups. The callback gets the number of the catch-up, starting
// at 1, and returns whether it succeeds.
class CountedBarrier {
 public:
  explicit CountedBarrier(const std::function<bool(int)>& catch_up)
      : barrier_({Seconds(0), kOneHour}, [this, catch_up] { return catch_up(++catch_ups_); }) {}
  ReadBarrier& barrier() { return barrier_; }
  int catch_ups() const { return catch_ups_; }

 private:
  std::atomic<int> catch_ups_{0};
  ReadBarrier barrier_;
};

TEST(ReadBarrier, ReadFailsIfCatchUpFails) {
  CountedBarrier counted_barrier([](int number) { return number == 2; });
  EXPECT_FALSE(counted_barrier.barrier().wait());
  EXPECT_TRUE(counted_barrier.barrier().wait());
}

TEST(ReadBarrier, ReadsBegunDuringCatchUpShareNextOne) {
  constexpr std::size_t kReaders = 3;
  std::vector<std::thread> readers;
  std::atomic<int> succeeded_reads{0};
  CountedBarrier* reader_barrier = nullptr;
  CountedBarrier counted_barrier([&](int number) {
    if (number > 1) return true;
    for (std::size_t i = 0; i < kReaders; ++i) {
      readers.emplace_back([&] { succeeded_reads += reader_barrier->barrier().wait() ? 1 : 0; });
    }
    while (reader_barrier->barrier().waiting_reads() < kReaders) std::this_thread::yield();
    return false;
  });
  reader_barrier = &counted_barrier;
  EXPECT_FALSE(counted_barrier.barrier().wait());
  for (auto& reader : readers) reader.join();
  EXPECT_EQ(succeeded_reads, 3) << "a read was served by a catch-up that began before it";
  EXPECT_EQ(counted_barrier.catch_ups(), 2);
}

// The state service, the cloud and the peer refuse connections, as nothing listens on port 1.
TEST(Daemon, AllThreadsEndAfterStopRequest) {
  spdlog::set_level(spdlog::level::off);
  base::Settings settings;
  settings.member = base::MemberId("m-0");
  settings.listen = settings.peer_listen = {"127.0.0.1", 0};
  settings.state = settings.cloud = {"127.0.0.1", 1};
  settings.peers.push_back({base::MemberId("m-1"), "z", {"127.0.0.1", 1}});
  Daemon daemon(settings);
  daemon.start();
  daemon.request_stop();
  daemon.wait();
}

}  // namespace

}  // namespace saddleslip
