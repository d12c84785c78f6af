// Includes the headers for all messages of users, workers and the cloud. Prefer the single headers
// where one of them is enough.
#pragma once

#include "protocol/heartbeat.h"
#include "protocol/job_spec.h"
#include "protocol/machine_catalog.h"
#include "protocol/resources.h"
#include "protocol/user_responses.h"
#include "protocol/worker_commands.h"
