// The network of a simulated cluster: which links are cut, and whether a sender over a cut link
// gets an error or a timeout.
#pragma once

#include <compare>
#include <cstddef>
#include <set>
#include <string>

namespace saddleslip::testing {

// Returns a controller's name as a network endpoint and as a member: n0, n1, ...
std::string controller_name(std::size_t controller);

// Endpoints are identified by name: a controller, a machine, a zone, "workers" (all machines) or
// "state" (the state service).
class SimulatedNetwork {
 public:
  // Cuts the link between two endpoints, in both directions.
  void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
  // Restores a link. The endpoints must be given in the same order as when the link was cut.
  void restore(const std::string& from, const std::string& to) { cuts_.erase({from, to}); }
  // Returns whether the link between two endpoints is cut. The order of the endpoints is
  // irrelevant.
  bool is_cut(const std::string& first, const std::string& second) const;
  bool has_cuts() const { return !cuts_.empty(); }

  // Sets whether cuts are silent: the sender gets no error and waits until its request times out.
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
