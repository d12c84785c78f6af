// Brings the id and time types of src/base into the namespace of the protocol, and names the JSON
// type.
#pragma once

#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "base/ids.h"

namespace saddleslip::protocol {

using Json = nlohmann::json;
using base::AgentIncarnation;
using base::Attempt;
using base::Epoch;
using base::FencingToken;
using base::Incarnation;
using base::JobId;
using base::LeaseId;
using base::MachineId;
using base::MemberId;
using base::Revision;
using base::Seconds;
using base::Sequence;
using base::TaskId;
using base::TaskNumber;
using base::Time;
using base::Version;

}  // namespace saddleslip::protocol
