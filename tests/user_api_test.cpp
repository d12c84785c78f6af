// What users are answered, with a state service that the test plays.
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

const JobId kDependency("run-000001"), kJob("run-000002"), kLast("run-000003");

protocol::JobSpec spec(const JobId& id, std::vector<JobId> dependencies) {
  protocol::JobSpec s;
  s.id = id;
  s.job_class = "c";
  s.team = "t";
  s.tasks = 1;
  s.request.v = {1, 0, 1};
  s.image = "img";
  s.dependencies = std::move(dependencies);
  return s;
}

class UserApiTest : public ::testing::Test {
 protected:
  UserApiTest()
      : settings_(base::parse_settings(
            R"({"member":"m-0","serve_on":"127.0.0.1:1","peer_listen":"127.0.0.1:2",
                "endpoints":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
                "settings":{"teams":[{"name":"t"}],"state":{"value_kb":2,"txn_ops":4}}})")),
        controller_(settings_),
        users_(settings_, mutex_, controller_,
               {[this] { return answers_; }, [this](const std::string& key) { return get(key); },
                [this](const protocol::Transaction& txn) { return commit(txn); },
                [] { return 1000.0; }, [] {}, [](const JobId&) {}}) {
    spdlog::set_level(spdlog::level::off);
    protocol::MachineType type;
    type.name = "big";
    type.size.v = {8, 0, 64};
    apply(protocol::kCatalogueKey, to_json(std::vector{type}));
  }

  void apply(const std::string& key, const Json& value) {
    controller_.cache().apply({key, value, base::Version(++revision_)}, base::Time{});
  }
  void add_job(const protocol::JobSpec& s) {
    protocol::JobRecord record;
    record.spec = s;
    apply(protocol::job_key(s.id), to_json(record));
  }
  StateClient::Got get(const std::string& key) {
    ++reads_;
    StateClient::Got got;
    got.answered = answers_;
    const auto at = store_.find(key);
    if (at != store_.end()) got.item = {key, at->second, base::Version(1)};
    return got;
  }
  StateClient::Committed commit(const protocol::Transaction& txn) {
    StateClient::Committed done;
    if (!answers_) {
      done.outcome = StateClient::Outcome::kRefused;
      return done;
    }
    EXPECT_LE(txn.writes.size(), settings_.txn_ops);
    EXPECT_LE(txn.preconditions.size(), settings_.txn_ops * protocol::kPreconditionsPerWrite);
    for (const auto& write : txn.writes)
      EXPECT_LE(write.value->dump().size(), settings_.value_bytes);
    if (commits_left_ == 0) {
      done.outcome = StateClient::Outcome::kUnknown;
      return done;
    }
    --commits_left_;
    done.outcome = StateClient::Outcome::kDone;
    done.revision = base::Revision(++revision_);
    for (const auto& write : txn.writes) {
      store_[write.key] = write.value.value_or(Json());
      written_.push_back(write.key);
    }
    return done;
  }
  transport::Reply submit(const protocol::JobSpec& s) {
    return users_.submit(to_json(s).dump(), base::Time{});
  }
  static std::string status_of(const transport::Reply& reply) {
    return Json::parse(reply.body).value("status", "");
  }

  base::Settings settings_;
  std::mutex mutex_;
  coordination::Controller controller_;
  std::map<std::string, Json> store_;
  std::vector<std::string> written_;
  bool answers_ = true;
  int commits_left_ = 1000;
  int reads_ = 0;
  std::uint64_t revision_ = 0;
  UserApi users_;
};

}  // namespace

TEST_F(UserApiTest, SubmitWithUnknownDependencyIsRefused) {
  EXPECT_EQ(submit(spec(kJob, {kDependency})).status, 422);
  EXPECT_GT(reads_, 0) << "a cache that lags proves nothing";
  EXPECT_EQ(submit(spec(kJob, {kJob})).status, 422) << "itself";
}

TEST_F(UserApiTest, SubmitWithoutTheStoreIsToBeRepeated) {
  answers_ = false;
  const auto reply = submit(spec(kJob, {kDependency}));
  EXPECT_EQ(reply.status, 503);
  EXPECT_GT(reply.retry_after_s, 0);
}

// Final long ago: the cache has dropped its tombstone.
TEST_F(UserApiTest, SubmitWithDependencyFinalInTheStoreIsAccepted) {
  store_[protocol::final_key(kDependency)] = Json{{"f", "d"}};
  const auto reply = submit(spec(kJob, {kDependency}));
  EXPECT_EQ(reply.status, 201);
  EXPECT_EQ(status_of(reply), "queued");
}

TEST_F(UserApiTest, SubmitWithCancelledDependencyIsAcceptedAndCancelled) {
  store_[protocol::final_key(kDependency)] = Json{{"f", "w"}};
  const auto reply = submit(spec(kJob, {kDependency}));
  EXPECT_EQ(reply.status, 201);
  EXPECT_EQ(status_of(reply), "withdrawn");
  EXPECT_TRUE(store_.at(protocol::job_key(kJob)).value("w", false));
}

// An accepted job stays accepted, whatever a repeated submission depends on.
TEST_F(UserApiTest, RepeatedSubmitWithUnknownDependencyIsNotRefused) {
  add_job(spec(kJob, {}));
  EXPECT_EQ(submit(spec(kJob, {kDependency})).status, 200);
  store_[protocol::final_key(kLast)] = Json{{"f", "d"}};
  EXPECT_EQ(submit(spec(kLast, {kDependency})).status, 200);
}

// Another controller may have told that the job is cancelled. After a restart this one does not know how jobs
// ended that were final before.
TEST_F(UserApiTest, StatusWithUnreadDependencyReadsIt) {
  add_job(spec(kJob, {kDependency}));
  add_job(spec(kLast, {kJob}));
  store_[protocol::final_key(kDependency)] = Json{{"f", "w"}};
  EXPECT_EQ(status_of(users_.status(kLast)), "withdrawn");
}

TEST_F(UserApiTest, StatusOfBlockedJobIsQueued) {
  add_job(spec(kDependency, {}));
  add_job(spec(kJob, {kDependency}));
  EXPECT_EQ(status_of(users_.status(kJob)), "queued");
}

TEST_F(UserApiTest, SubmitWithMalformedDependenciesIsRefused) {
  Json body = to_json(spec(kJob, {}));
  body["follows"] = "run-000001";
  EXPECT_EQ(users_.submit(body.dump(), base::Time{}).status, 400);
  body["follows"] = {"run-000001", 7};
  EXPECT_EQ(users_.submit(body.dump(), base::Time{}).status, 400);
  body["follows"] = {"job-1"};
  EXPECT_EQ(users_.submit(body.dump(), base::Time{}).status, 400);
  for (const Json& none : {Json(), Json::array()}) {
    body["follows"] = none;
    body["name_id"] = "run-00010" + std::to_string(none.is_null());
    EXPECT_EQ(users_.submit(body.dump(), base::Time{}).status, 201);
  }
}

TEST_F(UserApiTest, SubmitWithRepeatedDependencyKeepsItOnce) {
  add_job(spec(kDependency, {}));
  EXPECT_EQ(submit(spec(kJob, {kDependency, kDependency})).status, 201);
  EXPECT_EQ(store_.at(protocol::job_key(kJob))["s"]["follows"], Json::array({kDependency.get()}));
}

// As many as a body of 64 KiB holds are kept, in values of 2 KiB, in whichever order another controller reads
// them.
TEST_F(UserApiTest, SubmitWithManyDependenciesKeepsThemInLists) {
  std::vector<JobId> dependencies;
  for (int i = 0; i < 4500; ++i) {
    dependencies.emplace_back("run-" + std::to_string(200000 + i));
    controller_.cache().remember_final(dependencies.back(), {});
  }
  const auto s = spec(kJob, dependencies);
  ASSERT_LT(to_json(s).dump().size(), 64u << 10);
  EXPECT_EQ(submit(s).status, 201);
  EXPECT_EQ(written_.back(), protocol::job_key(kJob)) << "accepted before all lists are written";
  for (const bool job_first : {false, true}) {
    storage::StateCache other(settings_);
    std::vector<std::string> keys = written_;
    if (job_first) std::reverse(keys.begin(), keys.end());
    std::uint64_t version = 0;
    for (const std::string& key : keys) {
      if (other.job(kJob) && key != keys.back()) {
        EXPECT_TRUE(other.job(kJob)->blocked);
      }
      other.apply({key, store_.at(key), base::Version(++version)}, base::Time{});
    }
    EXPECT_EQ(other.job(kJob)->record.spec.dependencies, dependencies);
    EXPECT_EQ(other.dependency_graph().open_dependencies(kJob).size(), dependencies.size());
    EXPECT_TRUE(other.job(kJob)->blocked);
    // All of it is removed once the job is final.
    other.apply({protocol::job_key(kJob), Json(), base::Version(++version)}, base::Time{});
    EXPECT_EQ(other.orphans().size(), keys.size() - 1);
  }
}

// A controller that ends before all lists are written has accepted nothing; the next try completes them.
TEST_F(UserApiTest, SubmitWithListsNotAllWrittenAcceptsNothing) {
  std::vector<JobId> dependencies;
  for (int i = 0; i < 1000; ++i) {
    dependencies.emplace_back("run-" + std::to_string(200000 + i));
    controller_.cache().remember_final(dependencies.back(), {});
  }
  commits_left_ = 2;
  EXPECT_EQ(submit(spec(kJob, dependencies)).status, 503);
  EXPECT_FALSE(store_.contains(protocol::job_key(kJob)));
  commits_left_ = 1000;
  EXPECT_EQ(submit(spec(kJob, dependencies)).status, 201);
}

TEST_F(UserApiTest, StatusOfUnknownJobIsNotFound) {
  EXPECT_EQ(users_.status(kJob).status, 404);
  answers_ = false;
  EXPECT_EQ(users_.status(kJob).status, 503)
      << "only the store can tell that it was never accepted";
}

TEST_F(UserApiTest, MalformedSubmitOfAcceptedJobTellsItsStatus) {
  Json body = to_json(spec(kJob, {}));
  body["strides"] = 0;
  EXPECT_EQ(users_.submit(body.dump(), base::Time{}).status, 400);
  add_job(spec(kJob, {}));
  const auto reply = users_.submit(body.dump(), base::Time{});
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(status_of(reply), "queued");
  answers_ = false;
  EXPECT_EQ(users_.submit(body.dump(), base::Time{}).status, 503);
}

TEST_F(UserApiTest, CancelOfLiveJobIsCommitted) {
  EXPECT_EQ(submit(spec(kJob, {})).status, 201);
  const auto reply = users_.cancel(kJob, base::Time{});
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(status_of(reply), "withdrawn");
  EXPECT_TRUE(store_.at(protocol::job_key(kJob)).value("w", false));
}

TEST_F(UserApiTest, CancelOfDoneJobTellsThatItIsDone) {
  store_[protocol::final_key(kJob)] = Json{{"f", "d"}};
  const auto reply = users_.cancel(kJob, base::Time{});
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(status_of(reply), "done");
}

TEST_F(UserApiTest, CancelThatIsNeverConfirmedIsToBeRepeated) {
  EXPECT_EQ(submit(spec(kJob, {})).status, 201);
  commits_left_ = 0;
  EXPECT_EQ(users_.cancel(kJob, base::Time{}).status, 503);
  EXPECT_EQ(users_.cancel(kLast, base::Time{}).status, 404);
}

}  // namespace saddleslip
