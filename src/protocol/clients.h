// Clients of the state service, the cloud and the workers. A garbled answer counts as none.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "protocol/records.h"
#include "transport/http_client.h"

namespace saddleslip::protocol {

class StateClient {
 public:
  // Missed changes that take more than so many bytes are not taken in one answer.
  explicit StateClient(const base::Address& address, std::size_t most_changes = 8u << 20);

  enum class Outcome {
    kDone,
    kConflict,   // a guard failed; nothing was written
    kRefused,    // over a limit or out of service; certainly not carried out
    kUnknown,    // no answer: it may have been carried out, or may be later
    kMalformed,  // 400: an expired lease, or a mistake of ours
  };
  struct Committed {
    Outcome outcome = Outcome::kUnknown;
    Revision revision;
    std::vector<std::string> failed;
  };
  Committed commit(const Transaction& txn, Seconds timeout);

  struct Got {
    bool answered = false;
    Item item;  // version 0: no such key
  };
  Got get(const std::string& key, Seconds timeout);

  struct Listed {
    bool answered = false;
    std::vector<Item> items;
    bool more = false;
    Revision revision;
  };
  Listed list(const std::string& prefix, const std::string& after, Seconds timeout);

  std::optional<LeaseId> create_lease(Seconds ttl, Seconds timeout);
  enum class Renewed { kYes, kGone, kUnknown };
  Renewed renew_lease(LeaseId lease, Seconds timeout);
  void delete_lease(LeaseId lease, Seconds timeout);

  struct Watched {
    enum class What { kEvents, kTooOld, kNothing } what = What::kNothing;
    Revision revision;
    std::vector<Item> events;
    Revision after;  // what was asked for: changes after this
  };
  Watched watch(const std::string& prefix, Revision after, Seconds wait);
  // The same without a wait, on the connections of other calls: all that has changed by now.
  Watched changes(const std::string& prefix, Revision after, Seconds timeout);

 private:
  static Watched parse_changes(const transport::Answer& a, Revision after);

  const std::size_t most_changes_;
  transport::HttpClient http_;
  transport::HttpClient renewals_;  // of its own, so that no queue delays a renewal
  transport::HttpClient watches_;
};

inline constexpr int kMaxRentedPerCall = 50;  // by one call

class CloudClient {
 public:
  explicit CloudClient(const base::Address& address);

  std::optional<std::vector<MachineType>> catalogue();

  struct Rented {
    enum class What { kMachines, kNoCapacity, kRefused, kUnknown } what = What::kUnknown;
    std::vector<MachineId> machines;
  };
  Rented rent(const std::string& request, const std::string& type, const std::string& zone,
              bool spot, int count);
  // True: the machines and everything on them are gone.
  bool release(const std::vector<MachineId>& machines);
  std::optional<std::vector<CloudMachine>> list();

 private:
  transport::HttpClient http_;
};

class WorkerClient {
 public:
  struct Answered {
    transport::Sent sent = transport::Sent::kNo;
    bool executed = false;
    std::optional<Heartbeat> heartbeat;
  };
  Answered order(const std::string& address, FencingToken fencing_token,
                 AgentIncarnation agent_incarnation, const std::vector<Command>& commands,
                 Seconds timeout);
  explicit WorkerClient(std::size_t most_connections) : most_(most_connections) {}

 private:
  struct Slot {
    std::shared_ptr<transport::HttpClient> http;
    std::uint64_t used = 0;
  };
  // Thousands of workers, and sockets for some of them: the connection that was not used for the
  // longest gives way.
  std::shared_ptr<transport::HttpClient> connection(const std::string& address);

  const std::size_t most_;
  std::mutex mutex_;
  std::uint64_t uses_ = 0;
  std::map<std::string, Slot> http_;
};

}  // namespace saddleslip::protocol
