// The connections between the controllers, which can be held up.
#pragma once

#include <poll.h>

#include <atomic>
#include <cstddef>
#include <list>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace saddleslip::testing {

// A proxy for each ordered pair of controllers. While a controller is isolated, its links deliver
// nothing in either direction; what was sent meanwhile is delivered afterwards.
class PeerLinks {
 public:
  // `peer_ports`: the ports on which the controllers listen for their peers.
  explicit PeerLinks(std::vector<int> peer_ports);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // Returns the port through which controller `from` reaches controller `to`.
  int port(std::size_t from, std::size_t to) const { return listeners_.at({from, to}).port; }
  // Holds up the links of the controller, or delivers again. May be called from any thread.
  void set_isolated(std::size_t controller, bool is_isolated);

 private:
  using Link = std::pair<std::size_t, std::size_t>;  // from, to
  struct Listener {
    int socket = -1;
    int port = 0;
  };
  // One direction of a connection: bytes that were received and are yet to be sent.
  struct Flow {
    int source = -1, target = -1;
    std::string pending;
  };
  struct Connection {
    Link link;
    Flow there, back;
    bool is_ended = false;
  };

  void forward();
  bool is_held(const Link& link) const;
  void accept_connection(const Link& link, const Listener& listener);
  std::vector<pollfd> wait_for_events();
  // Moves what can be moved now. Returns false if the connection has ended.
  static bool move(Flow& flow, const std::vector<pollfd>& events);

  const std::vector<int> peer_ports_;
  std::map<Link, Listener> listeners_;
  std::list<Connection> connections_;  // used by the thread only
  std::vector<std::atomic<bool>> is_isolated_;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace saddleslip::testing
