#include "protocol/records.h"

#include <algorithm>

#include "protocol/id_lists.h"

namespace saddleslip::protocol {

std::string job_key(const JobId& id) {
  return kJobs + id.get();
}
std::string final_key(const JobId& id) {
  return kFinals + id.get();
}
std::string chunk_key(const JobId& id, std::uint32_t chunk) {
  return kChunks + id.get() + "/" + std::to_string(chunk);
}
std::string piece_key(const JobId& id, std::uint32_t piece) {
  return kChunks + id.get() + "/p" + std::to_string(piece);
}
std::string team_key(const std::string& team) {
  // Keys hold no spaces and 200 bytes at most; a team's name may be anything.
  std::string out;
  static constexpr char kHex[] = "0123456789abcdef";
  for (const char c : team.substr(0, 80)) {
    if (std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_') {
      out += c;
    } else {
      out += '%';
      out += kHex[(static_cast<unsigned char>(c) >> 4) & 15];
      out += kHex[static_cast<unsigned char>(c) & 15];
    }
  }
  return kTeams + out;
}
std::string claim_key(const MachineId& machine) {
  return kClaims + machine.get();
}
std::string row_key(const JobId& id) {
  return kTeams + "job/" + id.get();
}
std::string member_key(const MemberId& member) {
  return kMembers + member.get();
}

std::optional<ChunkName> parse_chunk_key(const std::string& key) {
  const auto slash = key.rfind('/');
  if (slash == std::string::npos || slash <= kChunks.size()) return {};
  const bool is_piece = key.compare(slash, 2, "/p") == 0;
  const std::size_t number = slash + (is_piece ? 2 : 1);
  constexpr std::size_t kMostDigits = 6;
  if (number >= key.size() || key.size() - number > kMostDigits) return {};
  std::uint32_t n = 0;
  for (std::size_t i = number; i < key.size(); ++i) {
    if (key[i] < '0' || key[i] > '9') return {};
    n = n * 10 + static_cast<std::uint32_t>(key[i] - '0');
  }
  return ChunkName{JobId(key.substr(kChunks.size(), slash - kChunks.size())), n, is_piece};
}

namespace {

// Of a record's encoding: its frame with the next attempt's number; brackets, commas and quotes of a held
// task, [place,count,"machine",attempt,session], and of a run of tasks that are done, [place,count].
constexpr std::size_t kFrameBytes = 64;
constexpr std::size_t kHeldPunctuation = 9;
constexpr std::size_t kDonePunctuation = 4;
constexpr std::size_t kPlaceDigits =
    3;  // at most, of a task's place in its record or a count of tasks
constexpr std::size_t kHeldBytes = 36;  // expected; what a record holds is counted exactly

std::size_t digits(std::uint64_t number) {
  return std::to_string(number).size();
}

}  // namespace

TaskNo chunk_size(TaskNo tasks, std::size_t partitions, std::size_t most_bytes) {
  constexpr TaskNo kLeast = 16;
  const std::size_t room = most_bytes > kFrameBytes ? most_bytes - kFrameBytes : 0;
  const std::size_t fit = room / kHeldBytes;
  const TaskNo most = static_cast<TaskNo>(std::clamp<std::size_t>(fit, 1, kMostChunk));
  const auto n = static_cast<TaskNo>(std::max<std::size_t>(1, partitions));
  return std::clamp((tasks + n - 1) / n, std::min(kLeast, most), most);
}

std::size_t encoded_size_bound(const Assignment& assignment) {
  return kHeldPunctuation + kPlaceDigits + 1 + assignment.machine.get().size() +
         digits(assignment.attempt.get()) + digits(assignment.agent_incarnation.get());
}

std::size_t encoded_size_bound(const ChunkRecord& chunk) {
  std::size_t bytes = kFrameBytes;
  for (const auto& [no, assignment] : chunk.assigned) bytes += encoded_size_bound(assignment);
  bool in_run = false;
  for (const bool done : chunk.done) {
    if (done && !in_run) bytes += kDonePunctuation + 2 * kPlaceDigits;
    in_run = done;
  }
  return bytes;
}

std::string dependency_lists_key(const JobId& id) {
  return kDependencies + id.get();
}

std::string dependency_list_key(const JobId& id, const std::string& set, std::size_t number) {
  return dependency_lists_key(id) + "/" + set + "/" + std::to_string(number);
}

std::optional<JobId> job_of_dependency_key(const std::string& key) {
  if (!key.starts_with(kDependencies)) return {};
  return JobId(
      key.substr(kDependencies.size(), key.find('/', kDependencies.size()) - kDependencies.size()));
}

std::vector<Json> split_dependencies(const std::vector<JobId>& dependencies,
                                     std::size_t most_bytes) {
  constexpr std::size_t kIdPunctuation = 3;  // quotes and a comma
  std::vector<Json> lists;
  std::size_t bytes = 0;
  for (const JobId& id : dependencies) {
    const std::size_t more = id.get().size() + kIdPunctuation;
    if (lists.empty() || bytes + more > most_bytes) {
      lists.push_back(Json::array());
      bytes = 2;
    }
    lists.back().push_back(id.get());
    bytes += more;
  }
  return lists;
}

DependencyLists name_dependency_lists(const std::vector<Json>& lists) {
  const std::size_t hash = std::hash<std::string>{}(Json(lists).dump());
  return {std::to_string(hash), lists.size()};
}

Json to_json(const DependencyLists& lists) {
  return Json::array({lists.set, lists.count});
}

namespace {

std::optional<DependencyLists> parse_dependency_lists(const Json& value) {
  if (!value.is_array() || value.size() != 2 || !value[0].is_string() ||
      !value[1].is_number_unsigned())
    return {};
  return DependencyLists{value[0].get<std::string>(), value[1].get<std::size_t>()};
}

}  // namespace

Json to_json(const JobRecord& job) {
  Json j = {{"s", to_json(job.spec)}, {"at", job.submitted}};
  if (job.dependency_lists) {
    j["s"].erase(kDependenciesField);
    j["n"] = to_json(*job.dependency_lists);
  }
  if (job.cancelled) j["w"] = true;
  if (job.chunk != kMostChunk) j["c"] = job.chunk;
  if (job.piece != 0) j["p"] = job.piece;
  return j;
}

std::optional<JobRecord> parse_job(const Json& value) {
  if (!value.is_object() || !value.contains("s")) return {};
  auto spec = parse_submission(value.at("s").dump());
  if (!std::holds_alternative<JobSpec>(spec)) return {};
  JobRecord job;
  job.spec = std::get<JobSpec>(std::move(spec));
  job.submitted = value.value("at", 0.0);
  job.cancelled = value.value("w", false);
  if (const auto lists = value.find("n"); lists != value.end()) {
    job.dependency_lists = parse_dependency_lists(*lists);
    if (!job.dependency_lists) return {};
  }
  const auto chunk = value.find("c");
  if (chunk != value.end()) {
    if (!chunk->is_number_unsigned() || *chunk < 1u || *chunk > kMostChunk) return {};
    job.chunk = chunk->get<TaskNo>();
  }
  if (const auto piece = value.find("p"); piece != value.end()) {
    if (!piece->is_number_unsigned() || *piece < 1u || *piece > job.chunk) return {};
    job.piece = piece->get<TaskNo>();
  }
  return job;
}

TaskNo ChunkRecord::done_count() const {
  return static_cast<TaskNo>(std::count(done.begin(), done.end(), true));
}

Json to_json(const ChunkRecord& chunk, TaskNo first) {
  Json done = Json::array();
  for (std::size_t i = 0; i < chunk.done.size();) {
    if (!chunk.done[i]) {
      ++i;
      continue;
    }
    std::size_t n = 1;
    while (i + n < chunk.done.size() && chunk.done[i + n]) ++n;
    done.push_back({i, n});
    i += n;
  }
  Json assignment = Json::array();
  for (auto it = chunk.assigned.begin(); it != chunk.assigned.end();) {
    TaskNo n = 1;
    auto next = std::next(it);
    while (next != chunk.assigned.end() && next->first == it->first + n &&
           next->second == it->second) {
      ++n;
      ++next;
    }
    assignment.push_back({it->first - first, n, it->second.machine.get(), it->second.attempt.get(),
                          it->second.agent_incarnation.get()});
    it = next;
  }
  return Json{{"n", chunk.next.get()}, {"d", std::move(done)}, {"h", std::move(assignment)}};
}

std::optional<ChunkRecord> parse_chunk(const Json& value, TaskNo first, TaskNo count) {
  try {
    ChunkRecord chunk;
    chunk.done.assign(count, false);
    if (value.is_null()) return chunk;
    chunk.next = Attempt(value.at("n").get<std::uint64_t>());
    for (const Json& d : value.at("d")) {
      const auto at = d.at(0).get<TaskNo>(), n = d.at(1).get<TaskNo>();
      if (at > count || n > count - at) return {};
      std::fill_n(chunk.done.begin() + at, n, true);
    }
    for (const Json& h : value.at("h")) {
      const auto at = h.at(0).get<TaskNo>(), n = h.at(1).get<TaskNo>();
      if (at > count || n > count - at) return {};
      const Assignment assignment{MachineId(h.at(2).get<std::string>()),
                                  Attempt(h.at(3).get<std::uint64_t>()),
                                  AgentIncarnation(h.at(4).get<std::uint64_t>())};
      for (TaskNo i = 0; i < n; ++i) chunk.assigned[first + at + i] = assignment;
    }
    return chunk;
  } catch (const Json::exception&) {
    return {};
  }
}

Json to_json(const FinalState& state) {
  Json j = {{"f", state.status == JobStatus::kDone ? "d" : "w"}};
  if (state.at > 0) j["at"] = state.at;
  return j;
}

std::optional<FinalState> parse_final(const Json& value) {
  if (!value.is_object()) return {};
  FinalState state;
  const auto how = value.find("f");
  state.status = how != value.end() && *how == "d" ? JobStatus::kDone : JobStatus::kCancelled;
  const auto at = value.find("at");
  if (at != value.end() && at->is_number()) state.at = at->get<double>();
  return state;
}

Json to_json(const ControllerIncarnation& incarnation) {
  return Json::array({incarnation.member.get(), incarnation.incarnation.get()});
}

std::optional<ControllerIncarnation> parse_incarnation(const Json& value) {
  if (!value.is_array() || value.size() != 2 || !value[0].is_string() ||
      !value[1].is_number_unsigned()) {
    return {};
  }
  return ControllerIncarnation{MemberId(value[0].get<std::string>()),
                               Incarnation(value[1].get<std::uint64_t>())};
}

Json to_json(const Member& member) {
  return Json{{"life", to_json(member.incarnation)},
              {"reaches", member.reaches},
              {"format", member.format}};
}

std::optional<Member> parse_member(const Json& value) {
  if (!value.is_object() || !value.contains("life")) return {};
  const auto incarnation = parse_incarnation(value.at("life"));
  if (!incarnation) return {};
  Member member{*incarnation, value.contains("reaches") && value.at("reaches") == true};
  const auto format = value.find("format");
  if (format != value.end() && format->is_number_unsigned())
    member.format = format->get<std::uint64_t>();
  return member;
}

Json to_json(const View& view) {
  Json members = Json::array();
  for (const ControllerIncarnation& m : view.members) members.push_back(to_json(m));
  Json j = {{"epoch", view.epoch.get()}, {"members", std::move(members)}};
  // By member: a node that loses its workers hands over hundreds of machines at once.
  for (const auto& [machine, member] : view.overrides)
    j["pins"][member.get()].push_back(machine.get());
  return j;
}

std::optional<View> parse_view(const Json& value) {
  if (!value.is_object() || !value.contains("epoch") || !value.at("epoch").is_number_unsigned() ||
      !value.contains("members") || !value.at("members").is_array()) {
    return {};
  }
  View view;
  view.epoch = Epoch(value.at("epoch").get<std::uint64_t>());
  for (const Json& m : value.at("members")) {
    const auto incarnation = parse_incarnation(m);
    if (!incarnation) return {};
    view.members.push_back(*incarnation);
  }
  if (const auto overrides = value.find("pins");
      overrides != value.end() && overrides->is_object()) {
    for (const auto& [member, machines] : overrides->items()) {
      if (!machines.is_array()) return {};
      for (const Json& machine : machines) {
        if (!machine.is_string()) return {};
        view.overrides[MachineId(machine.get<std::string>())] = MemberId(member);
      }
    }
  }
  return view;
}

// By rental, since those of one are alike but for their names: hundreds may boot at once.
Json to_json(const std::vector<Booting>& fleet, std::size_t most_bytes) {
  Json list = Json::array();
  std::size_t bytes = 2;
  // The latest first: the machine list shows the older ones.
  const std::vector<Booting> latest_first(fleet.rbegin(), fleet.rend());
  for (const Booting& b : latest_first) {
    const bool same = !list.empty() && list.back()[0] == b.type && list.back()[1] == b.zone &&
                      list.back()[2] == b.spot && list.back()[3] == b.rented;
    bytes += b.id.get().size() + 3 + (same ? 0 : b.type.size() + b.zone.size() + 48);
    if (bytes > most_bytes) break;
    if (!same) list.push_back({b.type, b.zone, b.spot, b.rented, Json::array()});
    list.back()[4].push_back(b.id.get());
  }
  return list;
}

std::vector<Booting> parse_fleet(const Json& value) {
  std::vector<Booting> fleet;
  try {
    for (const Json& b : value) {
      for (const Json& id : b.at(4)) {
        fleet.push_back({MachineId(id.get<std::string>()), b.at(0).get<std::string>(),
                         b.at(1).get<std::string>(), b.at(2).get<bool>(), b.at(3).get<double>()});
      }
    }
  } catch (const Json::exception&) {
    fleet.clear();
  }
  std::reverse(fleet.begin(), fleet.end());
  return fleet;
}

namespace {

constexpr const char* kContactGood = "good";
constexpr const char* kContactLost = "lost";

const char* to_string(WorkerContact contact) {
  switch (contact) {
    case WorkerContact::kGood:
      return kContactGood;
    case WorkerContact::kLost:
      return kContactLost;
    case WorkerContact::kUnknown:
      break;
  }
  return "unknown";
}

WorkerContact parse_contact(const std::string& text) {
  if (text == kContactGood) return WorkerContact::kGood;
  if (text == kContactLost) return WorkerContact::kLost;
  return WorkerContact::kUnknown;
}

}  // namespace

Json to_json(const MemberStatus& s, Time now) {
  Json machines = Json::array();
  for (const MachineStatus& m : s.machines) {
    machines.push_back({m.id.get(), m.type, m.zone, m.spot, m.open, m.free.v, m.preemptible.v,
                        m.tasks, m.tasks > 0 ? 0.0 : base::between(m.idle_since, now).count(),
                        m.images, m.silent, m.unsure, m.soon, m.late});
  }
  return Json{{"from", to_json(s.from)},
              {"state", s.has_state},
              {"since", s.since},
              {"upto", s.upto},
              {"m", std::move(machines)},
              {"left", ids_to_json(s.left)},
              {"back", ids_to_json(s.release_requested)},
              {"knocked", ids_to_json(s.misdirected)},
              {"claims", ids_to_json(s.ownership_claims)},
              {"suspects", ids_to_json(s.crash_looping_jobs)},
              {"contact", to_string(s.contact)}};
}

std::optional<MemberStatus> parse_status(const Json& body, Time now) {
  try {
    MemberStatus s;
    const auto from = parse_incarnation(body.at("from"));
    if (!from) return {};
    s.from = *from;
    s.has_state = body.at("state").get<bool>();
    s.since = body.at("since").get<std::uint64_t>();
    s.upto = body.at("upto").get<std::uint64_t>();
    for (const Json& m : body.at("m")) {
      MachineStatus room;
      room.id = MachineId(m.at(0).get<std::string>());
      room.type = m.at(1).get<std::string>();
      room.zone = m.at(2).get<std::string>();
      room.spot = m.at(3).get<bool>();
      room.open = m.at(4).get<bool>();
      room.free.v = m.at(5).get<std::array<double, 3>>();
      room.preemptible.v = m.at(6).get<std::array<double, 3>>();
      room.tasks = m.at(7).get<std::uint32_t>();
      if (room.tasks == 0) room.idle_since = base::after(now, Seconds(-m.at(8).get<double>()));
      room.images = m.at(9).get<std::vector<std::string>>();
      room.silent = m.at(10).get<bool>();
      room.unsure = m.at(11).get<bool>();
      room.soon = m.at(12).get<bool>();
      room.late = m.at(13).get<bool>();
      s.machines.push_back(std::move(room));
    }
    s.left = parse_ids<MachineId>(body, "left");
    s.release_requested = parse_ids<MachineId>(body, "back");
    s.misdirected = parse_ids<MachineId>(body, "knocked");
    s.ownership_claims = parse_ids<MachineId>(body, "claims");
    s.crash_looping_jobs = parse_ids<JobId>(body, "suspects");
    s.contact = parse_contact(body.value("contact", ""));
    return s;
  } catch (const Json::exception&) {
    return {};
  }
}

Json to_json(const Offers& offers) {
  Json list = Json::array();
  for (const Offer& o : offers.offers) list.push_back({o.job.get(), o.ranges});
  return Json{
      {"from", to_json(offers.from)}, {"epoch", offers.epoch.get()}, {"offers", std::move(list)}};
}

std::optional<Offers> parse_offers(const Json& body) {
  try {
    Offers offers;
    const auto from = parse_incarnation(body.at("from"));
    if (!from) return {};
    offers.from = *from;
    offers.epoch = Epoch(body.at("epoch").get<std::uint64_t>());
    for (const Json& o : body.at("offers")) {
      offers.offers.push_back({JobId(o.at(0).get<std::string>()),
                               o.at(1).get<std::vector<std::pair<TaskNo, TaskNo>>>()});
    }
    return offers;
  } catch (const Json::exception&) {
    return {};
  }
}

}  // namespace saddleslip::protocol
