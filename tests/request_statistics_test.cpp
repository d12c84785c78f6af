// Tests of the counts of answered requests.
#include "daemon/request_statistics.h"

#include <gtest/gtest.h>

namespace saddleslip {

namespace {

using base::Seconds;
using transport::Reply;

const RequestReport& of(const RequestStatistics::Report& report, RequestSource source) {
  return report[static_cast<std::size_t>(source)];
}

}  // namespace

TEST(RequestStatistics, AnswersAreCountedByStatus) {
  RequestStatistics statistics;
  for (const int status : {200, 201, 400, 404, 422, 503})
    statistics.record(RequestSource::kUser, Reply{status, "body", 0}, Seconds(0.1));
  const auto report = statistics.take_report();
  EXPECT_EQ(of(report, RequestSource::kUser).served, 2u);
  EXPECT_EQ(of(report, RequestSource::kUser).rejected, 3u);
  EXPECT_EQ(of(report, RequestSource::kUser).unavailable, 1u);
}

TEST(RequestStatistics, SourcesAreCountedApart) {
  RequestStatistics statistics;
  statistics.record(RequestSource::kAgent, Reply{503, "", 0}, Seconds(0.1));
  const auto report = statistics.take_report();
  EXPECT_EQ(of(report, RequestSource::kAgent).unavailable, 1u);
  EXPECT_EQ(of(report, RequestSource::kUser).unavailable, 0u);
  EXPECT_EQ(of(report, RequestSource::kLoadBalancer).unavailable, 0u);
}

TEST(RequestStatistics, SlowestRequestAndLastReasonAreReported) {
  RequestStatistics statistics;
  statistics.record(RequestSource::kUser, Reply{503, "first", 1}, Seconds(2));
  statistics.record(RequestSource::kUser, Reply{503, "second", 1}, Seconds(1));
  const auto report = statistics.take_report();
  EXPECT_EQ(of(report, RequestSource::kUser).slowest, Seconds(2));
  EXPECT_EQ(of(report, RequestSource::kUser).last_unavailable, "second");
}

TEST(RequestStatistics, EachReportBeginsAnew) {
  RequestStatistics statistics;
  statistics.record(RequestSource::kUser, Reply{503, "reason", 1}, Seconds(2));
  statistics.take_report();
  const auto report = statistics.take_report();
  EXPECT_EQ(of(report, RequestSource::kUser).unavailable, 0u);
  EXPECT_EQ(of(report, RequestSource::kUser).slowest, Seconds(0));
  EXPECT_TRUE(of(report, RequestSource::kUser).last_unavailable.empty());
}

}  // namespace saddleslip
