#include "base/settings.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace saddleslip::base {

using Json = nlohmann::json;

Json good() {
  return {{"member", "m-0"},
          {"serve_on", "127.0.0.1:1"},
          {"peer_listen", "127.0.0.1:2"},
          {"siblings", {{{"member", "m-1"}, {"area", "x"}, {"address", "127.0.0.1:3"}}}},
          {"endpoints", {{"cloud", "127.0.0.1:4"}, {"state", "127.0.0.1:5"}}},
          {"settings", {{"workers", {{"lease_s", 12}}}}},
          {"a_later_field", 1}};
}

TEST(Settings, TakesWhatThePlatformWrites) {
  const Settings s = parse_settings(good().dump());
  EXPECT_EQ(s.size, 2);
  EXPECT_LT(s.tuning.member_ttl, s.worker_lease * 0.5);
}

TEST(Settings, NamesTheFieldThatIsWrong) {
  const auto says = [](const Json& j, const std::string& word) {
    try {
      parse_settings(j.dump());
      ADD_FAILURE() << "accepted: " << j.dump();
    } catch (const BadSettings& e) {
      EXPECT_NE(std::string(e.what()).find(word), std::string::npos) << e.what();
      EXPECT_EQ(std::string(e.what()).find('\n'), std::string::npos);
    }
  };
  for (const char* f : {"member", "serve_on", "peer_listen", "endpoints"}) {
    Json j = good();
    j.erase(f);
    says(j, f);
  }
  Json j = good();
  j["serve_on"] = "127.0.0.1:99999";
  says(j, "serve_on");
  j = good();
  j["settings"]["workers"]["lease_s"] = "long";
  says(j, "lease_s");
  j = good();
  j["settings"]["teams"] = {{{"name", "t"}, {"cpus", -1}}};
  says(j, "cpus");
  EXPECT_THROW(parse_settings("{"), BadSettings);
}

TEST(BadSettings, FaultInAFileNamesFileFieldAndReason) {
  Json j = good();
  j["settings"]["state"]["next"] = {{"txn_ops", 3}};
  try {
    parse_settings(j.dump());
    ADD_FAILURE() << "accepted";
  } catch (const BadSettings& e) {
    EXPECT_EQ(e.file(), SettingsFile::kPlatform);
    EXPECT_EQ(e.field(), "settings.state.next.txn_ops");
    EXPECT_EQ(e.reason(), "must be a number of at least 4.0");
    EXPECT_STREQ(e.what(),
                 "settings: settings.state.next.txn_ops must be a number of at least 4.0");
  }
  Settings settings = parse_settings(good().dump());
  try {
    apply_tuning(settings, "headroom: 11");
    ADD_FAILURE() << "accepted";
  } catch (const BadSettings& e) {
    EXPECT_EQ(e.file(), SettingsFile::kOperators);
    EXPECT_EQ(e.field(), "headroom");
    EXPECT_STREQ(e.what(), "operators' settings: headroom is out of range");
  }
}

TEST(BadSettings, UnreadableFileNamesThePath) {
  try {
    load_settings("/no/such/file", {});
    ADD_FAILURE() << "accepted";
  } catch (const BadSettings& e) {
    EXPECT_FALSE(e.file());
    EXPECT_STREQ(e.what(), "cannot read /no/such/file");
  }
}

// Kinds of a later platform are no fault.
TEST(Settings, UnknownObjectiveKindIsKeptAsOther) {
  Json j = good();
  j["settings"]["objectives"] = {{{"kind", "wait"}, {"within_s", 5}},
                                 {{"kind", "deadline"}, {"times", 2}},
                                 {{"kind", "finished"}},
                                 {{"kind", "guarantee"}},
                                 {{"share", 0.5}},
                                 "no object"};
  const auto objectives = parse_settings(j.dump()).objectives;
  const std::vector<ObjectiveKind> kinds = {ObjectiveKind::kWait, ObjectiveKind::kDeadline,
                                            ObjectiveKind::kFinished, ObjectiveKind::kOther,
                                            ObjectiveKind::kOther};
  ASSERT_EQ(objectives.size(), kinds.size());
  for (std::size_t i = 0; i < kinds.size(); ++i) EXPECT_EQ(objectives[i].kind, kinds[i]) << i;
}

// Authority, then a worker's lease, must fit into the time that a cancellation has: the default shrinks
// to it, operators can't set more, and what can't fit at all is said.
TEST(Settings, AuthorityAndLeaseFitIntoACancellation) {
  Json j = good();
  const auto with = [&j](double lease, double cancel) {
    j["settings"]["workers"] = {{"lease_s", lease}, {"cancel_s", cancel}};
    return parse_settings(j.dump());
  };
  Settings s = with(31, 56);
  EXPECT_EQ(s.tuning.member_ttl, Seconds(5));
  EXPECT_FALSE(caution(s));
  s = with(31, 35);
  EXPECT_LT(s.tuning.member_ttl + s.worker_lease, Seconds(34.1));
  EXPECT_FALSE(caution(s));
  EXPECT_THROW(apply_tuning(s, "member_ttl_s: 5"), BadSettings);
  s = with(31, 31);
  ASSERT_TRUE(caution(s));
  EXPECT_EQ(caution(s)->find('\n'), std::string::npos);
}

TEST(Operators, AreChecked) {
  Settings s = parse_settings(good().dump());
  apply_tuning(s, "round_period_s: 0.5\nmember_ttl_s: 4\n");
  EXPECT_EQ(s.tuning.round_period, Seconds(0.5));
  apply_tuning(s, "");
  for (const char* bad : {"round_period_s: -1", "speed: 3", "round_period_s: soon", "- 1", "a: [",
                          "member_ttl_s: 60", "max_connections: 8.5"}) {
    EXPECT_THROW(apply_tuning(s, bad), BadSettings) << bad;
  }
}

// Limits that the state service gets later come without notice: the smaller ones hold from the start.
TEST(Settings, KeepsTheSmallerOfPresentAndLaterLimits) {
  Json j = good();
  j["settings"]["state"] = {{"value_kb", 16}, {"txn_ops", 12}, {"write_rps", 60}, {"rps", 200}};
  EXPECT_EQ(parse_settings(j.dump()).value_bytes, 16u << 10);
  j["settings"]["state"]["next"] = {{"value_kb", 2}, {"txn_ops", 20}, {"write_rps", 42}};
  const Settings s = parse_settings(j.dump());
  EXPECT_EQ(s.value_bytes, 2u << 10);
  EXPECT_EQ(s.txn_ops, 12u);
  EXPECT_EQ(s.state_write_rps, 42);
  EXPECT_EQ(s.state_rps, 200);
}

TEST(Settings, RefusesLaterLimitsThatDoNotFit) {
  const auto message = [](const Json& next) -> std::string {
    Json j = good();
    j["settings"]["state"]["next"] = next;
    try {
      parse_settings(j.dump());
    } catch (const BadSettings& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_EQ(message(Json()), "");
  EXPECT_EQ(message({{"value_kb", 1}, {"txn_ops", 4}}), "");
  EXPECT_NE(message("small").find("settings.state.next must be an object"), std::string::npos);
  EXPECT_NE(message({{"value_kb", 0.5}}).find("settings.state.next.value_kb"), std::string::npos);
  EXPECT_NE(message({{"txn_ops", 3}}).find("settings.state.next.txn_ops"), std::string::npos);
  EXPECT_NE(message({{"write_rps", "few"}}).find("settings.state.next.write_rps"),
            std::string::npos);
}

}  // namespace saddleslip::base
