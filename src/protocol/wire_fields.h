// JSON field names in the messages of users, workers, the cloud and the state service. The
// constants have the terms that the code uses. Fields whose names are such terms already (cores,
// gpus, memory_gb, rank, status, ...) have no constant and are written out where they are encoded
// and parsed. Only .cpp files in this folder may include this header: code outside it does not use
// the names of the protocol.
#pragma once

namespace saddleslip::protocol::wire {

// Fields that occur in several kinds of messages.
inline constexpr const char* kId = "name_id";  // id of a job, or of a machine in the cloud's list
inline constexpr const char* kMachineType = "breed";
inline constexpr const char* kMachineTypes = "breeds";
inline constexpr const char* kZone = "paddock";
inline constexpr const char* kZones = "paddocks";
// Of a machine: it is a spot instance. Of a job: it may run on spot instances.
inline constexpr const char* kSpot = "strays";

// Submissions of jobs.
inline constexpr const char* kJobClass = "herd";
inline constexpr const char* kTeam = "drover";
inline constexpr const char* kJobKind = "gait";
inline constexpr const char* kTaskCount = "strides";
inline constexpr const char* kOneZone = "same_place";  // all tasks run in the same zone
inline constexpr const char* kSpread = "apart";        // tasks are spread over several zones
inline constexpr const char* kImage = "brand";
inline constexpr const char* kEstimate = "ride_s";        // expected run time of a task
inline constexpr const char* kCheckpoint = "waypoint_s";  // interval between checkpoints
inline constexpr const char* kSave = "unload_s";  // time to save the state of a stopped task
inline constexpr const char* kDeadline = "sundown_s";
inline constexpr const char* kDependencies = "follows";

// Heartbeats of agents, and commands to agents.
inline constexpr const char* kMachine = "mount";
inline constexpr const char* kAddress = "endpoint";
inline constexpr const char* kAgentIncarnation = "ride";
inline constexpr const char* kSequence = "tally";
inline constexpr const char* kFencingToken = "reins";
inline constexpr const char* kPreemptionNotice =
    "recall_s";  // time until the cloud takes the machine
inline constexpr const char* kTasks = "strides";
inline constexpr const char* kTask = "stride";  // job id, slash and task number
inline constexpr const char* kAttempt = "remount";
inline constexpr const char* kCommands = "calls";
inline constexpr const char* kCommand = "call";
inline constexpr const char* kGracePeriod = "dismount_s";
inline constexpr const char* kOwner = "trailboss";  // the member that owns a machine

// The cloud's catalog, rentals and list of machines.
inline constexpr const char* kTypeName = "sku";
inline constexpr const char* kSpotPrice = "market_price";
inline constexpr const char* kBootTime = "ready_s";  // from the rental to the first heartbeat
inline constexpr const char* kMachines = "mounts";
inline constexpr const char* kRentalRequest = "hire";  // idempotency key of a rental
inline constexpr const char* kRentalAge = "held_s";    // seconds since the machine was rented

// Requests to and responses from the state service.
inline constexpr const char* kPreconditions = "guards";  // of a transaction
inline constexpr const char* kVersion = "mark";          // of a key
inline constexpr const char* kRevision = "ledger";
inline constexpr const char* kLease = "tether";

}  // namespace saddleslip::protocol::wire
