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

// What is known of a request's delivery. A caller that must not act twice may repeat a request only
// after kNo.
enum class Sent {
  kNo,     // it certainly did not reach the server: there was no connection
  kMaybe,  // no complete response: it may have been carried out, or may still be
  kYes,    // the server responded
};

// The outcome of a call.
struct Answer {
  Sent sent = Sent::kNo;
  int status = 0;  // the HTTP status code, if the server responded
  std::string body;
  bool too_large = false;  // the response exceeded the caller's limit: none of its body is kept
  bool ok() const { return sent == Sent::kYes && status == 200; }
};

// A client of one server: a bounded pool of kept-alive connections, each call with a deadline.
//
// Safe for use from several threads at once. Calls block until the response, the timeout or a
// failure; none of them throws for a fault of the network or the server. A call that finds all
// connections busy waits for one within its own timeout, and returns Sent::kNo if none comes free.
class HttpClient {
 public:
  static constexpr std::size_t kDefaultMaxBytes = 1 << 20;

  // Connects when first called. Requires a host in dotted decimal notation.
  HttpClient(base::Address address, std::size_t max_connections);
  // Requires that no call is under way.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `max_bytes` is the longest response body that is taken.
  Answer get(const std::string& path, base::Seconds timeout,
             std::size_t max_bytes = kDefaultMaxBytes);
  Answer post(const std::string& path, const std::string& body, base::Seconds timeout,
              std::size_t max_bytes = kDefaultMaxBytes);
  Answer del(const std::string& path, base::Seconds timeout);
  const base::Address& address() const { return address_; }

 private:
  class Connection;
  Answer call(const char* method, const std::string& path, const std::string& body,
              base::Seconds timeout, std::size_t max_bytes);
  // Takes an idle connection, or a new one if fewer than the most exist. nullptr: none came free.
  std::unique_ptr<Connection> acquire(base::Time deadline);
  void release(std::unique_ptr<Connection> connection);

  const base::Address address_;
  const std::size_t max_connections_;
  std::mutex mutex_;  // guards idle_ and connections_
  std::condition_variable released_;
  std::vector<std::unique_ptr<Connection>> idle_;
  std::size_t connections_ = 0;  // idle or in use
};

}  // namespace saddleslip::transport
