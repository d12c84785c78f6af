// Includes the headers for all records in the state service and all messages between controllers.
// Prefer the single headers where one of them is enough.
#pragma once

#include "protocol/dependency_lists.h"
#include "protocol/fleet_record.h"
#include "protocol/job_record.h"
#include "protocol/member_records.h"
#include "protocol/messages.h"
#include "protocol/peer_status.h"
#include "protocol/store_keys.h"
#include "protocol/store_transaction.h"
#include "protocol/task_records.h"
