// Tests of real controller processes on loopback, with as much state as 4,000 machines have.
#include <gtest/gtest.h>
#include <httplib.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "loopback/loopback_cluster.h"
#include "makers.h"
#include "protocol/records.h"

namespace saddleslip::testing {

namespace {

using std::chrono::seconds;

constexpr std::size_t kPausedController = 1;
// With 4,000 machines about 110 records change in a second, each with some tens of tasks.
constexpr std::size_t kChangesWhilePaused = 5500;
constexpr base::TaskNumber kTasksPerRecord = 40;
constexpr std::size_t kStoredJobs = 2000;
constexpr std::uint32_t kRecordsPerJob = 3;
constexpr double kMemoryMegabytes = 158;
constexpr std::size_t kBytesPerMegabyte = 1u << 20;
constexpr seconds kStartUpTime{4};
constexpr seconds kRecoveryTime{8};
constexpr std::size_t kQueryingUsers = 8;
constexpr seconds kQueryTimeout{2};
constexpr std::chrono::milliseconds kQueryInterval{50};

// Returns a task record whose tasks are all assigned.
protocol::Json make_task_record(std::size_t number) {
  protocol::ChunkRecord record;
  record.next_attempt = base::Attempt(3);
  record.done.assign(kTasksPerRecord, false);
  for (base::TaskNumber task = 0; task < kTasksPerRecord; ++task) {
    std::ostringstream machine;
    machine << "i-" << std::setw(6) << std::setfill('0') << (number + task) % 4000;
    record.assigned[task] = {base::MachineId(machine.str()), base::Attempt(2),
                             base::AgentIncarnation(1)};
  }
  return to_json(record, 0);
}

LoopbackOptions make_options(const std::string& folder) {
  LoopbackOptions options;
  options.program = CONTROLLER_PROGRAM;
  options.folder = ::testing::TempDir() + folder + "-" + std::to_string(::getpid());
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  options.machines = 10;
  options.memory_mb = kMemoryMegabytes;
  return options;
}

// Returns the record of an array with kRecordsPerJob chunks.
protocol::Json make_job_record(const base::JobId& id) {
  protocol::JobRecord record = make_job(id, protocol::Rank::kStandard);
  record.spec.tasks = kTasksPerRecord * kRecordsPerJob;
  record.chunk_size = kTasksPerRecord;
  return to_json(record);
}

void expect_within_quota(LoopbackCluster& cluster) {
  const std::size_t peak = cluster.controllers().peak_memory_bytes(kPausedController);
  EXPECT_GT(peak, 0u);
  EXPECT_LT(peak / kBytesPerMegabyte, static_cast<std::size_t>(kMemoryMegabytes));
}

// Users who ask one controller about a job again and again.
class QueryingUsers {
 public:
  explicit QueryingUsers(int port) {
    for (std::size_t i = 0; i < kQueryingUsers; ++i) {
      threads_.emplace_back([port](const std::stop_token& stop) {
        httplib::Client client("127.0.0.1", port);
        client.set_read_timeout(kQueryTimeout);
        while (!stop.stop_requested()) {
          client.Get("/submissions/run-000001");
          std::this_thread::sleep_for(kQueryInterval);
        }
      });
    }
  }

 private:
  std::vector<std::jthread> threads_;
};

}  // namespace

// A process that exceeds its quota is ended, and its users lose their connections once more.
TEST(LoopbackCluster, ControllerThatMissedManyChangesStaysWithinItsMemoryQuota) {
  LoopbackCluster cluster(make_options("missed-changes"));
  std::this_thread::sleep_for(kStartUpTime);
  cluster.controllers().pause(kPausedController);
  for (std::size_t i = 0; i < kChangesWhilePaused; ++i) {
    const base::JobId job(job_name(i % 1000));
    cluster.state_service().put(protocol::chunk_record_key(job, 0), make_task_record(i));
  }
  const QueryingUsers users(cluster.controllers().ports().at(kPausedController));
  cluster.controllers().resume(kPausedController);
  std::this_thread::sleep_for(kRecoveryTime);
  expect_within_quota(cluster);
}

// With 4,000 machines the state service holds about 2,000 jobs and 6,000 task records.
TEST(LoopbackCluster, ControllerThatLoadsALargeStateStaysWithinItsMemoryQuota) {
  LoopbackCluster cluster(make_options("large-state"));
  cluster.controllers().kill(kPausedController);
  for (std::size_t i = 0; i < kStoredJobs; ++i) {
    const base::JobId job(job_name(i));
    cluster.state_service().put(protocol::job_key(job), make_job_record(job));
    for (std::uint32_t chunk = 0; chunk < kRecordsPerJob; ++chunk)
      cluster.state_service().put(protocol::chunk_record_key(job, chunk), make_task_record(i));
  }
  std::this_thread::sleep_for(kStartUpTime);
  const QueryingUsers users(cluster.controllers().ports().at(kPausedController));
  cluster.controllers().start(kPausedController);
  std::this_thread::sleep_for(kRecoveryTime);
  expect_within_quota(cluster);
}

}  // namespace saddleslip::testing
