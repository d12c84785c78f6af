// Tests that the steps that hold the controller's mutex stay short with 4,000 machines.
#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <functional>
#include <limits>
#include <sstream>
#include <string>
#include <vector>

#include "base/log.h"
#include "coordination/controller.h"
#include "makers.h"

namespace saddleslip::coordination {

namespace {

using testing::at_seconds;
using testing::job_name;

constexpr std::size_t kMachines = 4000;
constexpr TaskNumber kTasksPerMachine = 16;
constexpr TaskNumber kTasksPerJob = 64;
constexpr std::size_t kWaitingJobs = 800;
const std::string kZone = "a";
const std::string kType = "large";
const std::string kJobClass = "class";
const std::string kTeam = "team";
const std::string kGuaranteedTeam = "guaranteed";
const std::string kImage = "image";
const std::string kAddress = "10.0.0.9:1";
constexpr double kGuaranteedCores = 8000;
constexpr double kMemoryStepGb = 0.001;
constexpr double kStarvingAfterSeconds = 200;
constexpr double kSubmittedAt = 1000;  // seconds since 1970

// Users wait two seconds for a status, for which their request locks the controller's mutex four
// times, and a controller has at least a quarter of a processor core.
constexpr double kMaxStepSeconds = 2.0 / 4 * 0.25;

double processor_seconds() {
  timespec now{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

protocol::JobRecord make_record(const JobId& id, protocol::Rank rank, TaskNumber tasks,
                                double cores) {
  protocol::JobRecord record;
  record.spec.id = id;
  record.spec.job_class = kJobClass;
  record.spec.team = kTeam;
  record.spec.rank = rank;
  record.spec.tasks = tasks;
  record.spec.request = testing::make_resources(cores, 1);
  record.spec.image = kImage;
  record.spec.estimate = Seconds(20);
  record.submitted_at = kSubmittedAt;
  return record;
}

std::string machine_name(std::size_t number) {
  std::ostringstream name;
  name << "i-" << 100'000 + number;
  return name.str();
}

}  // namespace

// Jobs of one task each, which have waited since `kSubmittedAt`.
struct WaitingJobs {
  protocol::Rank rank;
  double cores;
  std::string team = kTeam;
  double memory_step_gb = 0;  // by which each job requests more memory than the one before
};

// One controller that owns all machines. Each is filled with tasks of arrays that run for long.
class LargeFleet {
 public:
  LargeFleet() {
    settings_.memory_bytes = 512u << 20;
    settings_.teams[kTeam] = {};
    settings_.teams[kGuaranteedTeam].guaranteed_cores = kGuaranteedCores;
    controller_.begin_incarnation(self_, at_seconds(0));
    controller_.set_time_of_day(at_seconds(0), kSubmittedAt);
    auto type = testing::make_machine_type(kType, testing::make_resources(16, 64), 1, 0.5);
    apply(protocol::kCatalogueKey, to_json(std::vector{type}));
    View view;
    view.epoch = Epoch(1);
    view.members.push_back(self_);
    apply(protocol::kViewKey, to_json(view));
    apply(protocol::kLeaderKey, to_json(self_));
    controller_.install_view(at_seconds(0));
    renew_authority(0);
    for (std::size_t i = 0; i < kMachines * kTasksPerMachine / kTasksPerJob; ++i)
      add_running_job(i);
  }
  void add_waiting_jobs(const WaitingJobs& jobs) {
    for (std::size_t i = 0; i < kWaitingJobs; ++i) {
      const JobId id(job_name(500'000 + offers_.offers.size()));
      protocol::JobRecord record = make_record(id, jobs.rank, 1, jobs.cores);
      record.spec.team = jobs.team;
      record.spec.request =
          testing::make_resources(jobs.cores, 1 + static_cast<double>(i) * jobs.memory_step_gb);
      add_waiting_job(record);
    }
  }
  // Returns the processor time in which the tasks of all waiting jobs are offered.
  double routing_s(double seconds) {
    confirm_machines(seconds);
    const double began_at = processor_seconds();
    controller_.route_waiting_tasks(at_seconds(seconds));
    return processor_seconds() - began_at;
  }
  // Returns the processor time in which the leader decides which machines to rent and to release.
  double scaling_s(double seconds) {
    confirm_machines(seconds);
    EXPECT_TRUE(controller_.is_leader(at_seconds(seconds)));
    const double began_at = processor_seconds();
    const ScalingActions actions =
        controller_.plan_scaling(at_seconds(seconds), kSubmittedAt + seconds);
    const double took = processor_seconds() - began_at;
    EXPECT_EQ(actions.plan.scale_out.empty(), offers_.offers.empty());
    return took;
  }
  // Runs two rounds and returns the processor time of the longer one.
  double longest_round_s(double seconds) {
    confirm_machines(seconds);
    return std::max(round_seconds(seconds), round_seconds(seconds + 1));
  }

 private:
  void apply(const std::string& key, const protocol::Json& value) {
    controller_.cache().apply({key, value, Version(++revision_)}, at_seconds(0));
    controller_.cache().advance_to(base::Revision(revision_));
  }
  void renew_authority(double seconds) {
    controller_.record_lease_acquired(at_seconds(seconds));
    controller_.record_lease_renewed(at_seconds(seconds), controller_.cache_generation());
  }
  void add_running_job(std::size_t number) {
    const JobId id(job_name(number));
    apply(protocol::job_key(id),
          to_json(make_record(id, protocol::Rank::kStandard, kTasksPerJob, 1)));
    protocol::ChunkRecord chunk;
    chunk.next_attempt = base::Attempt(2);
    chunk.done.assign(kTasksPerJob, false);
    for (TaskNumber task = 0; task < kTasksPerJob; ++task) {
      const std::size_t machine = (number * kTasksPerJob + task) / kTasksPerMachine;
      chunk.assigned[task] = {MachineId(machine_name(machine)), base::Attempt(1),
                              AgentIncarnation(1)};
    }
    apply(protocol::chunk_record_key(id, 0), to_json(chunk, 0));
  }
  // A machine gets tasks once a heartbeat shows the fencing token of an earlier response.
  void confirm_machines(double seconds) {
    renew_authority(seconds);
    for (int i = 0; i < 3; ++i) send_heartbeats(seconds, token_);
  }
  void send_heartbeats(double seconds, std::uint64_t token) {
    ++sequence_;
    for (std::size_t machine = 0; machine < kMachines; ++machine) {
      Heartbeat heartbeat;
      heartbeat.machine = MachineId(machine_name(machine));
      heartbeat.address = kAddress;
      heartbeat.type = kType;
      heartbeat.zone = kZone;
      heartbeat.agent_incarnation = AgentIncarnation(1);
      heartbeat.sequence = base::Sequence(sequence_);
      heartbeat.fencing_token = FencingToken(token);
      for (std::size_t i = 0; i < kTasksPerMachine; ++i) {
        const std::size_t task = machine * kTasksPerMachine + i;
        heartbeat
            .tasks[{JobId(job_name(task / kTasksPerJob)),
                    static_cast<TaskNumber>(task % kTasksPerJob)}]
            .push_back({base::Attempt(1), protocol::TaskState::kRunning, {}});
      }
      const auto reply = controller_.handle_heartbeat(heartbeat, at_seconds(seconds));
      token_ = protocol::Json::parse(reply.body).at("reins");
    }
  }
  void add_waiting_job(const protocol::JobRecord& record) {
    offers_.from = self_;
    offers_.epoch = Epoch(1);
    apply(protocol::job_key(record.spec.id), to_json(record));
    offers_.offers.push_back({record.spec.id, {{0, 1}}});
  }
  double round_seconds(double seconds) {
    controller_.add_offers(offers_, at_seconds(seconds));
    const double began_at = processor_seconds();
    controller_.plan_round(at_seconds(seconds), WriteBudget::kNormal);
    return processor_seconds() - began_at;
  }

  const ControllerIncarnation self_{MemberId("n0"), base::Incarnation(7)};
  base::Settings settings_ = testing::make_settings();
  Controller controller_{settings_};
  protocol::Offers offers_;
  std::uint64_t revision_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t token_ = 0;
};

using Waiting = std::vector<WaitingJobs>;

// Returns the processor time of a step of a fleet with these waiting jobs: the least of three
// fleets, since other processes on the machine can only add to it.
double least_processor_s(const Waiting& waiting, const std::function<double(LargeFleet&)>& step) {
  constexpr int kFleets = 3;
  spdlog::set_level(spdlog::level::off);
  double least = std::numeric_limits<double>::infinity();
  for (int i = 0; i < kFleets; ++i) {
    LargeFleet fleet;
    for (const WaitingJobs& jobs : waiting) fleet.add_waiting_jobs(jobs);
    least = std::min(least, step(fleet));
  }
  spdlog::set_level(spdlog::level::info);
  return least;
}

double longest_round_s(double seconds, const Waiting& waiting) {
  return least_processor_s(waiting,
                           [&](LargeFleet& fleet) { return fleet.longest_round_s(seconds); });
}

// Starving jobs of many sizes and critical ones.
const Waiting kMixedJobs = {{protocol::Rank::kStandard, 4, kTeam, kMemoryStepGb},
                            {protocol::Rank::kCritical, 4}};

TEST(LargeFleetTest, RoundWithoutWaitingJobsIsShort) {
  EXPECT_LT(longest_round_s(2, {}), kMaxStepSeconds);
}

TEST(LargeFleetTest, RoundWithManyJobsThatHaveJustArrivedIsShort) {
  const Waiting waiting = {{protocol::Rank::kStandard, 4}};
  EXPECT_LT(longest_round_s(2, waiting), kMaxStepSeconds);
}

TEST(LargeFleetTest, RoundWithManyStarvingJobsIsShort) {
  const Waiting waiting = {{protocol::Rank::kStandard, 4}};
  EXPECT_LT(longest_round_s(kStarvingAfterSeconds, waiting), kMaxStepSeconds);
}

TEST(LargeFleetTest, RoundWithManyStarvingJobsThatFitNowhereIsShort) {
  const Waiting waiting = {{protocol::Rank::kStandard, 32}};
  EXPECT_LT(longest_round_s(kStarvingAfterSeconds, waiting), kMaxStepSeconds);
}

TEST(LargeFleetTest, RoundWithManyCriticalJobsIsShort) {
  const Waiting waiting = {{protocol::Rank::kCritical, 4}};
  EXPECT_LT(longest_round_s(2, waiting), kMaxStepSeconds);
}

TEST(LargeFleetTest, RoundWithManyCriticalJobsOfDifferentSizesIsShort) {
  const Waiting waiting = {{protocol::Rank::kCritical, 4, kTeam, kMemoryStepGb}};
  EXPECT_LT(longest_round_s(2, waiting), kMaxStepSeconds);
}

TEST(LargeFleetTest, RoundWithManyGuaranteedJobsIsShort) {
  const Waiting waiting = {{protocol::Rank::kStandard, 4, kGuaranteedTeam}};
  EXPECT_LT(longest_round_s(2, waiting), kMaxStepSeconds);
}

TEST(LargeFleetTest, RoundWithManyCriticalAndManyOtherJobsIsShort) {
  const Waiting waiting = {{protocol::Rank::kStandard, 1}, {protocol::Rank::kCritical, 4}};
  EXPECT_LT(longest_round_s(kStarvingAfterSeconds, waiting), kMaxStepSeconds);
}

TEST(LargeFleetTest, RoutingOfManyJobsIsShort) {
  const auto route = [](LargeFleet& fleet) { return fleet.routing_s(kStarvingAfterSeconds); };
  EXPECT_LT(least_processor_s(kMixedJobs, route), kMaxStepSeconds);
}

TEST(LargeFleetTest, ScalingPlanForManyJobsIsShort) {
  const auto plan = [](LargeFleet& fleet) { return fleet.scaling_s(kStarvingAfterSeconds); };
  EXPECT_LT(least_processor_s(kMixedJobs, plan), kMaxStepSeconds);
}

}  // namespace saddleslip::coordination
