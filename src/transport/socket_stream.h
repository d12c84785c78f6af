#pragma once

#include <httplib.h>
#include <poll.h>

#include <array>
#include <cstddef>
#include <string>

#include "base/clock.h"

namespace saddleslip::transport {

// A buffered stream over a connected socket, with one deadline for a whole message.
//
// cpp-httplib 0.11 sends head and body of a message separately and waits for idle connections in
// steps of 10 ms. On a machine that is charged for each packet and system call this costs more than
// the requests themselves. Its time limits also count from the last byte, so that a peer that sends
// one byte at a time could hold a thread without limit. Here a message is one send, a wait is one
// poll, and the limit is for the message.
//
// Does not own the socket, which must stay open while the stream is used. For one thread at a time.
class SocketStream final : public httplib::Stream {
 public:
  explicit SocketStream(socket_t socket) : socket_(socket) {}

  // Every wait ends at this time. Before it is set, nothing is waited for.
  void set_deadline(base::Time deadline) { deadline_ = deadline; }
  // Waits until there is something to read. False at the deadline or the end of the connection.
  bool wait_for_data();
  // Have bytes been received that were not read yet?
  bool has_data() const { return begin_ < end_; }
  // Sends all that was written. False if the connection failed or the deadline came first; the
  // stream then takes no more writes.
  bool flush();

  // --- httplib::Stream

  bool is_readable() const override { return has_data() || wait(POLLIN); }
  bool is_writable() const override { return true; }
  // Flushes, then reads what is there, waiting for the first byte. -1: failed, ended or too late.
  ssize_t read(char* ptr, size_t size) override;
  // Keeps the bytes until the next flush. -1: an earlier flush failed.
  ssize_t write(const char* ptr, size_t size) override;
  void get_remote_ip_and_port(std::string&, int&) const override {}
  void get_local_ip_and_port(std::string&, int&) const override {}
  socket_t socket() const override { return socket_; }

 private:
  // Waits for one of these poll(2) events. False at the deadline or on an error.
  bool wait(short events) const;
  // Receives into the empty input buffer.
  bool receive();

  socket_t socket_;
  base::Time deadline_{};
  std::array<char, 4096> input_{};
  // The bytes of the input that were not read yet.
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  std::string output_;
  bool is_broken_ = false;  // sending failed
};

}  // namespace saddleslip::transport
