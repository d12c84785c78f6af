#include "protocol/job_spec.h"

#include <algorithm>
#include <array>
#include <set>

#include "protocol/field_reader.h"
#include "protocol/id_lists.h"
#include "protocol/wire_fields.h"

namespace saddleslip::protocol {

namespace {

constexpr TaskNumber kMaxTasks = 100'000;
constexpr std::size_t kMaxTypes = 1000;

// Names in submissions, in the order of the enums. A service is called a daemon there.
constexpr std::array<const char*, 3> kKindNames = {"array", "gang", "daemon"};
constexpr std::array<const char*, 4> kRankNames = {"critical", "urgent", "standard", "idle"};

template <class Enum, std::size_t N>
const char* enum_name(Enum value, const std::array<const char*, N>& names) {
  return names[static_cast<std::size_t>(value)];
}

// Reads the name of an enum value. If the name is unknown, records `error` and returns the first
// value.
template <class Enum, std::size_t N>
Enum read_enum(FieldReader& reader, const char* field, const std::array<const char*, N>& names,
               const char* error) {
  const std::string name = reader.read_string(field);
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) {
    reader.record_error(field, error);
    return Enum{};
  }
  return static_cast<Enum>(found - names.begin());
}

JobId read_job_id(FieldReader& reader) {
  const std::string id = reader.read_string(wire::kId);
  if (!is_valid_job_id(id)) reader.record_error(wire::kId, "must have the form run-000412");
  return JobId(id);
}

std::optional<std::vector<std::string>> read_types(FieldReader& reader) {
  const Json* types = reader.find_non_null(wire::kMachineTypes);
  if (!types) return {};
  const auto is_string = [](const Json& type) { return type.is_string(); };
  if (!types->is_array() || types->size() > kMaxTypes ||
      !std::all_of(types->begin(), types->end(), is_string)) {
    reader.record_error(wire::kMachineTypes, "must be null or an array of strings");
    return {};
  }
  return types->get<std::vector<std::string>>();
}

// Reads the dependencies without duplicates, in the order of their first mention.
std::vector<JobId> read_dependencies(FieldReader& reader) {
  const Json* list = reader.find_non_null(wire::kDependencies);
  if (!list) return {};
  if (!list->is_array()) {
    reader.record_error(wire::kDependencies, "must be null or an array of job ids");
    return {};
  }
  std::vector<JobId> dependencies;
  std::set<JobId> seen;
  for (const Json& entry : *list) {
    if (!entry.is_string() || !is_valid_job_id(entry.get_ref<const std::string&>())) {
      reader.record_error(wire::kDependencies, "must hold job ids of the form run-000412");
      return {};
    }
    JobId id(entry.get<std::string>());
    if (seen.insert(id).second) dependencies.push_back(std::move(id));
  }
  return dependencies;
}

void read_placement(FieldReader& reader, JobSpec& spec) {
  spec.types = read_types(reader);
  if (reader.find_non_null(wire::kZone)) spec.zone = reader.read_string(wire::kZone);
  spec.one_zone = reader.read_boolean(wire::kOneZone);
  spec.spread = reader.read_boolean(wire::kSpread);
  spec.spot = reader.read_boolean(wire::kSpot);
}

void read_image_and_times(FieldReader& reader, JobSpec& spec) {
  spec.image = reader.read_string(wire::kImage);
  spec.image_gb = reader.read_amount("image_gb", 0);
  spec.estimate = Seconds(reader.read_amount(wire::kEstimate, 0));
  spec.checkpoint = Seconds(reader.read_amount(wire::kCheckpoint, 0));
  spec.save = Seconds(reader.read_amount(wire::kSave, 0));
  if (const auto deadline = reader.read_optional_amount(wire::kDeadline, 0)) {
    spec.deadline = Seconds(*deadline);
  }
}

}  // namespace

bool is_valid_job_id(const std::string& id) {
  static const std::string kPrefix = "run-";
  constexpr std::size_t kMinDigits = 6, kMaxDigits = 20;
  if (id.size() < kPrefix.size() + kMinDigits || id.size() > kPrefix.size() + kMaxDigits) {
    return false;
  }
  return id.starts_with(kPrefix) &&
         std::all_of(id.begin() + static_cast<std::ptrdiff_t>(kPrefix.size()), id.end(),
                     [](char character) { return character >= '0' && character <= '9'; });
}

Json to_json(const JobSpec& spec) {
  Json json = {{wire::kId, spec.id.get()},
               {wire::kJobClass, spec.job_class},
               {wire::kTeam, spec.team},
               {wire::kJobKind, enum_name(spec.kind, kKindNames)},
               {"rank", enum_name(spec.rank, kRankNames)},
               {wire::kTaskCount, spec.tasks},
               {"cores", spec.request.cores()},
               {"gpus", spec.request.gpus()},
               {"memory_gb", spec.request.memory()},
               {wire::kOneZone, spec.one_zone},
               {wire::kSpread, spec.spread},
               {wire::kSpot, spec.spot},
               {wire::kImage, spec.image},
               {"image_gb", spec.image_gb},
               {wire::kEstimate, spec.estimate.count()},
               {wire::kCheckpoint, spec.checkpoint.count()},
               {wire::kSave, spec.save.count()}};
  if (spec.types) json[wire::kMachineTypes] = *spec.types;
  if (spec.zone) json[wire::kZone] = *spec.zone;
  if (spec.deadline) json[wire::kDeadline] = spec.deadline->count();
  if (!spec.dependencies.empty()) json[wire::kDependencies] = ids_to_json(spec.dependencies);
  return json;
}

std::variant<JobSpec, ParseError> parse_submission(const std::string& body) {
  const Json root = Json::parse(body, nullptr, false);
  if (root.is_discarded()) return ParseError{"", "not JSON"};
  return parse_job_spec(root);
}

std::variant<JobSpec, ParseError> parse_job_spec(const Json& root) {
  if (!root.is_object()) return ParseError{"", "not an object"};
  // The order of these reads determines which of several errors is reported.
  FieldReader reader(root);
  JobSpec spec;
  spec.id = read_job_id(reader);
  spec.job_class = reader.read_string(wire::kJobClass);
  spec.team = reader.read_string(wire::kTeam);
  spec.kind = read_enum<Kind>(reader, wire::kJobKind, kKindNames, "must be array, gang or daemon");
  spec.rank =
      read_enum<Rank>(reader, "rank", kRankNames, "must be critical, urgent, standard or idle");
  spec.tasks = static_cast<TaskNumber>(reader.read_integer(wire::kTaskCount, 1, kMaxTasks));
  spec.request.amounts = {reader.read_amount("cores", 0), reader.read_amount("gpus", 0),
                          reader.read_amount("memory_gb", 0)};
  read_placement(reader, spec);
  read_image_and_times(reader, spec);
  spec.dependencies = read_dependencies(reader);
  if (reader.error()) return *reader.error();
  return spec;
}

std::optional<JobId> parse_submission_id(const std::string& body) {
  const Json root = Json::parse(body, nullptr, false);
  if (!root.is_object()) return {};
  const auto id = root.find(wire::kId);
  if (id == root.end() || !id->is_string()) return {};
  if (!is_valid_job_id(id->get_ref<const std::string&>())) return {};
  return JobId(id->get<std::string>());
}

}  // namespace saddleslip::protocol
