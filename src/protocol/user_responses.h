// The paths that users call and the bodies that they are answered with.
#pragma once

#include <optional>
#include <string>

#include "protocol/base_types.h"

namespace saddleslip::protocol {

// Where users submit jobs; a job's own path is this, a slash and its id.
inline const std::string kSubmissionsPath = "/submissions";
// Appended to a job's path: its cancellation.
inline const std::string kCancelSuffix = "/withdraw";

// Status codes of the answers.
inline constexpr int kHttpOk = 200;             // an accepted job: its status
inline constexpr int kHttpCreated = 201;        // this submission was accepted
inline constexpr int kHttpBadRequest = 400;     // the submission is malformed
inline constexpr int kHttpNotFound = 404;       // no such job
inline constexpr int kHttpUnprocessable = 422;  // well-formed, and can never run
inline constexpr int kHttpUnavailable = 503;    // try again later

enum class JobStatus { kQueued, kRunning, kDone, kCancelled };

// The body that tells a job's status, with the numbers of its tasks that are done and running.
std::string user_status(const JobId& id, JobStatus status, std::optional<TaskNo> done = {},
                        std::optional<TaskNo> running = {});

// The body of an answer that refuses a request. Bytes of `reason` that are not UTF-8 are replaced.
std::string error_body(const std::string& reason);

}  // namespace saddleslip::protocol
