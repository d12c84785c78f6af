// A buffered socket stream with a deadline, for cpp-httplib.
#pragma once

#include <httplib.h>
#include <poll.h>

#include <array>
#include <cstddef>
#include <string>

#include "base/clock.h"

namespace saddleslip::transport {

// A buffered stream over a connected socket, with one deadline for each message.
//
// It replaces the stream of cpp-httplib 0.11 for two reasons. That stream sends the header and the
// body of a message separately and polls idle connections every 10 ms; on a machine that is charged
// for each packet and system call, this costs more than the requests themselves. Its timeouts also
// restart with each byte, so a peer that sends one byte at a time could occupy a thread forever.
// This stream sends a message with one system call, waits with one poll, and limits the time for
// the whole message.
//
// Does not own the socket, which must stay open while the stream is in use. Not thread-safe.
class SocketStream final : public httplib::Stream {
 public:
  explicit SocketStream(socket_t socket) : socket_(socket) {}

  // Sets the time at which every wait ends. Until it is set, no call waits.
  void set_deadline(base::Time deadline) { deadline_ = deadline; }
  // Waits until data can be read. Returns false if the deadline passes or the connection ends
  // first.
  bool wait_for_data();
  // Returns whether received bytes are waiting to be read.
  bool has_data() const { return unread_begin_ < unread_end_; }
  // Sends all bytes written so far. Returns false if the connection fails or the deadline passes
  // first; later writes then fail.
  bool flush();

  // --- httplib::Stream

  bool is_readable() const override { return has_data() || wait_for_events(POLLIN); }
  bool is_writable() const override { return true; }
  // Flushes, waits for at least one byte and reads up to `size` bytes. Returns -1 if the connection
  // fails or ends, or the deadline passes.
  ssize_t read(char* ptr, size_t size) override;
  // Buffers the bytes until the next flush. Returns -1 if an earlier flush has failed.
  ssize_t write(const char* ptr, size_t size) override;
  void get_remote_ip_and_port(std::string&, int&) const override {}
  void get_local_ip_and_port(std::string&, int&) const override {}
  socket_t socket() const override { return socket_; }

 private:
  // Waits for one of the given poll(2) events. Returns false at the deadline or on an error.
  bool wait_for_events(short events) const;
  // Receives data into the input buffer, which must be empty. Returns false at the deadline, at the
  // end of the connection or on an error.
  bool receive();

  socket_t socket_;
  base::Time deadline_{};
  std::array<char, 4096> input_buffer_{};
  // The range of unread bytes in the input buffer.
  std::size_t unread_begin_ = 0;
  std::size_t unread_end_ = 0;
  std::string output_buffer_;
  bool has_send_failed_ = false;  // an earlier flush has failed
};

}  // namespace saddleslip::transport
