#include "protocol/peer_status.h"

#include <array>

#include "protocol/id_lists.h"

namespace saddleslip::protocol {

namespace {

// JSON field names of a member status.
constexpr const char* kFrom = "from";
constexpr const char* kHasLease = "state";
constexpr const char* kBaseRevision = "since";
constexpr const char* kRevision = "upto";
constexpr const char* kMachines = "m";
constexpr const char* kDepartedMachines = "left";
constexpr const char* kReleaseRequested = "back";
constexpr const char* kMisdirected = "knocked";
constexpr const char* kOwnershipClaims = "claims";
constexpr const char* kCrashLoopingJobs = "suspects";
constexpr const char* kWorkerContact = "contact";

// JSON field names of offers.
constexpr const char* kEpoch = "epoch";
constexpr const char* kOffers = "offers";

// Indices of the array that encodes a machine.
enum MachineField : std::size_t {
  kId,
  kType,
  kZone,
  kSpot,
  kOpen,
  kFree,
  kPreemptible,
  kTasks,
  kIdleSeconds,  // 0 if it has tasks
  kImages,
  kIsSilent,
  kHasUnacknowledgedResponse,
  kAwaitsConfirmation,
  kHeartbeatOverdue,
};

// Values of the field kWorkerContact.
constexpr const char* kContactGood = "good";
constexpr const char* kContactLost = "lost";
constexpr const char* kContactUnknown = "unknown";

const char* to_string(WorkerContact contact) {
  switch (contact) {
    case WorkerContact::kGood:
      return kContactGood;
    case WorkerContact::kLost:
      return kContactLost;
    case WorkerContact::kUnknown:
      break;
  }
  return kContactUnknown;
}

WorkerContact parse_contact(const std::string& name) {
  if (name == kContactGood) return WorkerContact::kGood;
  if (name == kContactLost) return WorkerContact::kLost;
  return WorkerContact::kUnknown;
}

// Encodes a machine as an array in the order of MachineField.
Json to_json(const MachineStatus& machine, Time now) {
  const double idle_seconds =
      machine.tasks > 0 ? 0.0 : base::between(machine.idle_since, now).count();
  return Json::array({machine.id.get(), machine.type, machine.zone, machine.spot, machine.open,
                      machine.free.amounts, machine.preemptible.amounts, machine.tasks,
                      idle_seconds, machine.images, machine.is_silent,
                      machine.has_unacknowledged_response, machine.awaits_confirmation,
                      machine.heartbeat_overdue});
}

// Parses the array that encodes a machine. Throws Json::exception if it is malformed.
MachineStatus parse_machine(const Json& value, Time now) {
  MachineStatus machine;
  machine.id = MachineId(value.at(kId).get<std::string>());
  machine.type = value.at(kType).get<std::string>();
  machine.zone = value.at(kZone).get<std::string>();
  machine.spot = value.at(kSpot).get<bool>();
  machine.open = value.at(kOpen).get<bool>();
  machine.free.amounts = value.at(kFree).get<std::array<double, 3>>();
  machine.preemptible.amounts = value.at(kPreemptible).get<std::array<double, 3>>();
  machine.tasks = value.at(kTasks).get<std::uint32_t>();
  if (machine.tasks == 0) {
    machine.idle_since = base::after(now, Seconds(-value.at(kIdleSeconds).get<double>()));
  }
  machine.images = value.at(kImages).get<std::vector<std::string>>();
  machine.is_silent = value.at(kIsSilent).get<bool>();
  machine.has_unacknowledged_response = value.at(kHasUnacknowledgedResponse).get<bool>();
  machine.awaits_confirmation = value.at(kAwaitsConfirmation).get<bool>();
  machine.heartbeat_overdue = value.at(kHeartbeatOverdue).get<bool>();
  return machine;
}

}  // namespace

Json to_json(const MemberStatus& status, Time now) {
  Json machines = Json::array();
  for (const MachineStatus& machine : status.machines) machines.push_back(to_json(machine, now));
  return Json{{kFrom, to_json(status.from)},
              {kHasLease, status.has_lease},
              {kBaseRevision, status.base_revision},
              {kRevision, status.revision},
              {kMachines, std::move(machines)},
              {kDepartedMachines, ids_to_json(status.departed_machines)},
              {kReleaseRequested, ids_to_json(status.release_requested)},
              {kMisdirected, ids_to_json(status.misdirected)},
              {kOwnershipClaims, ids_to_json(status.ownership_claims)},
              {kCrashLoopingJobs, ids_to_json(status.crash_looping_jobs)},
              {kWorkerContact, to_string(status.worker_contact)}};
}

std::optional<MemberStatus> parse_status(const Json& body, Time now) {
  try {
    MemberStatus status;
    const auto from = parse_incarnation(body.at(kFrom));
    if (!from) return {};
    status.from = *from;
    status.has_lease = body.at(kHasLease).get<bool>();
    status.base_revision = body.at(kBaseRevision).get<std::uint64_t>();
    status.revision = body.at(kRevision).get<std::uint64_t>();
    for (const Json& entry : body.at(kMachines)) {
      status.machines.push_back(parse_machine(entry, now));
    }
    status.departed_machines = parse_ids<MachineId>(body, kDepartedMachines);
    status.release_requested = parse_ids<MachineId>(body, kReleaseRequested);
    status.misdirected = parse_ids<MachineId>(body, kMisdirected);
    status.ownership_claims = parse_ids<MachineId>(body, kOwnershipClaims);
    status.crash_looping_jobs = parse_ids<JobId>(body, kCrashLoopingJobs);
    status.worker_contact = parse_contact(body.value(kWorkerContact, ""));
    return status;
  } catch (const Json::exception&) {
    return {};
  }
}

Json to_json(const Offers& offers) {
  Json list = Json::array();
  for (const Offer& offer : offers.offers) list.push_back({offer.job.get(), offer.ranges});
  return Json{
      {kFrom, to_json(offers.from)}, {kEpoch, offers.epoch.get()}, {kOffers, std::move(list)}};
}

std::optional<Offers> parse_offers(const Json& body) {
  try {
    Offers offers;
    const auto from = parse_incarnation(body.at(kFrom));
    if (!from) return {};
    offers.from = *from;
    offers.epoch = Epoch(body.at(kEpoch).get<std::uint64_t>());
    for (const Json& entry : body.at(kOffers)) {
      offers.offers.push_back({JobId(entry.at(0).get<std::string>()),
                               entry.at(1).get<std::vector<std::pair<TaskNumber, TaskNumber>>>()});
    }
    return offers;
  } catch (const Json::exception&) {
    return {};
  }
}

}  // namespace saddleslip::protocol
