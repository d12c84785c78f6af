// An HTTP client with a bounded pool of connections to one server.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/settings.h"
#include "transport/http.h"

namespace saddleslip::transport {

// Whether a request was delivered to the server. A request that is not idempotent may be retried
// only after kNotSent.
enum class Delivery {
  kNotSent,   // not delivered, because there was no connection
  kUnknown,   // no complete response; the request may have been executed, or still may be
  kAnswered,  // delivered, and the server responded
};

// The result of an HTTP call.
struct HttpResult {
  Delivery delivery = Delivery::kNotSent;
  int status = 0;  // the HTTP status code, or 0 if the server did not respond
  std::string body;
  bool too_large = false;  // the response exceeded the caller's limit, and its body was discarded
  // Returns whether the server responded with status 200.
  bool ok() const { return delivery == Delivery::kAnswered && status == 200; }
};

// An HTTP client for one server, with a bounded pool of persistent connections and a timeout for
// each call.
//
// May be used by several threads at once. A call blocks until the response has arrived, the timeout
// has passed or the connection has failed. It does not throw if the network or the server fails. If
// all connections are in use, a call waits for one until its timeout, and returns
// Delivery::kNotSent if none becomes idle.
class HttpClient {
 public:
  static constexpr std::size_t kDefaultMaxResponseBytes = 1 << 20;

  // Does not connect before the first call. The host of the address must be in dotted decimal
  // notation.
  HttpClient(base::Address address, std::size_t max_connections);
  // No call may be in progress.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Makes a GET request. Discards a response whose body is longer than `max_response_bytes`.
  HttpResult get(const std::string& path, base::Seconds timeout,
                 std::size_t max_response_bytes = kDefaultMaxResponseBytes);
  // Makes a POST request with a JSON body. Discards a response whose body is longer than
  // `max_response_bytes`.
  HttpResult post(const std::string& path, const std::string& body, base::Seconds timeout,
                  std::size_t max_response_bytes = kDefaultMaxResponseBytes);
  // Makes a DELETE request.
  HttpResult del(const std::string& path, base::Seconds timeout);
  const base::Address& address() const { return address_; }

 private:
  class Connection;
  // Makes a request on a connection of the pool.
  HttpResult call(const char* method, const std::string& path, const std::string& body,
                  base::Seconds timeout, std::size_t max_response_bytes);
  // Returns an idle connection, or a new one if the pool has fewer than max_connections_. Waits
  // until the deadline if neither is possible, and returns nullptr if no connection becomes idle.
  std::unique_ptr<Connection> acquire(base::Time deadline);
  // Returns a connection to the pool.
  void release(std::unique_ptr<Connection> connection);

  const base::Address address_;
  const std::size_t max_connections_;
  std::mutex mutex_;  // guards idle_connections_ and connection_count_
  std::condition_variable connection_released_;
  std::vector<std::unique_ptr<Connection>> idle_connections_;
  std::size_t connection_count_ = 0;  // the number of connections, idle or in use
};

}  // namespace saddleslip::transport
