// The links of a simulated cluster: which of them are cut, and how a cut shows to the sender.
#pragma once

#include <compare>
#include <cstddef>
#include <set>
#include <string>

namespace saddleslip::testing {

// The name of a controller as an endpoint and as a member: n0, n1, ...
std::string controller_name(std::size_t controller);

// Endpoints are named: a controller, a machine, a zone, "workers" (all machines) or "state".
class SimulatedNetwork {
 public:
  void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  // Takes back a cut that was made with the endpoints in the same order.
  void mend(const std::string& from, const std::string& to) { cuts_.erase({from, to}); }
  // Is the link cut, in whichever order its endpoints are named?
  bool is_cut(const std::string& a, const std::string& b) const;
  bool has_cuts() const { return !cuts_.empty(); }

  // A silent cut gives the sender no error: it waits until its request times out.
  void set_silent_cuts(bool silent) { silent_cuts_ = silent; }
  bool cuts_are_silent() const { return silent_cuts_; }

 private:
  struct Link {
    std::string from, to;
    auto operator<=>(const Link&) const = default;
  };

  std::set<Link> cuts_;
  bool silent_cuts_ = false;
};

}  // namespace saddleslip::testing
