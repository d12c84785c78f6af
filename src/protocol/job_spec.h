// The job specification that a user submits.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/base_types.h"
#include "protocol/parse_error.h"
#include "protocol/resources.h"

namespace saddleslip::protocol {

// How the tasks of a job start and end.
enum class Kind {
  kArray,    // independent tasks
  kGang,     // tasks that start together or not at all
  kService,  // tasks that run until the job is cancelled
};

// Priority classes of jobs, from the highest to the lowest.
enum class Rank { kCritical, kUrgent, kStandard, kIdle };

// A job of one or more tasks that all have the same requirements.
struct JobSpec {
  JobId id;
  std::string job_class;
  std::string team;
  Kind kind = Kind::kArray;
  Rank rank = Rank::kStandard;
  TaskNumber tasks = 0;
  Resources request;                              // resources of each task
  std::optional<std::vector<std::string>> types;  // allowed machine types; nullopt: all
  std::optional<std::string> zone;                // required zone; nullopt: any
  bool one_zone = false;                          // all tasks must run in the same zone
  bool spread = false;                            // at most half of the tasks (rounded up) per zone
  bool spot = false;                              // tasks may run on spot instances
  std::string image;
  double image_gb = 0;
  Seconds estimate{0};              // expected run time of a task
  Seconds checkpoint{0};            // interval between checkpoints
  Seconds save{0};                  // time that a stopped task needs to save its state
  std::optional<Seconds> deadline;  // time from the submission
  // Jobs that must be done before any task of this job starts, without duplicates.
  std::vector<JobId> dependencies;
};

// Returns whether `id` has the form of a job id, such as run-000412: "run-" and 6 to 20 digits.
bool is_valid_job_id(const std::string& id);

// Encodes the specification with the field names of a submission.
Json to_json(const JobSpec& spec);

// Parses and validates a job specification. Unknown fields are ignored.
std::variant<JobSpec, ParseError> parse_job_spec(const Json& root);

// Parses and validates the HTTP body of a submission. Unknown fields are ignored.
std::variant<JobSpec, ParseError> parse_submission(const std::string& body);

// Returns the job id in the body of a submission, even if the rest of the submission is invalid;
// nullopt if there is no valid job id.
std::optional<JobId> parse_submission_id(const std::string& body);

}  // namespace saddleslip::protocol
