#include "simulation/scenario_trace.h"

#include <cstdint>
#include <cstdlib>

namespace saddleslip::testing {

namespace {

// Returns the FNV-1a hash of the text, which is the same on every platform and in every run.
std::uint64_t fnv1a_hash(const std::string& text) {
  std::uint64_t hash = 1469598103934665603ull;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  return hash;
}

}  // namespace

void ScenarioTrace::open(const std::string& scenario) {
  const char* folder = std::getenv("SADDLESLIP_TRACE_DIR");
  if (!folder) return;
  out_.open(std::string(folder) + "/" + scenario + ".txt");
}

void ScenarioTrace::write_digest(double seconds, const std::string& event,
                                 const std::string& text) {
  write(seconds, event, text.size(), fnv1a_hash(text));
}

}  // namespace saddleslip::testing
