#include <gtest/gtest.h>

#include "protocol/records.h"

namespace saddleslip::protocol {

const std::string kGood =
    R"({"name_id":"run-000412","herd":"train","drover":"vision","gait":"array","rank":"urgent",)"
    R"("strides":16,"cores":8.0,"gpus":1.0,"memory_gb":64.0,"brand":"img-07","image_gb":6.2,)"
    R"("breeds":["g8"],"paddock":null,"same_place":true,"apart":false,"strays":true,)"
    R"("ride_s":240.0,"waypoint_s":30.0,"unload_s":4.0,"sundown_s":900.0,"later_field":{}})";

Json good() {
  return Json::parse(kGood);
}

TEST(Submission, ReadsWhatIsWellFormed) {
  const auto s = parse_submission(kGood);
  ASSERT_TRUE(std::holds_alternative<JobSpec>(s)) << std::get<ParseError>(s).message();
  // What is stored is read back the same.
  const auto again = parse_submission(to_json(std::get<JobSpec>(s)).dump());
  ASSERT_TRUE(std::holds_alternative<JobSpec>(again));
  EXPECT_EQ(to_json(std::get<JobSpec>(again)), to_json(std::get<JobSpec>(s)));
}

TEST(Submission, NullAndLeftOutAreEqual) {
  Json a = good(), b = good();
  for (const char* f : {"breeds", "paddock", "sundown_s"}) {
    a[f] = nullptr;
    b.erase(f);
  }
  const auto x = parse_submission(a.dump()), y = parse_submission(b.dump());
  ASSERT_TRUE(std::holds_alternative<JobSpec>(x) && std::holds_alternative<JobSpec>(y));
  EXPECT_EQ(to_json(std::get<JobSpec>(x)), to_json(std::get<JobSpec>(y)));
}

TEST(Submission, RefusesWhatIsMalformed) {
  for (const char* text : {"", "[]", "3", "{", "null", R"({"name_id":"run-000412"})"}) {
    EXPECT_TRUE(std::holds_alternative<ParseError>(parse_submission(text))) << text;
  }
  const std::vector<std::pair<const char*, Json>> bad = {{"name_id", "job-1"},
                                                         {"name_id", "run-"},
                                                         {"name_id", "run-00041x"},
                                                         {"name_id", 7},
                                                         {"herd", ""},
                                                         {"gait", "troupe"},
                                                         {"rank", "high"},
                                                         {"strides", 0},
                                                         {"strides", 100001},
                                                         {"strides", 1.5},
                                                         {"strides", -1},
                                                         {"cores", -1},
                                                         {"cores", "8"},
                                                         {"cores", 1e300},
                                                         {"memory_gb", nullptr},
                                                         {"gpus", true},
                                                         {"breeds", "g8"},
                                                         {"breeds", {1}},
                                                         {"paddock", 3},
                                                         {"same_place", 1},
                                                         {"apart", nullptr},
                                                         {"strays", "yes"},
                                                         {"ride_s", -1},
                                                         {"sundown_s", -5},
                                                         {"sundown_s", "soon"},
                                                         {"image_gb", -0.1},
                                                         {"brand", nullptr},
                                                         {"unload_s", Json::array()}};
  for (const auto& [field, value] : bad) {
    Json j = good();
    j[field] = value;
    const auto parsed = parse_submission(j.dump());
    const auto* error = std::get_if<ParseError>(&parsed);
    ASSERT_TRUE(error) << field << " = " << value.dump();
    EXPECT_EQ(error->field, field) << value.dump();
  }
}

TEST(Submission, SeveralErrorsReportTheFirst) {
  const auto message = [](const std::string& body) {
    const auto parsed = parse_submission(body);
    const auto* error = std::get_if<ParseError>(&parsed);
    return error ? error->message() : "";
  };
  EXPECT_EQ(message("{"), "not JSON");
  EXPECT_EQ(message("[]"), "not an object");
  Json j = good();
  j["gait"] = "troupe";
  j["cores"] = -1;
  EXPECT_EQ(message(j.dump()), "gait must be array, gang or daemon");
  j = good();
  j["name_id"] = "job-1";
  EXPECT_EQ(message(j.dump()), "name_id must have the form run-000412");
  j.erase("name_id");
  EXPECT_EQ(message(j.dump()), "name_id must be a non-empty string");
}

// A repeated submission is answered by its id, also if the rest of it is malformed.
TEST(Submission, MalformedBodyStillHasId) {
  EXPECT_EQ(parse_submission_id(R"({"name_id":"run-000412"})"), JobId("run-000412"));
  for (const char* body : {"", "{", "[]", "{}", R"({"name_id":7})", R"({"name_id":"job-1"})"}) {
    EXPECT_FALSE(parse_submission_id(body)) << body;
  }
}

TEST(Chunk, IsReadBackTheSame) {
  ChunkRecord c;
  c.next = Attempt(7);
  c.done.assign(10, false);
  c.done[0] = c.done[1] = c.done[9] = true;
  const Assignment h{MachineId("i-1"), Attempt(6), AgentIncarnation(2)};
  c.assigned[kMostChunk + 3] = h;
  c.assigned[kMostChunk + 4] = h;
  c.assigned[kMostChunk + 6] = {MachineId("i-2"), Attempt(5), AgentIncarnation(1)};
  const auto again = parse_chunk(to_json(c, kMostChunk), kMostChunk, 10);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->done, c.done);
  EXPECT_EQ(again->assigned, c.assigned);
  EXPECT_EQ(again->next, c.next);
  EXPECT_FALSE(parse_chunk(Json{{"n", 1}, {"d", {{9, 2}}}, {"h", Json::array()}}, 0, 10));
  EXPECT_FALSE(parse_chunk(Json("x"), 0, 10));
}

TEST(Heartbeat, SurvivesGarbage) {
  for (const char* text :
       {"", "{}", "[]", R"({"mount":3})",
        R"({"mount":"m","endpoint":"e","breed":"b","paddock":"p","ride":-1,"tally":1})"}) {
    EXPECT_FALSE(parse_heartbeat(text)) << text;
  }
  // A state that is not known yet means that the task is there.
  const auto r = parse_heartbeat(
      R"({"mount":"m","endpoint":"e","breed":"b","paddock":"p","strays":false,"ride":1,"tally":1,)"
      R"("strides":[{"stride":"run-000001/3","remount":1,"status":"dreaming"}]})");
  ASSERT_TRUE(r);
  EXPECT_NE(r->tasks.begin()->second[0].state, TaskState::kEnded);
}

TEST(Siblings, SurviveGarbage) {
  for (const char* text :
       {"{}", R"({"from":3})", R"({"from":["a",1],"state":1,"m":{},"back":[]})"}) {
    EXPECT_FALSE(parse_status(Json::parse(text), base::Time{})) << text;
    EXPECT_FALSE(parse_offers(Json::parse(text))) << text;
  }
}

}  // namespace saddleslip::protocol
