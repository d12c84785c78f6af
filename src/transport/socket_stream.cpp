#include "transport/socket_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace saddleslip::transport {

namespace {

constexpr long kMaxPollMs = 3'600'000;  // poll(2) takes its timeout as an int
constexpr std::size_t kMaxIdleOutputBytes = 16u
                                            << 10;  // a larger output buffer is freed after a flush

bool would_block(int error) {
  return error == EAGAIN || error == EWOULDBLOCK;
}

}  // namespace

bool SocketStream::wait_for_events(short events) const {
  for (;;) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - base::SteadyClock::now());
    if (remaining.count() <= 0) return false;
    pollfd request{socket_, events, 0};
    // Adds one millisecond because the remaining time was rounded down.
    const int timeout_ms = static_cast<int>(std::min<long>(remaining.count(), kMaxPollMs)) + 1;
    const int ready = ::poll(&request, 1, timeout_ms);
    if (ready > 0) return true;
    if (ready < 0 && errno != EINTR) return false;
  }
}

bool SocketStream::receive() {
  for (;;) {
    const ssize_t received =
        ::recv(socket_, input_buffer_.data(), input_buffer_.size(), MSG_DONTWAIT);
    if (received > 0) {
      unread_begin_ = 0;
      unread_end_ = static_cast<std::size_t>(received);
      return true;
    }
    if (received == 0) return false;
    if (errno == EINTR) continue;
    if (!would_block(errno) || !wait_for_events(POLLIN)) return false;
  }
}

bool SocketStream::wait_for_data() {
  return has_data() || receive();
}

ssize_t SocketStream::read(char* ptr, size_t size) {
  if (!flush()) return -1;
  if (!has_data() && !receive()) return -1;
  const std::size_t count = std::min(size, unread_end_ - unread_begin_);
  std::memcpy(ptr, input_buffer_.data() + unread_begin_, count);
  unread_begin_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t SocketStream::write(const char* ptr, size_t size) {
  if (has_send_failed_) return -1;
  output_buffer_.append(ptr, size);
  return static_cast<ssize_t>(size);
}

bool SocketStream::flush() {
  std::size_t sent = 0;
  while (sent < output_buffer_.size() && !has_send_failed_) {
    const ssize_t count = ::send(socket_, output_buffer_.data() + sent,
                                 output_buffer_.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent += static_cast<std::size_t>(count);
    } else if (count < 0 && errno == EINTR) {
      continue;
    } else if (count < 0 && would_block(errno)) {
      if (!wait_for_events(POLLOUT)) has_send_failed_ = true;
    } else {
      has_send_failed_ = true;
    }
  }
  output_buffer_.clear();
  if (output_buffer_.capacity() > kMaxIdleOutputBytes) output_buffer_.shrink_to_fit();
  return !has_send_failed_;
}

}  // namespace saddleslip::transport
