// Short names for types of the lower layers, for use throughout the storage layer.
#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "protocol/records.h"

namespace saddleslip::storage {

using base::Attempt;
using base::JobId;
using base::MachineId;
using base::MemberId;
using base::Revision;
using base::TaskId;
using base::TaskNumber;
using base::Time;
using base::Version;
using protocol::Assignment;
using protocol::ChunkRecord;
using protocol::ControllerIncarnation;
using protocol::FinalState;
using protocol::Item;
using protocol::JobRecord;
using protocol::JobStatus;
using protocol::MachineType;
using protocol::Resources;
using protocol::View;

}  // namespace saddleslip::storage
