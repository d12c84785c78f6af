// Tests of reading and checking the settings files.
#include "base/settings.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace saddleslip::base {

using Json = nlohmann::json;

// Returns a valid file of the platform, with an unknown field.
Json valid_platform_file() {
  return {{"member", "m-0"},
          {"serve_on", "127.0.0.1:1"},
          {"peer_listen", "127.0.0.1:2"},
          {"siblings", {{{"member", "m-1"}, {"area", "x"}, {"address", "127.0.0.1:3"}}}},
          {"endpoints", {{"cloud", "127.0.0.1:4"}, {"state", "127.0.0.1:5"}}},
          {"settings", {{"workers", {{"lease_s", 12}}}}},
          {"a_later_field", 1}};
}

TEST(Settings, ValidPlatformFileIsParsed) {
  const Settings settings = parse_settings(valid_platform_file().dump());
  EXPECT_EQ(settings.controller_count, 2);
  EXPECT_LT(settings.tuning.member_ttl, settings.worker_lease * 0.5);
}

TEST(Settings, ErrorNamesInvalidField) {
  const auto expect_error_with = [](const Json& file, const std::string& expected_text) {
    try {
      parse_settings(file.dump());
      ADD_FAILURE() << "accepted: " << file.dump();
    } catch (const BadSettings& error) {
      EXPECT_NE(std::string(error.what()).find(expected_text), std::string::npos) << error.what();
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
    }
  };
  for (const char* field : {"member", "serve_on", "peer_listen", "endpoints"}) {
    Json file = valid_platform_file();
    file.erase(field);
    expect_error_with(file, field);
  }
  Json file = valid_platform_file();
  file["serve_on"] = "127.0.0.1:99999";
  expect_error_with(file, "serve_on");
  file = valid_platform_file();
  file["settings"]["workers"]["lease_s"] = "long";
  expect_error_with(file, "lease_s");
  file = valid_platform_file();
  file["settings"]["teams"] = {{{"name", "t"}, {"cpus", -1}}};
  expect_error_with(file, "cpus");
  EXPECT_THROW(parse_settings("{"), BadSettings);
}

TEST(BadSettings, ErrorInFileHasFileFieldAndReason) {
  Json file = valid_platform_file();
  file["settings"]["state"]["next"] = {{"txn_ops", 3}};
  try {
    parse_settings(file.dump());
    ADD_FAILURE() << "accepted";
  } catch (const BadSettings& error) {
    EXPECT_EQ(error.file(), SettingsFile::kPlatform);
    EXPECT_EQ(error.field(), "settings.state.next.txn_ops");
    EXPECT_EQ(error.reason(), "must be a number of at least 4.0");
    EXPECT_STREQ(error.what(),
                 "settings: settings.state.next.txn_ops must be a number of at least 4.0");
  }
  Settings settings = parse_settings(valid_platform_file().dump());
  try {
    apply_tuning(settings, "headroom: 11");
    ADD_FAILURE() << "accepted";
  } catch (const BadSettings& error) {
    EXPECT_EQ(error.file(), SettingsFile::kOperators);
    EXPECT_EQ(error.field(), "headroom");
    EXPECT_STREQ(error.what(), "operators' settings: headroom is out of range");
  }
}

TEST(BadSettings, UnreadableFileErrorNamesPath) {
  try {
    load_settings("/no/such/file", {});
    ADD_FAILURE() << "accepted";
  } catch (const BadSettings& error) {
    EXPECT_FALSE(error.file());
    EXPECT_STREQ(error.what(), "cannot read /no/such/file");
  }
}

// A later version of the platform may write kinds that this version does not know.
TEST(Settings, UnknownObjectiveKindIsKeptAsOther) {
  Json file = valid_platform_file();
  file["settings"]["objectives"] = {{{"kind", "wait"}, {"within_s", 5}},
                                    {{"kind", "deadline"}, {"times", 2}},
                                    {{"kind", "finished"}},
                                    {{"kind", "guarantee"}},
                                    {{"share", 0.5}},
                                    "no object"};
  const auto objectives = parse_settings(file.dump()).objectives;
  const std::vector<ObjectiveKind> kinds = {ObjectiveKind::kWait, ObjectiveKind::kDeadline,
                                            ObjectiveKind::kFinished, ObjectiveKind::kOther,
                                            ObjectiveKind::kOther};
  ASSERT_EQ(objectives.size(), kinds.size());
  for (std::size_t i = 0; i < kinds.size(); ++i) EXPECT_EQ(objectives[i].kind, kinds[i]) << i;
}

// The time to live of a member's lease and the worker's lease together must not exceed cancel_s.
// The default of the former is reduced accordingly, operators cannot set a higher value, and if
// even the minimum does not fit, there is a warning.
TEST(Settings, MemberTtlAndWorkerLeaseFitIntoCancelTime) {
  Json file = valid_platform_file();
  const auto settings_with = [&file](double worker_lease_s, double cancel_s) {
    file["settings"]["workers"] = {{"lease_s", worker_lease_s}, {"cancel_s", cancel_s}};
    return parse_settings(file.dump());
  };
  Settings settings = settings_with(31, 56);
  EXPECT_EQ(settings.tuning.member_ttl, Seconds(5));
  EXPECT_FALSE(cancellation_time_warning(settings));
  settings = settings_with(31, 35);
  EXPECT_LT(settings.tuning.member_ttl + settings.worker_lease, Seconds(34.1));
  EXPECT_FALSE(cancellation_time_warning(settings));
  EXPECT_THROW(apply_tuning(settings, "member_ttl_s: 5"), BadSettings);
  settings = settings_with(31, 31);
  ASSERT_TRUE(cancellation_time_warning(settings));
  EXPECT_EQ(cancellation_time_warning(settings)->find('\n'), std::string::npos);
}

TEST(OperatorSettings, InvalidFilesAreRejected) {
  Settings settings = parse_settings(valid_platform_file().dump());
  apply_tuning(settings, "round_period_s: 0.5\nmember_ttl_s: 4\n");
  EXPECT_EQ(settings.tuning.round_period, Seconds(0.5));
  apply_tuning(settings, "");
  for (const char* invalid_text : {"round_period_s: -1", "speed: 3", "round_period_s: soon", "- 1",
                                   "a: [", "member_ttl_s: 60", "max_connections: 8.5"}) {
    EXPECT_THROW(apply_tuning(settings, invalid_text), BadSettings) << invalid_text;
  }
}

// Announced limits of the state service may take effect without notice, so the smaller of the
// current and the announced limit applies from the start.
TEST(Settings, SmallerOfCurrentAndAnnouncedLimitsApplies) {
  Json file = valid_platform_file();
  file["settings"]["state"] = {{"value_kb", 16}, {"txn_ops", 12}, {"write_rps", 60}, {"rps", 200}};
  EXPECT_EQ(parse_settings(file.dump()).value_bytes, 16u << 10);
  file["settings"]["state"]["next"] = {{"value_kb", 2}, {"txn_ops", 20}, {"write_rps", 42}};
  const Settings settings = parse_settings(file.dump());
  EXPECT_EQ(settings.value_bytes, 2u << 10);
  EXPECT_EQ(settings.max_transaction_writes, 12u);
  EXPECT_EQ(settings.state_write_rps, 42);
  EXPECT_EQ(settings.state_rps, 200);
}

TEST(Settings, InvalidAnnouncedLimitsAreRejected) {
  const auto message = [](const Json& announced_limits) -> std::string {
    Json file = valid_platform_file();
    file["settings"]["state"]["next"] = announced_limits;
    try {
      parse_settings(file.dump());
    } catch (const BadSettings& error) {
      return error.what();
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
