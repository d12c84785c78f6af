#include "daemon/peer_sync.h"

#include <algorithm>

#include "daemon/timeouts.h"
#include "protocol/paths.h"

namespace saddleslip {

using base::JobId;
using base::Seconds;
using base::SteadyClock;
using coordination::Controller;
using protocol::PeerMessage;
using protocol::PeerReply;

namespace {

constexpr double kStatusPeriodShare = 0.7;  // of the scheduling rounds' period
constexpr Seconds kMaxStatusPeriod{0.7};
constexpr Seconds kPeerTimeout{1.0};
constexpr std::size_t kMaxConnections = 2;
constexpr std::size_t kMaxUnsentOffers = 64;
constexpr std::size_t kMaxUnsentCancellations = 1024;

}  // namespace

Seconds status_period(Seconds round_period) {
  return std::min(round_period * kStatusPeriodShare, kMaxStatusPeriod);
}

PeerSync::PeerSync(const DaemonContext& context, const base::Peer& peer)
    : context_(context), member_(peer.member), http_(peer.address, kMaxConnections) {}

void PeerSync::send_offers(protocol::Offers offers) {
  {
    const std::lock_guard lock(mutex_);
    if (offers_.size() < kMaxUnsentOffers) offers_.push_back(std::move(offers));
  }
  wakeup_.notify();
}

void PeerSync::send_cancellation(const JobId& job) {
  {
    const std::lock_guard lock(mutex_);
    cancellations_.push_back(job);
    if (cancellations_.size() > kMaxUnsentCancellations) cancellations_.pop_front();
  }
  wakeup_.notify();
}

void PeerSync::run(const std::stop_token& stop) {
  const Seconds period = status_period(context_.settings.tuning.round_period);
  while (!stop.stop_requested()) {
    wakeup_.wait_for(period, stop);
    if (stop.stop_requested()) return;
    if (!send(make_message())) sleep_for(kRetryDelay, stop);
  }
}

PeerMessage PeerSync::make_message() {
  PeerMessage message;
  {
    const std::lock_guard lock(mutex_);
    message.offers.swap(offers_);
    message.cancelled.assign(cancellations_.begin(), cancellations_.end());
  }
  message.status = context_.controller.with_lock(
      [&](Controller& controller) { return controller.status(member_, SteadyClock::now()); });
  return message;
}

bool PeerSync::send(const PeerMessage& message) {
  const std::string body = protocol::encode_peer_message(message, SteadyClock::now());
  const auto response = http_.post(protocol::kPeerStatusPath, body, kPeerTimeout);
  if (!response.ok()) {
    if (!message.offers.empty()) {
      context_.controller.with_lock([&](Controller& controller) {
        controller.handle_undelivered_offers(member_, message.offers);
      });
      context_.wakeups.scheduling.notify();
    }
    return false;
  }
  remove_delivered_cancellations(message.cancelled);
  handle_reply(protocol::parse_peer_reply(response.body), message.status.revision);
  return true;
}

void PeerSync::remove_delivered_cancellations(const std::vector<JobId>& cancelled) {
  // Cancellations queued since the message was built follow the delivered ones, unless the bound
  // has removed some of those from the front.
  const std::lock_guard lock(mutex_);
  for (const JobId& job : cancelled) {
    if (cancellations_.empty()) return;
    if (cancellations_.front() == job) cancellations_.pop_front();
  }
}

void PeerSync::handle_reply(const PeerReply& reply, std::uint64_t status_revision) {
  if (reply.needs_full_status) wakeup_.notify();
  context_.controller.with_lock([&](Controller& controller) {
    controller.record_peer_reached(member_, SteadyClock::now());
    controller.acknowledge_status(member_, reply.needs_full_status ? 0 : status_revision);
    controller.mark_released(reply.released, SteadyClock::now());
    controller.cordon_idle(reply.cordon);
    controller.drain(reply.drain);
  });
  if (!reply.released.empty()) context_.wakeups.scheduling.notify();
}

}  // namespace saddleslip
