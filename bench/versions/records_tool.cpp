// Checks the compatibility of stored records and messages between two versions of the program.
//
// The tool writes a fixed set of records with the library that it is linked to, or prints the facts
// that this library parses from such a set. check.sh runs it, and for the production version an
// older copy of it, and compares the facts that each version parses from the records of the other.
// tests/golden_records_test.sh compares its output with that of earlier versions.
//
// A record is a line of key, tab and JSON. Modes:
//
//   records_tool write             writes one record or message of each type
//   records_tool write-all         writes these, variants of them, and messages to agents and users
//   records_tool read < LINES      prints the facts parsed from the output of `write`, one per line
//   records_tool rewrite < LINES   parses the output of `write-all` and encodes it again
#include <cstdio>
#include <iostream>
#include <map>
#include <string>

#include "coordination/records/admission.h"
#include "protocol/records.h"
#include "storage/state_cache.h"

namespace {

using namespace saddleslip;
using protocol::Json;

constexpr double kTimeOfDay = 1'700'000'000.5;

// Returns a specification in which most fields are set.
protocol::JobSpec make_job_spec(const std::string& id, protocol::TaskNumber tasks) {
  protocol::JobSpec spec;
  spec.id = base::JobId(id);
  spec.job_class = "train";
  spec.team = "vision";
  spec.rank = protocol::Rank::kUrgent;
  spec.tasks = tasks;
  spec.request.amounts = {2, 0, 6.4};
  spec.types = {{"g8", "g16"}};
  spec.zone = "a";
  spec.spot = true;
  spec.image = "img-07";
  spec.image_gb = 1.5;
  spec.estimate = base::Seconds(40);
  spec.checkpoint = base::Seconds(20);
  spec.save = base::Seconds(4);
  spec.deadline = base::Seconds(120);
  return spec;
}

// Returns the job record that is stored when a controller accepts the job.
Json encode_accepted_job(const protocol::JobSpec& spec) {
#ifdef SADDLESLIP_BEFORE_PIPELINES
  const auto transaction = coordination::acceptance(spec, kTimeOfDay, 3);
#else
  coordination::AcceptanceContext context;
  context.time_of_day = kTimeOfDay;
  context.partitions = 3;
  context.value_bytes = 2048;
  const auto transaction =
      coordination::acceptance_transaction(coordination::new_job_record(spec, context));
#endif
  return *transaction.writes.at(0).value;
}

// Returns the tombstone of a job with this status.
Json encode_final_state(protocol::JobStatus status) {
#ifdef SADDLESLIP_BEFORE_PIPELINES
  return protocol::final_record(status);
#else
  return to_json(protocol::FinalState{status, kTimeOfDay});
#endif
}

// Prints one record as key, tab and JSON.
void print(const std::string& key, const Json& value) {
  std::cout << key << '\t' << value.dump() << '\n';
}

// Writes job records, a task record and tombstones.
void write_jobs() {
  const auto small_job = make_job_spec("run-000001", 3);
  auto large_job = make_job_spec("run-000002", 600);
  large_job.one_zone = true;
  print(protocol::job_key(small_job.id), encode_accepted_job(small_job));
  const Json record = encode_accepted_job(large_job);
  print(protocol::job_key(large_job.id), record);
  protocol::JobRecord cancelled;
  cancelled.spec = make_job_spec("run-000003", 1);
  cancelled.cancelled = true;
  print(protocol::job_key(cancelled.spec.id), to_json(cancelled));
  const protocol::TaskNumber size = protocol::parse_job(record)->chunk_size;
  protocol::ChunkRecord chunk;
  chunk.next_attempt = base::Attempt(7);
  chunk.done.assign(size, false);
  chunk.done[0] = chunk.done[1] = chunk.done[9] = true;
  chunk.assigned[size + 2] = {base::MachineId("i-000231"), base::Attempt(5),
                              base::AgentIncarnation(2)};
  chunk.assigned[size + 3] = {base::MachineId("i-000232"), base::Attempt(6),
                              base::AgentIncarnation(1)};
  chunk.assigned[size + 4] = {base::MachineId("i-000232"), base::Attempt(6),
                              base::AgentIncarnation(1)};
  print(protocol::chunk_record_key(large_job.id, 1), to_json(chunk, size));
  print(protocol::tombstone_key(base::JobId("run-000004")),
        encode_final_state(protocol::JobStatus::kDone));
  print(protocol::tombstone_key(base::JobId("run-000005")),
        encode_final_state(protocol::JobStatus::kCancelled));
}

protocol::ControllerIncarnation first_incarnation() {
  return {base::MemberId("stall-1"), base::Incarnation(42)};
}

// Writes the records of the members, the view, an ownership claim, the fleet and the catalog.
void write_cluster() {
  const protocol::ControllerIncarnation incarnation = first_incarnation();
  print(protocol::member_key(incarnation.member), to_json(protocol::Member{incarnation, true}));
  print(protocol::kLeaderKey, to_json(incarnation));
  protocol::View view;
  view.epoch = base::Epoch(9);
  view.members = {incarnation, {base::MemberId("stall-2"), base::Incarnation(43)}};
  view.overrides[base::MachineId("i-000231")] = base::MemberId("stall-2");
  print(protocol::kViewKey, to_json(view));
  print(protocol::claim_key(base::MachineId("i-000233")), to_json(incarnation));
  print(protocol::kFleetKey,
        to_json(std::vector<protocol::BootingMachine>{{base::MachineId("i-000240"), "g8", "a", true,
                                                       kTimeOfDay}},
                1024));
  protocol::MachineType type;
  type.name = "g8";
  type.size.amounts = {8, 0, 64};
  type.price = 0.5;
  type.zones = {"a", "b"};
  print(protocol::kCatalogueKey, to_json(std::vector{type}));
}

// Writes a status and offers, as controllers send them to each other.
void write_peer_messages() {
  protocol::MemberStatus status;
  status.from = first_incarnation();
  status.has_lease = true;
  status.revision = 3;
  protocol::MachineStatus machine;
  machine.id = base::MachineId("i-000231");
  machine.type = "g8";
  machine.zone = "a";
  machine.free.amounts = {4, 0, 32};
  machine.tasks = 2;
  machine.images = {"img-07"};
  status.machines = {machine};
  status.ownership_claims = {base::MachineId("i-000233")};
  status.worker_contact = protocol::WorkerContact::kLost;
  print("message/status", to_json(status, base::Time{}));
  protocol::Offers offers;
  offers.from = first_incarnation();
  offers.epoch = base::Epoch(9);
  offers.offers = {{base::JobId("run-000001"), {{0, 2}}}};
  print("message/offers", to_json(offers));
}

// Mode `write`.
void write() {
  write_jobs();
  write_cluster();
  write_peer_messages();
}

// Writes the records of a gang with dependencies, and of a service with split chunks and dependency
// lists.
void write_job_variants() {
  auto dependent = make_job_spec("run-000010", 4);
  dependent.kind = protocol::Kind::kGang;
  dependent.rank = protocol::Rank::kCritical;
  dependent.types.reset();
  dependent.zone.reset();
  dependent.deadline.reset();
  dependent.dependencies = {base::JobId("run-000001"), base::JobId("run-000002")};
  print(protocol::job_key(dependent.id), encode_accepted_job(dependent));

  protocol::JobRecord split;
  split.spec = make_job_spec("run-000011", 300);
  split.spec.kind = protocol::Kind::kService;
  split.spec.rank = protocol::Rank::kStandard;
  split.spec.spread = true;
  split.spec.dependencies = dependent.dependencies;
  const auto lists = protocol::split_dependencies(split.spec.dependencies, 16);
  split.dependency_lists = protocol::name_dependency_lists(lists);
  split.submitted_at = kTimeOfDay;
  split.chunk_size = 128;
  split.piece_size = 32;
  print(protocol::dependency_lists_key(split.spec.id), to_json(*split.dependency_lists));
  for (std::size_t i = 0; i < lists.size(); ++i) {
    print(protocol::dependency_list_key(split.spec.id, split.dependency_lists->set, i), lists[i]);
  }
  print(protocol::job_key(split.spec.id), to_json(split));
  const std::uint32_t number = split.chunk_of(140);
  const protocol::TaskNumber first = split.first_task(number);
  protocol::ChunkRecord piece;
  piece.done.assign(split.tasks_of(number), false);
  piece.done.back() = true;
  piece.assigned[140] = {base::MachineId("i-000234"), base::Attempt(1), base::AgentIncarnation(3)};
  print(split.record_key(number), to_json(piece, first));
}

// Writes cluster records and peer messages with the fields and values that `write` does not use.
void write_cluster_variants() {
  print(protocol::team_start_key("vision & \"speech\""), Json(1));
  print(protocol::job_start_key(base::JobId("run-000011")), Json(1));
  const protocol::ControllerIncarnation incarnation{base::MemberId("stall-3"),
                                                    base::Incarnation(44)};
  print(protocol::member_key(incarnation.member),
        to_json(protocol::Member{incarnation, false, protocol::kFormat}));
  const auto booting = [](const char* id, const char* type, bool spot) {
    return protocol::BootingMachine{base::MachineId(id), type, "b", spot, kTimeOfDay};
  };
  print(protocol::kFleetKey,
        to_json(std::vector{booting("i-1", "g8", false), booting("i-2", "g8", false),
                            booting("i-3", "g16", true)},
                1024));
  protocol::MemberStatus status;
  status.from = incarnation;
  status.base_revision = 3;
  status.revision = 4;
  protocol::MachineStatus machine;
  machine.id = base::MachineId("i-000235");
  machine.type = "g16";
  machine.zone = "b";
  machine.spot = true;
  machine.open = false;
  machine.free.amounts = {1, 2, 3.5};
  machine.preemptible.amounts = {4, 0, 6};
  machine.idle_since = base::after(base::Time{}, base::Seconds(-30));
  machine.is_silent = machine.heartbeat_overdue = true;
  status.machines = {machine};
  machine.id = base::MachineId("i-000236");
  machine.has_unacknowledged_response = machine.awaits_confirmation = true;
  machine.is_silent = machine.heartbeat_overdue = false;
  status.machines.push_back(machine);
  status.departed_machines = {base::MachineId("i-000237")};
  status.release_requested = {base::MachineId("i-000235"), base::MachineId("i-000236")};
  status.misdirected = {base::MachineId("i-000238")};
  status.crash_looping_jobs = {base::JobId("run-000012")};
  status.worker_contact = protocol::WorkerContact::kGood;
  print("message/status", to_json(status, base::Time{}));
  protocol::Offers offers;
  offers.from = incarnation;
  offers.epoch = base::Epoch(10);
  offers.offers = {{base::JobId("run-000011"), {{0, 2}, {40, 1}}}, {base::JobId("run-000010"), {}}};
  print("message/offers", to_json(offers));
}

// Writes the messages that controllers send but never parse; `rewrite` copies them unchanged.
void write_responses() {
  const auto print_response = [](const char* name, const std::string& body) {
    std::cout << "answer/" << name << '\t' << body << '\n';
  };
  using Op = protocol::Command::Op;
  const base::TaskId task{base::JobId("run-000010"), 3};
  const std::vector<protocol::Command> commands = {
      {Op::kRun, task, base::Attempt(4), base::Seconds(0)},
      {Op::kKill, task, base::Attempt(3), base::Seconds(2.5)},
      {Op::kForget, task, base::Attempt(2), base::Seconds(0)}};
  print_response("heartbeat", protocol::encode_heartbeat_response(base::FencingToken(8), commands));
  print_response("orders", protocol::encode_command_batch(base::FencingToken(8),
                                                          base::AgentIncarnation(5), commands));
  print_response("redirect", protocol::encode_redirect(base::MemberId("stall-1")));
  print_response("redirect", protocol::encode_redirect({}));
  using protocol::JobStatus;
  const base::JobId job("run-000010");
  print_response("status", protocol::user_status(job, JobStatus::kQueued));
  print_response("status", protocol::user_status(job, JobStatus::kRunning, 2, 1));
  print_response("status", protocol::user_status(job, JobStatus::kDone));
  print_response("status", protocol::user_status(job, JobStatus::kCancelled));
  print_response("error", protocol::error_body("no \"such\" job\xff"));
}

// Parses a value and encodes it again. Returns JSON null if it cannot be parsed. For a task record,
// `first` is the number of its first task and `count` the number of its tasks.
Json reencode(const std::string& key, const Json& value, protocol::TaskNumber first,
              protocol::TaskNumber count) {
  const auto encoded = [](const auto& parsed) { return parsed ? to_json(*parsed) : Json(); };
  if (key.starts_with(protocol::kJobPrefix)) return encoded(protocol::parse_job(value));
  if (key.starts_with(protocol::kTombstonePrefix))
    return encoded(protocol::parse_final_state(value));
  if (key.starts_with(protocol::kMemberPrefix)) return encoded(protocol::parse_member(value));
  if (key == protocol::kLeaderKey || key.starts_with(protocol::kClaimPrefix)) {
    return encoded(protocol::parse_incarnation(value));
  }
  if (key == protocol::kViewKey) return encoded(protocol::parse_view(value));
  if (key == protocol::kCatalogueKey) return encoded(protocol::parse_catalogue(value));
  if (key == protocol::kFleetKey) return to_json(protocol::parse_fleet(value), 1024);
  if (key == "message/offers") return encoded(protocol::parse_offers(value));
  if (key == "message/status") {
    const auto status = protocol::parse_status(value, base::Time{});
    return status ? to_json(*status, base::Time{}) : Json();
  }
  if (key.starts_with(protocol::kTaskRecordPrefix)) {
    const auto record = protocol::parse_chunk(value, first, count);
    return record ? to_json(*record, first) : Json();
  }
  return value;  // not parsed here: dependency lists and the keys that make starts conflict
}

// Mode `rewrite`. Task records are parsed with the layout in their job record, which precedes them
// in the input.
void rewrite() {
  std::map<base::JobId, protocol::JobRecord> jobs;
  for (std::string line; std::getline(std::cin, line);) {
    const auto tab = line.find('\t');
    const std::string key = line.substr(0, tab);
    if (key.starts_with("answer/")) {
      std::cout << line << '\n';
      continue;
    }
    const Json value = Json::parse(line.substr(tab + 1));
    if (key.starts_with(protocol::kJobPrefix)) {
      if (const auto job = protocol::parse_job(value)) jobs[job->spec.id] = *job;
    }
    protocol::TaskNumber first = 0, count = 0;
    if (const auto name = protocol::parse_task_record_key(key); name && jobs.contains(name->job)) {
      first = jobs.at(name->job).first_task(name->chunk);
      count = jobs.at(name->job).tasks_of(name->chunk);
    }
    print(key, reencode(key, value, first, count));
  }
}

// Prints the facts in a message between controllers.
void print_message(const std::string& key, const Json& value) {
  if (key == "message/status") {
    const auto status = protocol::parse_status(value, base::Time{});
    std::cout << key << ' ' << status->from.member.get() << ' ' << status->machines.size() << ' '
              << status->machines[0].free.cores() << ' ' << status->ownership_claims.size() << ' '
              << (status->worker_contact == protocol::WorkerContact::kLost) << '\n';
  } else {
    const auto offers = protocol::parse_offers(value);
    std::cout << key << ' ' << offers->epoch.get() << ' ' << offers->offers[0].job.get() << ' '
              << offers->offers[0].ranges[0].second << '\n';
  }
}

// Prints the facts about the jobs in the cache and their assignments.
void print_jobs(const storage::StateCache& cache) {
  for (const auto& [id, job] : cache.jobs()) {
    const auto& spec = job.record.spec;
    std::cout << "job " << id.get() << " class " << spec.job_class << " tasks " << spec.tasks
              << " memory " << spec.request.memory() << " deadline " << spec.deadline->count()
              << " submitted " << job.record.submitted_at << " cancelled " << job.cancelled()
              << " done " << job.done << " held " << job.assigned << '\n';
    for (const auto& chunk : job.chunks) {
      for (const auto& [number, assignment] : chunk.record.assigned) {
        std::cout << "held " << id.get() << ' ' << (number - job.chunk_first(1))
                  << " of record 1 by " << assignment.machine.get() << " attempt "
                  << assignment.attempt.get() << " session " << assignment.agent_incarnation.get()
                  << " next " << chunk.record.next_attempt.get() << '\n';
      }
    }
  }
}

// Mode `read`.
void read() {
  std::cout.precision(12);
  base::Settings settings;
  storage::StateCache cache(settings);
  std::uint64_t version = 0;
  for (std::string line; std::getline(std::cin, line);) {
    const auto tab = line.find('\t');
    const std::string key = line.substr(0, tab);
    const Json value = Json::parse(line.substr(tab + 1));
    if (key.starts_with("message/")) {
      print_message(key, value);
    } else {
      cache.apply({key, value, base::Version(++version)}, base::Time{});
    }
  }
  print_jobs(cache);
  for (const char* id : {"run-000004", "run-000005"}) {
    std::cout << "final " << id << ' ' << cache.final_state(base::JobId(id)).has_value() << '\n';
  }
  const auto& view = *cache.view();
  std::cout << "view " << view.epoch.get() << ' ' << view.members.size() << ' '
            << view.overrides.size() << " leader " << cache.leader()->incarnation.get()
            << " members " << cache.members().size() << " claims "
            << cache.ownership_claims().size() << " booting " << cache.booting().size() << ' '
            << cache.booting()[0].type << " types " << cache.catalogue().size() << '\n';
}

}  // namespace

int main(int argc, char** argv) {
  const std::string mode = argc > 1 ? argv[1] : "";
  if (mode == "write") {
    write();
  } else if (mode == "write-all") {
    write();
    write_job_variants();
    write_cluster_variants();
    write_responses();
  } else if (mode == "rewrite") {
    rewrite();
  } else if (mode == "read") {
    read();
  } else {
    std::cerr << "usage: records_tool write|write-all|read|rewrite\n";
    return 2;
  }
  return 0;
}
