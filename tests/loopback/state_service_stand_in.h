// A stand-in for the state service that controllers reach over loopback: a versioned store with
// leases, conditional transactions, a history of changes, and the published limits.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace saddleslip::testing {

// The published limits of the state service.
struct StateServiceLimits {
  double requests_per_second = 300;
  double writes_per_second = 90;
  std::size_t value_bytes = 16u << 10;
  std::size_t transaction_writes = 24;
};

// Serves each controller on a port of its own, so that a fault can be limited to one controller.
//
// All functions may be called from any thread.
class StateServiceStandIn {
 public:
  // Faults of the connection between the service and one controller.
  struct Faults {
    bool is_refusing = false;           // every request gets 503 and open watches wait
    double latency_s = 0;               // added to each response
    double lost_answer_share = 0;       // of the transactions: applied, but not answered
    double late_transaction_share = 0;  // of the transactions: not answered, and applied late
  };

  // Starts one server for each controller. `seed` determines which transactions are affected by
  // faults.
  StateServiceStandIn(std::size_t controllers, const StateServiceLimits& limits,
                      std::uint64_t seed);
  ~StateServiceStandIn();
  StateServiceStandIn(const StateServiceStandIn&) = delete;
  StateServiceStandIn& operator=(const StateServiceStandIn&) = delete;

  // Returns the port of the server for this controller.
  int port(std::size_t controller) const { return ports_.at(controller); }
  // Replaces the faults of one controller's connection.
  void set_faults(std::size_t controller, const Faults& faults);
  // Starts or ends an outage. Leases do not expire during an outage, and get their full time to
  // live again at its end.
  void set_outage(bool is_out);
  // Writes a value without a transaction, to prepare a test.
  void put(const std::string& key, const nlohmann::json& value);

  // Returns the number of requests that exceeded a limit, by the kind of request.
  std::map<std::string, std::uint64_t> rejected_requests() const;
  // Returns the number of requests that were received, by the kind of request.
  std::map<std::string, std::uint64_t> requests() const;

 private:
  using Clock = std::chrono::steady_clock;
  // A stored value, the revision that wrote it, and the lease that it is attached to.
  struct Record {
    nlohmann::json value;
    std::uint64_t version = 0;
    std::uint64_t lease = 0;  // 0: none
  };
  // A write or removal, encoded as the service reports it.
  struct Change {
    std::uint64_t revision;
    std::string key;
    std::string encoded;
  };
  struct Lease {
    std::chrono::milliseconds time_to_live;
    Clock::time_point expires_at;
  };
  struct LateTransaction {
    Clock::time_point due_at;
    nlohmann::json body;
  };
  // A token bucket that holds the tokens of one second.
  struct TokenBucket {
    double rate = 0;
    double tokens = 0;
    Clock::time_point refilled_at{};
    // Takes tokens and returns true if there are enough.
    bool take(double count);
  };
  // A response to a request: a status and a JSON body.
  struct Answer {
    int status = 200;
    std::string body;
  };

  void set_routes(std::size_t controller);
  // Applies the faults and limits that concern every request, and answers it if they allow.
  template <class Function>
  void serve(std::size_t controller, const std::string& kind, httplib::Response& response,
             Function function);
  Answer list(const httplib::Request& request) const;
  Answer get(const std::string& key) const;
  void watch(std::size_t controller, const httplib::Request& request, httplib::Response& response);
  Answer changes_after(const std::string& prefix, std::uint64_t after) const;
  bool has_changes_after(const std::string& prefix, std::uint64_t after) const;
  // Returns no answer if the transaction's answer is lost or the transaction is delayed.
  std::optional<Answer> commit(std::size_t controller, const std::string& body);
  Answer apply(const nlohmann::json& transaction);
  void write(const std::string& key, const nlohmann::json* value, std::uint64_t lease);
  Answer create_lease(const std::string& body);
  Answer renew_lease(std::uint64_t lease);
  void remove_lease(std::uint64_t lease);
  // Expires leases and applies late transactions until the service stops.
  void run_timers();

  const StateServiceLimits limits_;
  mutable std::mutex mutex_;  // guards the members below
  std::condition_variable changed_;
  std::map<std::string, Record> records_;
  std::deque<Change> changes_;
  std::map<std::uint64_t, Lease> leases_;
  std::vector<LateTransaction> late_transactions_;
  std::vector<Faults> faults_;
  std::mt19937_64 random_;
  TokenBucket requests_bucket_, writes_bucket_;
  std::map<std::string, std::uint64_t> requests_, rejected_requests_;
  std::uint64_t revision_ = 0;
  std::uint64_t oldest_kept_revision_ = 0;  // changes up to it are no longer available
  std::uint64_t last_lease_ = 0;
  bool is_out_ = false;
  std::atomic<bool> is_stopping_{false};

  std::vector<std::unique_ptr<httplib::Server>> servers_;
  std::vector<int> ports_;
  std::vector<std::thread> threads_;
};

}  // namespace saddleslip::testing
