// Tests for the parsers of submissions, task records, heartbeats and peer messages.
#include <gtest/gtest.h>

#include "protocol/records.h"

namespace saddleslip::protocol {

// A valid submission, with a field that this version does not know.
const std::string kValidSubmission =
    R"({"name_id":"run-000412","herd":"train","drover":"vision","gait":"array","rank":"urgent",)"
    R"("strides":16,"cores":8.0,"gpus":1.0,"memory_gb":64.0,"brand":"img-07","image_gb":6.2,)"
    R"("breeds":["g8"],"paddock":null,"same_place":true,"apart":false,"strays":true,)"
    R"("ride_s":240.0,"waypoint_s":30.0,"unload_s":4.0,"sundown_s":900.0,"later_field":{}})";

// Returns the valid submission as JSON, so that a test can change fields.
Json valid_submission() {
  return Json::parse(kValidSubmission);
}

TEST(Submission, ValidSubmissionRoundTrips) {
  const auto parsed = parse_submission(kValidSubmission);
  ASSERT_TRUE(std::holds_alternative<JobSpec>(parsed)) << std::get<ParseError>(parsed).message();
  // Encoding the parsed specification and parsing it again yields the same specification.
  const auto reparsed = parse_submission(to_json(std::get<JobSpec>(parsed)).dump());
  ASSERT_TRUE(std::holds_alternative<JobSpec>(reparsed));
  EXPECT_EQ(to_json(std::get<JobSpec>(reparsed)), to_json(std::get<JobSpec>(parsed)));
}

TEST(Submission, NullFieldEqualsMissingField) {
  Json with_nulls = valid_submission(), without_fields = valid_submission();
  for (const char* field : {"breeds", "paddock", "sundown_s"}) {
    with_nulls[field] = nullptr;
    without_fields.erase(field);
  }
  const auto null_spec = parse_submission(with_nulls.dump()),
             missing_spec = parse_submission(without_fields.dump());
  ASSERT_TRUE(std::holds_alternative<JobSpec>(null_spec) &&
              std::holds_alternative<JobSpec>(missing_spec));
  EXPECT_EQ(to_json(std::get<JobSpec>(null_spec)), to_json(std::get<JobSpec>(missing_spec)));
}

TEST(Submission, MalformedFieldIsNamedInTheError) {
  for (const char* body : {"", "[]", "3", "{", "null", R"({"name_id":"run-000412"})"}) {
    EXPECT_TRUE(std::holds_alternative<ParseError>(parse_submission(body))) << body;
  }
  const std::vector<std::pair<const char*, Json>> invalid_fields = {{"name_id", "job-1"},
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
  for (const auto& [field, value] : invalid_fields) {
    Json submission = valid_submission();
    submission[field] = value;
    const auto parsed = parse_submission(submission.dump());
    const auto* error = std::get_if<ParseError>(&parsed);
    ASSERT_TRUE(error) << field << " = " << value.dump();
    EXPECT_EQ(error->field, field) << value.dump();
  }
}

TEST(Submission, FirstOfSeveralErrorsIsReported) {
  const auto message = [](const std::string& body) {
    const auto parsed = parse_submission(body);
    const auto* error = std::get_if<ParseError>(&parsed);
    return error ? error->message() : "";
  };
  EXPECT_EQ(message("{"), "not JSON");
  EXPECT_EQ(message("[]"), "not an object");
  Json submission = valid_submission();
  submission["gait"] = "troupe";
  submission["cores"] = -1;
  EXPECT_EQ(message(submission.dump()), "gait must be array, gang or daemon");
  submission = valid_submission();
  submission["name_id"] = "job-1";
  EXPECT_EQ(message(submission.dump()), "name_id must have the form run-000412");
  submission.erase("name_id");
  EXPECT_EQ(message(submission.dump()), "name_id must be a non-empty string");
}

// A repeated submission is recognized by its job id, even if the rest of it is malformed.
TEST(Submission, JobIdOfMalformedSubmissionIsRead) {
  EXPECT_EQ(parse_submission_id(R"({"name_id":"run-000412"})"), JobId("run-000412"));
  for (const char* body : {"", "{", "[]", "{}", R"({"name_id":7})", R"({"name_id":"job-1"})"}) {
    EXPECT_FALSE(parse_submission_id(body)) << body;
  }
}

TEST(ChunkRecord, RoundTrips) {
  ChunkRecord chunk;
  chunk.next_attempt = Attempt(7);
  chunk.done.assign(10, false);
  chunk.done[0] = chunk.done[1] = chunk.done[9] = true;
  const Assignment assignment{MachineId("i-1"), Attempt(6), AgentIncarnation(2)};
  chunk.assigned[kMaxChunkTasks + 3] = assignment;
  chunk.assigned[kMaxChunkTasks + 4] = assignment;
  chunk.assigned[kMaxChunkTasks + 6] = {MachineId("i-2"), Attempt(5), AgentIncarnation(1)};
  const auto reparsed = parse_chunk(to_json(chunk, kMaxChunkTasks), kMaxChunkTasks, 10);
  ASSERT_TRUE(reparsed);
  EXPECT_EQ(reparsed->done, chunk.done);
  EXPECT_EQ(reparsed->assigned, chunk.assigned);
  EXPECT_EQ(reparsed->next_attempt, chunk.next_attempt);
  // Malformed: a run that reaches beyond the end of the record, and a value that is not an object.
  EXPECT_FALSE(parse_chunk(Json{{"n", 1}, {"d", {{9, 2}}}, {"h", Json::array()}}, 0, 10));
  EXPECT_FALSE(parse_chunk(Json("x"), 0, 10));
}

TEST(Heartbeat, MalformedBodyIsRejectedAndUnknownStateIsAccepted) {
  for (const char* body :
       {"", "{}", "[]", R"({"mount":3})",
        R"({"mount":"m","endpoint":"e","breed":"b","paddock":"p","ride":-1,"tally":1})"}) {
    EXPECT_FALSE(parse_heartbeat(body)) << body;
  }
  // An attempt with an unknown state is kept and counts as not ended.
  const auto heartbeat = parse_heartbeat(
      R"({"mount":"m","endpoint":"e","breed":"b","paddock":"p","strays":false,"ride":1,"tally":1,)"
      R"("strides":[{"stride":"run-000001/3","remount":1,"status":"dreaming"}]})");
  ASSERT_TRUE(heartbeat);
  EXPECT_NE(heartbeat->tasks.begin()->second[0].state, TaskState::kEnded);
}

TEST(PeerStatus, MalformedStatusAndOffersAreRejected) {
  for (const char* text :
       {"{}", R"({"from":3})", R"({"from":["a",1],"state":1,"m":{},"back":[]})"}) {
    EXPECT_FALSE(parse_status(Json::parse(text), base::Time{})) << text;
    EXPECT_FALSE(parse_offers(Json::parse(text))) << text;
  }
}

}  // namespace saddleslip::protocol
