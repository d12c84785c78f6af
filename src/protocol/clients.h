// Includes the clients of the cloud, the state service and the workers. Prefer the single headers
// where one of them is enough.
#pragma once

#include "protocol/cloud_client.h"
#include "protocol/state_client.h"
#include "protocol/worker_client.h"
