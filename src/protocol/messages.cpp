#include "protocol/messages.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "protocol/id_lists.h"

namespace saddleslip::protocol {

namespace {

constexpr double kMost = 1e9;  // no amount, size or time of a real job is beyond this
constexpr TaskNo kMaxTasks = 100'000;

constexpr std::array<const char*, 3> kKinds = {"array", "gang", "daemon"};

constexpr std::array<const char*, 4> kRanks = {"critical", "urgent", "standard", "idle"};

// Reads the fields of one object and keeps the first thing that was wrong.
class Reader {
 public:
  explicit Reader(const Json& at) : at_(at) {}

  std::string text(const char* field, std::size_t most = 256) {
    const Json* v = find(field);
    if (!v || !v->is_string() || v->get_ref<const std::string&>().empty() ||
        v->get_ref<const std::string&>().size() > most) {
      return fail(field, "must be a non-empty string"), std::string();
    }
    return v->get<std::string>();
  }
  double amount(const char* field, double least) {
    const Json* v = find(field);
    if (!v || !v->is_number() || !std::isfinite(v->get<double>()) || v->get<double>() < least ||
        v->get<double>() > kMost) {
      return fail(field, "must be a number in range"), 0.0;
    }
    return v->get<double>();
  }
  std::optional<double> amount_or_null(const char* field, double least) {
    const Json* v = find(field);
    if (!v || v->is_null()) return {};
    return amount(field, least);
  }
  std::uint64_t count(const char* field, std::uint64_t least, std::uint64_t most) {
    const Json* v = find(field);
    if (!v || !v->is_number_integer() || (!v->is_number_unsigned() && v->get<std::int64_t>() < 0) ||
        v->get<std::uint64_t>() < least || v->get<std::uint64_t>() > most) {
      return fail(field, "must be an integer in range"), least;
    }
    return v->get<std::uint64_t>();
  }
  bool flag(const char* field) {
    const Json* v = find(field);
    if (!v || !v->is_boolean()) return fail(field, "must be true or false"), false;
    return v->get<bool>();
  }
  const Json* find(const char* field) const {
    const auto it = at_.find(field);
    return it == at_.end() ? nullptr : &*it;
  }
  void fail(const char* field, const char* what) {
    if (error_.empty()) error_ = std::string(field) + " " + what;
  }
  const std::string& error() const { return error_; }

 private:
  const Json& at_;
  std::string error_;
};

std::optional<TaskId> parse_task_id(const std::string& text) {
  const auto slash = text.rfind('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 >= text.size() ||
      text.size() - slash > 7) {
    return {};
  }
  TaskNo no = 0;
  for (std::size_t i = slash + 1; i < text.size(); ++i) {
    if (text[i] < '0' || text[i] > '9') return {};
    no = no * 10 + static_cast<TaskNo>(text[i] - '0');
  }
  return TaskId{JobId(text.substr(0, slash)), no};
}

// The jobs that a submission needs, each once, in the order in which they are named first.
std::vector<JobId> parse_needs(Reader& reader) {
  std::vector<JobId> dependencies;
  const Json* list = reader.find(kDependenciesField);
  if (!list || list->is_null()) return dependencies;
  if (!list->is_array()) {
    reader.fail(kDependenciesField, "must be null or an array of job ids");
    return dependencies;
  }
  std::set<JobId> named;
  for (const Json& entry : *list) {
    if (!entry.is_string() || !valid_job_id(entry.get_ref<const std::string&>())) {
      reader.fail(kDependenciesField, "must hold job ids of the form run-000412");
      return {};
    }
    JobId id(entry.get<std::string>());
    if (named.insert(id).second) dependencies.push_back(std::move(id));
  }
  return dependencies;
}

std::string task_text(const TaskId& t) {
  return t.job.get() + "/" + std::to_string(t.no);
}

}  // namespace

bool valid_job_id(const std::string& id) {
  static const std::string kPrefix = "run-";
  if (id.size() < kPrefix.size() + 6 || id.size() > kPrefix.size() + 20) return false;
  return id.compare(0, kPrefix.size(), kPrefix) == 0 &&
         std::all_of(id.begin() + static_cast<std::ptrdiff_t>(kPrefix.size()), id.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

Json to_json(const JobSpec& s) {
  Json j = {{"name_id", s.id.get()},
            {"herd", s.job_class},
            {"drover", s.team},
            {"gait", kKinds[static_cast<std::size_t>(s.kind)]},
            {"rank", kRanks[static_cast<std::size_t>(s.rank)]},
            {"strides", s.tasks},
            {"cores", s.request.cores()},
            {"gpus", s.request.gpus()},
            {"memory_gb", s.request.memory()},
            {"same_place", s.one_zone},
            {"apart", s.spread},
            {"strays", s.spot},
            {"brand", s.image},
            {"image_gb", s.image_gb},
            {"ride_s", s.estimate.count()},
            {"waypoint_s", s.checkpoint.count()},
            {"unload_s", s.save.count()}};
  if (s.types) j["breeds"] = *s.types;
  if (s.zone) j["paddock"] = *s.zone;
  if (s.deadline) j["sundown_s"] = s.deadline->count();
  if (!s.dependencies.empty()) j[kDependenciesField] = ids_to_json(s.dependencies);
  return j;
}

std::variant<JobSpec, std::string> parse_submission(const std::string& body) {
  const Json root = Json::parse(body, nullptr, false);
  if (root.is_discarded()) return std::string("not JSON");
  if (!root.is_object()) return std::string("not an object");
  Reader r(root);
  JobSpec s;
  const std::string id = r.text("name_id");
  if (!valid_job_id(id)) r.fail("name_id", "must have the form run-000412");
  s.id = JobId(id);
  s.job_class = r.text("herd");
  s.team = r.text("drover");
  const std::string kind = r.text("gait");
  if (const auto k = std::find(kKinds.begin(), kKinds.end(), kind); k != kKinds.end()) {
    s.kind = static_cast<Kind>(k - kKinds.begin());
  } else {
    r.fail("gait", "must be array, gang or daemon");
  }
  const std::string rank = r.text("rank");
  const auto at = std::find(kRanks.begin(), kRanks.end(), rank);
  if (at == kRanks.end()) {
    r.fail("rank", "must be critical, urgent, standard or idle");
  } else {
    s.rank = static_cast<Rank>(at - kRanks.begin());
  }
  s.tasks = static_cast<TaskNo>(r.count("strides", 1, kMaxTasks));
  s.request.v = {r.amount("cores", 0), r.amount("gpus", 0), r.amount("memory_gb", 0)};
  if (const Json* types = r.find("breeds"); types && !types->is_null()) {
    if (!types->is_array() || types->size() > 1000 ||
        !std::all_of(types->begin(), types->end(), [](const Json& t) { return t.is_string(); })) {
      r.fail("breeds", "must be null or an array of strings");
    } else {
      s.types = types->get<std::vector<std::string>>();
    }
  }
  if (const Json* zone = r.find("paddock"); zone && !zone->is_null()) s.zone = r.text("paddock");
  s.one_zone = r.flag("same_place");
  s.spread = r.flag("apart");
  s.spot = r.flag("strays");
  s.image = r.text("brand");
  s.image_gb = r.amount("image_gb", 0);
  s.estimate = Seconds(r.amount("ride_s", 0));
  s.checkpoint = Seconds(r.amount("waypoint_s", 0));
  s.save = Seconds(r.amount("unload_s", 0));
  if (const auto d = r.amount_or_null("sundown_s", 0)) s.deadline = Seconds(*d);
  s.dependencies = parse_needs(r);
  if (!r.error().empty()) return r.error();
  return s;
}

std::string error_body(const std::string& reason) {
  return Json{{"error", reason}}.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string user_status(const JobId& id, JobStatus status, std::optional<TaskNo> done,
                        std::optional<TaskNo> running) {
  static constexpr std::array<const char*, 4> kWords = {"queued", "running", "done", "withdrawn"};
  Json j = {{"name_id", id.get()}, {"status", kWords[static_cast<std::size_t>(status)]}};
  if (done) j["done"] = *done;
  if (running) j["running"] = *running;
  return j.dump();
}

const char* to_string(Cause cause) {
  static constexpr std::array<const char*, 7> kWords = {"none",    "done", "halted", "error",
                                                        "no_room", "busy", "unknown"};
  return kWords[static_cast<std::size_t>(cause)];
}

std::optional<Heartbeat> parse_heartbeat(const std::string& body) {
  const Json root = Json::parse(body, nullptr, false);
  if (!root.is_object()) return {};
  Reader r(root);
  constexpr auto kAny = std::numeric_limits<std::uint64_t>::max();
  Heartbeat heartbeat;
  heartbeat.machine = MachineId(r.text("mount"));
  heartbeat.address = r.text("endpoint");
  heartbeat.type = r.text("breed");
  heartbeat.zone = r.text("paddock");
  heartbeat.spot = r.find("strays") && r.flag("strays");
  heartbeat.agent_incarnation = AgentIncarnation(r.count("ride", 0, kAny));
  heartbeat.sequence = Sequence(r.count("tally", 0, kAny));
  heartbeat.fencing_token =
      FencingToken(r.find("reins") && !r.find("reins")->is_null() ? r.count("reins", 0, kAny) : 0);
  if (const auto n = r.amount_or_null("recall_s", -kMost)) heartbeat.notice = Seconds(*n);
  if (const Json* tasks = r.find("strides"); tasks && !tasks->is_null()) {
    if (!tasks->is_array()) return {};
    for (const Json& t : *tasks) {
      if (!t.is_object()) return {};
      Reader tr(t);
      const auto id = parse_task_id(tr.text("stride"));
      ReportedAttempt task;
      task.attempt = Attempt(tr.count("remount", 0, kAny));
      const std::string state = tr.text("status");
      if (state == "pulling") {
        task.state = TaskState::kPulling;
      } else if (state == "running") {
        task.state = TaskState::kRunning;
      } else if (state == "saving") {
        task.state = TaskState::kSaving;
      } else if (state == "ended") {
        task.state = TaskState::kEnded;
        const Json* cause = tr.find("cause");
        const std::string word = cause && cause->is_string() ? cause->get<std::string>() : "";
        task.cause = word == "done"      ? Cause::kDone
                     : word == "halted"  ? Cause::kHalted
                     : word == "no_room" ? Cause::kNoRoom
                     : word == "busy"    ? Cause::kBusy
                     : word == "unknown" ? Cause::kUnknown
                                         : Cause::kError;
      } else {
        // Gathering, or a state that a later worker knows: it is there, and not over.
        task.state = TaskState::kGathering;
      }
      if (!id || !tr.error().empty()) return {};
      heartbeat.tasks[*id].push_back(task);
    }
  }
  if (!r.error().empty()) return {};
  return heartbeat;
}

namespace {

Json calls(const std::vector<Command>& commands) {
  Json list = Json::array();
  for (const Command& c : commands) {
    Json j = {{"stride", task_text(c.task)}, {"remount", c.attempt.get()}};
    switch (c.op) {
      case Command::Op::kRun:
        j["call"] = "run";
        break;
      case Command::Op::kKill:
        j["call"] = "kill";
        j["dismount_s"] = c.grace.count();
        break;
      case Command::Op::kForget:
        j["call"] = "forget";
        break;
    }
    list.push_back(std::move(j));
  }
  return list;
}

}  // namespace

std::string heartbeat_response(FencingToken fencing_token, const std::vector<Command>& commands) {
  return Json{{"reins", fencing_token.get()}, {"calls", calls(commands)}}.dump();
}

std::string orders(FencingToken fencing_token, AgentIncarnation agent_incarnation,
                   const std::vector<Command>& commands) {
  return Json{
      {"reins", fencing_token.get()}, {"ride", agent_incarnation.get()}, {"calls", calls(commands)}}
      .dump();
}

std::string redirect(const std::optional<MemberId>& owner) {
  return owner ? Json{{"trailboss", owner->get()}}.dump() : "{}";
}

std::optional<std::vector<MachineType>> parse_catalogue(const Json& body) {
  if (!body.is_object() || !body.contains("breeds") || !body.at("breeds").is_array()) return {};
  std::vector<MachineType> types;
  for (const Json& t : body.at("breeds")) {
    if (!t.is_object()) return {};
    Reader r(t);
    MachineType m;
    m.name = r.text("sku");
    const auto optional_amount = [&r](const char* f) { return r.amount_or_null(f, 0).value_or(0); };
    m.size.v = {r.amount("cores", 0), optional_amount("gpus"), r.amount("memory_gb", 0)};
    m.cache_gb = optional_amount("cache_gb");
    m.fetch_gb_per_s = optional_amount("fetch_gb_per_s");
    m.price = r.amount("price", 0);
    m.spot_price = r.amount_or_null("market_price", 0).value_or(m.price);
    m.boot = Seconds(optional_amount("ready_s"));
    if (const Json* zones = r.find("paddocks"); zones && zones->is_array()) {
      for (const Json& z : *zones) {
        if (z.is_string()) m.zones.push_back(z.get<std::string>());
      }
    }
    if (!r.error().empty()) return {};
    types.push_back(std::move(m));
  }
  return types;
}

Json to_json(const std::vector<MachineType>& types) {
  Json list = Json::array();
  for (const MachineType& m : types) {
    list.push_back({{"sku", m.name},
                    {"cores", m.size.cores()},
                    {"gpus", m.size.gpus()},
                    {"memory_gb", m.size.memory()},
                    {"cache_gb", m.cache_gb},
                    {"fetch_gb_per_s", m.fetch_gb_per_s},
                    {"price", m.price},
                    {"market_price", m.spot_price},
                    {"ready_s", m.boot.count()},
                    {"paddocks", m.zones}});
  }
  return Json{{"breeds", std::move(list)}};
}

}  // namespace saddleslip::protocol
