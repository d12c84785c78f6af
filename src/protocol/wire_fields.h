// Field names of the messages of users, workers and the cloud, with the term of this code for each.
// Names that already are the usual terms (cores, gpus, memory_gb, rank, status, ...) stand where they
// are encoded and parsed. For .cpp files of this folder only: nothing outside it knows these words.
#pragma once

namespace saddleslip::protocol::wire {

// Any message
inline constexpr const char* kId = "name_id";  // of a job, or of a machine in the cloud's list
inline constexpr const char* kMachineType = "breed";
inline constexpr const char* kMachineTypes = "breeds";
inline constexpr const char* kZone = "paddock";
inline constexpr const char* kZones = "paddocks";
inline constexpr const char* kSpot = "strays";  // spot instance, or: may run on spot instances

// Submissions
inline constexpr const char* kJobClass = "herd";
inline constexpr const char* kTeam = "drover";
inline constexpr const char* kJobKind = "gait";
inline constexpr const char* kTaskCount = "strides";
inline constexpr const char* kOneZone = "same_place";  // all tasks in one zone
inline constexpr const char* kSpread = "apart";        // tasks spread over zones
inline constexpr const char* kImage = "brand";
inline constexpr const char* kEstimate = "ride_s";        // expected run time of a task
inline constexpr const char* kCheckpoint = "waypoint_s";  // interval between checkpoints
inline constexpr const char* kSave = "unload_s";          // time to save state when stopped
inline constexpr const char* kDeadline = "sundown_s";
inline constexpr const char* kDependencies = "follows";

// Heartbeats of agents, and commands to them
inline constexpr const char* kMachine = "mount";
inline constexpr const char* kAddress = "endpoint";
inline constexpr const char* kAgentIncarnation = "ride";
inline constexpr const char* kSequence = "tally";
inline constexpr const char* kFencingToken = "reins";
inline constexpr const char* kPreemptionNotice = "recall_s";  // seconds until the machine is taken
inline constexpr const char* kTasks = "strides";
inline constexpr const char* kTask = "stride";  // job id, slash, task number
inline constexpr const char* kAttempt = "remount";
inline constexpr const char* kCommands = "calls";
inline constexpr const char* kCommand = "call";
inline constexpr const char* kGracePeriod = "dismount_s";
inline constexpr const char* kOwner = "trailboss";  // the member that owns a machine

// The cloud's catalog and rentals
inline constexpr const char* kTypeName = "sku";
inline constexpr const char* kSpotPrice = "market_price";
inline constexpr const char* kBootTime = "ready_s";
inline constexpr const char* kMachines = "mounts";
inline constexpr const char* kRentalRequest = "hire";
inline constexpr const char* kRentalAge = "held_s";

// The state service
inline constexpr const char* kPreconditions = "guards";
inline constexpr const char* kVersion = "mark";
inline constexpr const char* kRevision = "ledger";
inline constexpr const char* kLease = "tether";

}  // namespace saddleslip::protocol::wire
