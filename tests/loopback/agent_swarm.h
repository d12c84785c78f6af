// The agents of all machines of a loopback cluster, played by one thread with one connection for
// each agent.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "loopback/agent.h"
#include "loopback/cluster_ledger.h"

namespace saddleslip::testing {

// Sends the heartbeats of the agents to the controllers and executes their commands.
//
// All public functions may be called from any thread.
class AgentSwarm {
 public:
  using Clock = Agent::Clock;
  using Time = Agent::Time;
  struct Options {
    std::vector<std::string> members;  // the names of the controllers, in the order of their ports
    std::vector<int> controller_ports;
    std::size_t machines = 100;
    double heartbeat_interval_s = 1.5;
    double lease_s = 12;
    std::uint64_t seed = 1;
    // The agents break the protocol: they keep their tasks when their leases expire.
    bool ignores_leases = false;
  };
  // Faults that concern a share of the messages of all agents.
  struct MessageFaults {
    double late_heartbeat_share = 0;  // a copy of the heartbeat arrives again later
    double late_command_share = 0;    // the direct command is executed later and not answered
  };

  AgentSwarm(Options options, ClusterLedger& ledger);
  ~AgentSwarm();
  AgentSwarm(const AgentSwarm&) = delete;
  AgentSwarm& operator=(const AgentSwarm&) = delete;

  // Returns the names of the machines that are up, in order.
  std::vector<std::string> machines() const;
  // Returns the zone of the machine of this name.
  static std::string zone_of(const std::string& machine);
  // Adds machines that replace released ones, at most as many. Returns their names. Repeating a
  // request returns the same names.
  std::vector<std::string> rent(const std::string& request, std::size_t count);
  // Ends a machine with all its tasks.
  void release(const std::string& machine);

  // Machines chosen at random neither send nor receive anything for a time, while their tasks wait.
  void hang(std::size_t count, double seconds);
  // Machines chosen at random lose every response and every direct command for a time.
  void make_deaf(std::size_t count, double seconds);
  // All agents lose their connection to one controller, and cannot open one, for a time.
  void cut_from_controller(std::size_t controller, double seconds);
  // The machines in the controller's zone reach no other controller, and the other machines do not
  // reach this one, or all of them do again. Direct commands still arrive.
  void set_zone_cut(std::size_t controller, bool is_cut);
  void set_message_faults(const MessageFaults& faults);

  // Returns the number of heartbeats by the status of their response; 0 stands for no response.
  std::map<int, std::uint64_t> response_counts() const;

 private:
  // An agent with its connection to a controller.
  struct Entry {
    Agent agent;
    int listener = -1;  // the socket for direct commands
    int port = 0;
    std::size_t controller = 0;
    int socket = -1;
    bool is_waiting = false;  // for the response to a heartbeat
    Time sent_at{}, next_heartbeat_at{}, next_due_at{};
    Time hung_until{}, deaf_until{};
    std::uint64_t sent_incarnation = 0;
    bool is_released = false;
    bool has_changed = false;
  };
  enum class SocketKind { kHeartbeats, kListener, kCommands, kLateCopy };
  // A socket in the epoll set, and the bytes received and not yet sent on it.
  struct Socket {
    SocketKind kind;
    std::size_t machine;
    std::string received, unsent;
  };
  struct LateMessage {
    Time due_at;
    std::size_t machine;
    std::string body;
  };

  void run();
  void add_machine(Time now);
  void step(Entry& entry, std::size_t index, Time now);
  void send_heartbeat(Entry& entry, std::size_t index, Time now);
  void handle_heartbeat_response(Entry& entry, int status, const std::string& body, Time now);
  void try_next_controller(Entry& entry, Time now, double delay_s);
  void follow_redirect(Entry& entry, const std::string& body, Time now);
  void handle_event(int socket, std::uint32_t events, Time now);
  void handle_messages(int socket, Time now);
  void accept_connections(int listener, std::size_t machine);
  void execute_orders(int socket, std::size_t machine, const std::string& body, Time now);
  void deliver_late_messages(Time now);
  int connect_to_controller(std::size_t controller, SocketKind kind, std::size_t machine);
  void send(int socket, const std::string& bytes);
  void flush(int socket);
  void close_socket(int socket);
  // Returns whether the machine does not reach the controller that it uses.
  bool is_cut(const Entry& entry, Time now) const;
  std::vector<Entry*> pick_machines(std::size_t count);

  const Options options_;
  ClusterLedger& ledger_;
  const int epoll_;
  mutable std::mutex mutex_;  // guards the members below
  std::vector<std::unique_ptr<Entry>> entries_;
  std::map<std::string, std::size_t> index_;
  std::unordered_map<int, Socket> sockets_;
  std::vector<LateMessage> late_heartbeats_, late_commands_;
  std::vector<Time> cut_until_;
  std::set<std::size_t> controllers_of_cut_zones_;
  std::map<std::string, std::vector<std::string>> rentals_;
  MessageFaults message_faults_;
  std::map<int, std::uint64_t> response_counts_;
  std::mt19937_64 random_;
  std::size_t released_ = 0;
  std::atomic<bool> is_stopping_{false};
  std::thread thread_;
};

}  // namespace saddleslip::testing
