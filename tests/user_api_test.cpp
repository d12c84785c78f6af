// Tests of UserApi with a fake state service.
#include "api/user_api.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "base/log.h"

namespace saddleslip {

namespace {

using base::JobId;
using protocol::Json;
using protocol::StateClient;

const JobId kDependency("run-000001"), kJob("run-000002"), kSecondJob("run-000003");

// Returns the specification of a job with one task.
protocol::JobSpec make_spec(const JobId& id, std::vector<JobId> dependencies) {
  protocol::JobSpec job_spec;
  job_spec.id = id;
  job_spec.job_class = "c";
  job_spec.team = "t";
  job_spec.tasks = 1;
  job_spec.request.amounts = {1, 0, 1};
  job_spec.image = "img";
  job_spec.dependencies = std::move(dependencies);
  return job_spec;
}

// A UserApi whose state service is a map in memory.
class UserApiTest : public ::testing::Test {
 protected:
  UserApiTest()
      : settings_(base::parse_settings(
            R"({"member":"m-0","serve_on":"127.0.0.1:1","peer_listen":"127.0.0.1:2",
                "endpoints":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
                "settings":{"teams":[{"name":"t"}],"state":{"value_kb":2,"txn_ops":4}}})")),
        controller_(settings_),
        user_api_(settings_, mutex_, controller_,
                  {[this] { return is_store_available_; },
                   [this](const std::string& key) { return get(key); },
                   [this](const protocol::Transaction& transaction) { return commit(transaction); },
                   [] { return 1000.0; }, [] {}, [](const JobId&) {}}) {
    spdlog::set_level(spdlog::level::off);
    protocol::MachineType type;
    type.name = "big";
    type.size.amounts = {8, 0, 64};
    add_to_cache(protocol::kCatalogueKey, to_json(std::vector{type}));
  }

  // Puts a record into the controller's cache only.
  void add_to_cache(const std::string& key, const Json& value) {
    controller_.cache().apply({key, value, base::Version(++revision_)}, base::Time{});
  }
  // Puts a live job into the controller's cache only.
  void add_job_to_cache(const protocol::JobSpec& job_spec) {
    protocol::JobRecord record;
    record.spec = job_spec;
    add_to_cache(protocol::job_key(job_spec.id), to_json(record));
  }
  // Reads a key from the fake state service.
  StateClient::GetResult get(const std::string& key) {
    ++read_count_;
    StateClient::GetResult response;
    response.answered = is_store_available_;
    const auto entry = store_.find(key);
    if (entry != store_.end()) response.item = {key, entry->second, base::Version(1)};
    return response;
  }
  // Commits to the fake state service, and checks that the transaction is within its limits.
  StateClient::CommitResult commit(const protocol::Transaction& transaction) {
    StateClient::CommitResult result;
    if (!is_store_available_) {
      result.outcome = StateClient::CommitOutcome::kRefused;
      return result;
    }
    EXPECT_LE(transaction.writes.size(), settings_.max_transaction_writes);
    EXPECT_LE(transaction.preconditions.size(),
              settings_.max_transaction_writes * protocol::kPreconditionsPerWrite);
    for (const auto& write : transaction.writes)
      EXPECT_LE(write.value->dump().size(), settings_.value_bytes);
    if (remaining_commits_ == 0) {
      result.outcome = StateClient::CommitOutcome::kUnknown;
      return result;
    }
    --remaining_commits_;
    result.outcome = StateClient::CommitOutcome::kDone;
    result.revision = base::Revision(++revision_);
    for (const auto& write : transaction.writes) {
      store_[write.key] = write.value.value_or(Json());
      written_keys_.push_back(write.key);
    }
    return result;
  }
  transport::Reply submit(const protocol::JobSpec& job_spec) {
    return user_api_.submit(to_json(job_spec).dump(), base::Time{});
  }
  static std::string status_in(const transport::Reply& reply) {
    return Json::parse(reply.body).value("status", "");
  }

  base::Settings settings_;
  base::MonitoredMutex mutex_;
  coordination::Controller controller_;
  std::map<std::string, Json> store_;
  std::vector<std::string> written_keys_;
  bool is_store_available_ = true;  // false while the state service does not answer
  int remaining_commits_ = 1000;    // later commits get no response
  int read_count_ = 0;
  std::uint64_t revision_ = 0;
  UserApi user_api_;
};

}  // namespace

TEST_F(UserApiTest, SubmitWithUnknownDependencyIsRefused) {
  EXPECT_EQ(submit(make_spec(kJob, {kDependency})).status, 422);
  EXPECT_GT(read_count_, 0) << "the cache may lag behind the store";
  EXPECT_EQ(submit(make_spec(kJob, {kJob})).status, 422) << "a job cannot depend on itself";
}

TEST_F(UserApiTest, SubmitWithoutStoreAsksForRetry) {
  is_store_available_ = false;
  const auto reply = submit(make_spec(kJob, {kDependency}));
  EXPECT_EQ(reply.status, 503);
  EXPECT_GT(reply.retry_after_s, 0);
}

// The dependency ended so long ago that the cache no longer holds its final state.
TEST_F(UserApiTest, SubmitWithDependencyFinalInStoreIsAccepted) {
  store_[protocol::tombstone_key(kDependency)] = Json{{"f", "d"}};
  const auto reply = submit(make_spec(kJob, {kDependency}));
  EXPECT_EQ(reply.status, 201);
  EXPECT_EQ(status_in(reply), "queued");
}

TEST_F(UserApiTest, SubmitWithCancelledDependencyIsAcceptedAndCancelled) {
  store_[protocol::tombstone_key(kDependency)] = Json{{"f", "w"}};
  const auto reply = submit(make_spec(kJob, {kDependency}));
  EXPECT_EQ(reply.status, 201);
  EXPECT_EQ(status_in(reply), "withdrawn");
  EXPECT_TRUE(store_.at(protocol::job_key(kJob)).value("w", false));
}

// An accepted job stays accepted even if a later submission of its id has other dependencies.
TEST_F(UserApiTest, RepeatedSubmitWithUnknownDependencyIsAccepted) {
  add_job_to_cache(make_spec(kJob, {}));
  EXPECT_EQ(submit(make_spec(kJob, {kDependency})).status, 200);
  store_[protocol::tombstone_key(kSecondJob)] = Json{{"f", "d"}};
  EXPECT_EQ(submit(make_spec(kSecondJob, {kDependency})).status, 200);
}

// After a restart, the cache lacks the final states of jobs that ended before. The status of a job
// that depends on one of them must not be reported without reading it: another controller may have
// reported the job as cancelled already.
TEST_F(UserApiTest, StatusReadsFinalStateOfDependency) {
  add_job_to_cache(make_spec(kJob, {kDependency}));
  add_job_to_cache(make_spec(kSecondJob, {kJob}));
  store_[protocol::tombstone_key(kDependency)] = Json{{"f", "w"}};
  EXPECT_EQ(status_in(user_api_.status(kSecondJob)), "withdrawn");
}

TEST_F(UserApiTest, StatusOfBlockedJobIsQueued) {
  add_job_to_cache(make_spec(kDependency, {}));
  add_job_to_cache(make_spec(kJob, {kDependency}));
  EXPECT_EQ(status_in(user_api_.status(kJob)), "queued");
}

TEST_F(UserApiTest, SubmitWithMalformedDependenciesIsRefused) {
  Json body = to_json(make_spec(kJob, {}));
  body["follows"] = "run-000001";
  EXPECT_EQ(user_api_.submit(body.dump(), base::Time{}).status, 400);
  body["follows"] = {"run-000001", 7};
  EXPECT_EQ(user_api_.submit(body.dump(), base::Time{}).status, 400);
  body["follows"] = {"job-1"};
  EXPECT_EQ(user_api_.submit(body.dump(), base::Time{}).status, 400);
  for (const Json& no_dependencies : {Json(), Json::array()}) {
    body["follows"] = no_dependencies;
    body["name_id"] = "run-00010" + std::to_string(no_dependencies.is_null());
    EXPECT_EQ(user_api_.submit(body.dump(), base::Time{}).status, 201);
  }
}

TEST_F(UserApiTest, SubmitWithDuplicateDependencyStoresItOnce) {
  add_job_to_cache(make_spec(kDependency, {}));
  EXPECT_EQ(submit(make_spec(kJob, {kDependency, kDependency})).status, 201);
  EXPECT_EQ(store_.at(protocol::job_key(kJob))["s"]["follows"], Json::array({kDependency.get()}));
}

// All dependencies that fit into a body of 64 KiB are stored, in values of 2 KiB. Another
// controller reads them correctly in any order.
TEST_F(UserApiTest, SubmitWithManyDependenciesStoresThemInLists) {
  std::vector<JobId> dependencies;
  for (int i = 0; i < 4500; ++i) {
    dependencies.emplace_back("run-" + std::to_string(200000 + i));
    controller_.cache().add_final_state(dependencies.back(), {});
  }
  const auto job_spec = make_spec(kJob, dependencies);
  ASSERT_LT(to_json(job_spec).dump().size(), 64u << 10);
  EXPECT_EQ(submit(job_spec).status, 201);
  EXPECT_EQ(written_keys_.back(), protocol::job_key(kJob))
      << "the job was accepted before all lists were written";
  for (const bool job_first : {false, true}) {
    storage::StateCache other_cache(settings_);
    std::vector<std::string> keys = written_keys_;
    if (job_first) std::reverse(keys.begin(), keys.end());
    std::uint64_t version = 0;
    for (const std::string& key : keys) {
      if (other_cache.job(kJob) && key != keys.back()) {
        EXPECT_TRUE(other_cache.job(kJob)->blocked);
      }
      other_cache.apply({key, store_.at(key), base::Version(++version)}, base::Time{});
    }
    EXPECT_EQ(other_cache.job(kJob)->record.spec.dependencies, dependencies);
    EXPECT_EQ(other_cache.dependency_graph().open_dependencies(kJob).size(), dependencies.size());
    EXPECT_TRUE(other_cache.job(kJob)->blocked);
    // All lists become garbage once the job is final.
    other_cache.apply({protocol::job_key(kJob), Json(), base::Version(++version)}, base::Time{});
    EXPECT_EQ(other_cache.orphans().size(), keys.size() - 1);
  }
}

// A controller that stops before all lists are written has not accepted the job. The next
// submission writes all lists.
TEST_F(UserApiTest, SubmitWithIncompleteListsIsNotAccepted) {
  std::vector<JobId> dependencies;
  for (int i = 0; i < 1000; ++i) {
    dependencies.emplace_back("run-" + std::to_string(200000 + i));
    controller_.cache().add_final_state(dependencies.back(), {});
  }
  remaining_commits_ = 2;
  EXPECT_EQ(submit(make_spec(kJob, dependencies)).status, 503);
  EXPECT_FALSE(store_.contains(protocol::job_key(kJob)));
  remaining_commits_ = 1000;
  EXPECT_EQ(submit(make_spec(kJob, dependencies)).status, 201);
}

TEST_F(UserApiTest, StatusOfUnknownJobIsNotFound) {
  EXPECT_EQ(user_api_.status(kJob).status, 404);
  is_store_available_ = false;
  EXPECT_EQ(user_api_.status(kJob).status, 503)
      << "only the store shows that a job was never accepted";
}

TEST_F(UserApiTest, MalformedSubmitOfAcceptedJobReturnsItsStatus) {
  Json body = to_json(make_spec(kJob, {}));
  body["strides"] = 0;
  EXPECT_EQ(user_api_.submit(body.dump(), base::Time{}).status, 400);
  add_job_to_cache(make_spec(kJob, {}));
  const auto reply = user_api_.submit(body.dump(), base::Time{});
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(status_in(reply), "queued");
  is_store_available_ = false;
  EXPECT_EQ(user_api_.submit(body.dump(), base::Time{}).status, 503);
}

TEST_F(UserApiTest, CancelOfLiveJobIsCommitted) {
  EXPECT_EQ(submit(make_spec(kJob, {})).status, 201);
  const auto reply = user_api_.cancel(kJob, base::Time{});
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(status_in(reply), "withdrawn");
  EXPECT_TRUE(store_.at(protocol::job_key(kJob)).value("w", false));
}

TEST_F(UserApiTest, CancelOfDoneJobReturnsDone) {
  store_[protocol::tombstone_key(kJob)] = Json{{"f", "d"}};
  const auto reply = user_api_.cancel(kJob, base::Time{});
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(status_in(reply), "done");
}

TEST_F(UserApiTest, CancelWithoutConfirmationAsksForRetry) {
  EXPECT_EQ(submit(make_spec(kJob, {})).status, 201);
  remaining_commits_ = 0;
  EXPECT_EQ(user_api_.cancel(kJob, base::Time{}).status, 503);
  EXPECT_EQ(user_api_.cancel(kSecondJob, base::Time{}).status, 404);
}

}  // namespace saddleslip
