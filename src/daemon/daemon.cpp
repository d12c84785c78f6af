#include "daemon/daemon.h"

#include <algorithm>

#include "base/log.h"
#include "protocol/paths.h"
#include "protocol/peer_messages.h"

namespace saddleslip {

using base::JobId;
using base::Version;
using protocol::StateClient;
using protocol::Transaction;
using Outcome = StateClient::Outcome;

namespace {

using base::Seconds;

constexpr Seconds kUserCall{1.2};     // users wait 2 s for a status
constexpr Seconds kBarrierGap{0.04};  // between two looks at the store's changes for polls
constexpr Seconds kStateCall{1.5};
constexpr Seconds kShortPause{0.2};
constexpr Seconds kOrderCall{1.0};
constexpr Seconds kLeastGap{0.05};  // between two rounds: what comes in a burst shares one
constexpr double kRoundShare = 6;   // a round waits so many times as long as its decisions take
constexpr std::size_t kMostOrders = 512;
constexpr std::size_t kMaxUnsentCancellations = 1024;  // cancellations that a sibling has not taken
// An answer of changes that were missed takes several times its size once it is parsed.
constexpr std::size_t kChangesShare = 32;
constexpr std::size_t kMostOrphans = 4000;   // records kept for later removal
constexpr std::size_t kMostFinalsRead = 16;  // in one round
constexpr int kMostThreads = 192;            // that serve requests; a process may have 2,000 in all
constexpr int kSenders = 8;                  // of direct orders
constexpr std::size_t kMaxPeerBody = 2u << 20;  // a status lists all machines of a part

base::Time now() {
  return base::SteadyClock::now();
}

void pause(Seconds s) {
  std::this_thread::sleep_for(s);
}

transport::Reply error(int status, const std::string& reason, int retry_after_s = 0) {
  return {status, protocol::error_body(reason), retry_after_s};
}

}  // namespace

Daemon::Daemon(base::Settings settings)
    : settings_(std::move(settings)),
      state_(settings_.state, settings_.memory_bytes / kChangesShare),
      users_store_(settings_.state),
      cloud_(settings_.cloud),
      workers_(static_cast<std::size_t>(std::max(4, settings_.sockets / 8))),
      controller_(settings_),
      users_(settings_, mutex_, controller_,
             {[this] { return read_barrier_.wait(); },
              [this](const std::string& key) { return users_store_.get(key, kUserCall); },
              [this](const Transaction& txn) { return users_store_.commit(txn, kStateCall); },
              [] { return base::wall_seconds(); }, [this] { wakeups_.scheduling.notify(); },
              [this](const JobId& id) { broadcast_cancellation(id); }}),
      read_barrier_({kBarrierGap, kUserCall}, [this] { return catch_up(kUserCall); }) {
  for (const base::Peer& s : settings_.peers) {
    peers_.push_back(std::make_unique<Peer>(s));
  }
}

Daemon::~Daemon() = default;

void Daemon::start() {
  const int most = settings_.tuning.max_connections > 0 ? settings_.tuning.max_connections
                                                        : settings_.sockets * 3 / 4;
  // An eighth is kept for users and the load balancer's probes when all workers come to one node.
  const int threads = std::clamp(most / 8, 16, kMostThreads);
  most_asking_ = std::max(8, threads * 3 / 4);
  server_ = std::make_unique<transport::HttpServer>(
      settings_.listen,
      transport::ServerLimits{most, threads, 64u << 10, protocol::kHeartbeatPath,
                              std::max(1, most - most / 8)},
      [this](const Request& r) { return serve(r); });
  peer_server_ = std::make_unique<transport::HttpServer>(
      settings_.peer_listen,
      transport::ServerLimits{std::max(16, settings_.sockets / 20), 16, kMaxPeerBody, "", 0},
      [this](const Request& r) { return serve_peer(r); });
  threads_.emplace_back([this] { watch_loop(); });
  threads_.emplace_back([this] { renew_lease_loop(); });
  threads_.emplace_back([this] { round_loop(); });
  threads_.emplace_back([this] { scale_loop(); });
  for (int i = 0; i < kSenders; ++i) threads_.emplace_back([this] { send_orders_loop(); });
  for (auto& s : peers_) threads_.emplace_back([this, &s] { sync_peer_loop(*s); });
  spdlog::info("{} serves on {}, siblings on {}", settings_.member.get(), settings_.listen.str(),
               settings_.peer_listen.str());
}

void Daemon::wait() {
  for (auto& t : threads_) t.join();
}

// --- users and workers

Daemon::Reply Daemon::serve(const Request& req) {
  if (req.path == protocol::kHeartbeatPath) {
    return req.method == "POST" ? handle_heartbeat(req.body) : error(405, "wrong method");
  }
  if (req.path == protocol::kReadinessPath)
    return req.method == "GET" ? ready() : error(405, "wrong method");
  const bool admitted = asking_.fetch_add(1) < most_asking_;
  Reply reply = admitted ? serve_user(req) : error(503, "too many requests are waiting", 1);
  --asking_;
  return reply;
}

Daemon::Reply Daemon::serve_user(const Request& req) {
  const auto wrong_method = [] { return error(405, "wrong method"); };
  const std::string& submissions = protocol::kSubmissionsPath;
  const std::string& cancel = protocol::kCancelSuffix;
  if (req.path == submissions) {
    return req.method == "POST" ? users_.submit(req.body, now()) : wrong_method();
  }
  if (req.path.compare(0, submissions.size() + 1, submissions + "/") == 0) {
    std::string id = req.path.substr(submissions.size() + 1);
    const bool is_cancellation =
        id.size() > cancel.size() &&
        id.compare(id.size() - cancel.size(), std::string::npos, cancel) == 0;
    if (is_cancellation) id.resize(id.size() - cancel.size());
    if (!protocol::valid_job_id(id)) return error(404, "no such job");
    if (is_cancellation) {
      return req.method == "POST" ? users_.cancel(JobId(id), now()) : wrong_method();
    }
    return req.method == "GET" ? users_.status(JobId(id)) : wrong_method();
  }
  return error(404, "no such path");
}

Daemon::Reply Daemon::ready() {
  const Time t = now();
  const bool ok = loaded_ && locked([&](coordination::Controller& c) {
                    if (c.cache().catalogue().empty()) return false;
                    // In an outage of the state service all are alike, and being passed over would
                    // only outlast it. A node that alone is refused should be passed over.
                    return c.has_lease(t) || (was_ready_ && !c.peers_have_state(t));
                  });
  if (ok) was_ready_ = true;
  return ok ? Reply{200, protocol::kReadyBody, 0} : error(503, "not ready", 1);
}

Daemon::Reply Daemon::handle_heartbeat(const std::string& body) {
  const auto heartbeat = protocol::parse_heartbeat(body);
  if (!heartbeat) return error(400, "not a report");
  bool news = false;
  const auto reply = locked([&](coordination::Controller& c) {
    auto r = c.handle_heartbeat(*heartbeat, now());
    if (r.status == 200) {
      news = std::any_of(heartbeat->tasks.begin(), heartbeat->tasks.end(), [](const auto& t) {
        return std::any_of(t.second.begin(), t.second.end(),
                           [](const auto& a) { return a.state == protocol::TaskState::kEnded; });
      });
      news = news || heartbeat->tasks.empty();
    }
    return r;
  });
  if (news) wakeups_.scheduling.notify();
  return {reply.status, reply.body, 0};
}

// --- siblings

Daemon::Reply Daemon::serve_peer(const Request& req) {
  if (req.path != protocol::kPeerStatusPath || req.method != "POST") {
    return error(404, "no such path");
  }
  const auto message = protocol::parse_peer_message(req.body, now());
  if (!message) return error(400, "malformed");
  const auto said = locked([&](coordination::Controller& c) {
    for (const auto& o : message->offers) c.add_offers(o, now());
    for (const JobId& id : message->cancelled) c.notify_cancelled(id);
    return c.handle_peer_status(message->status, now());
  });
  if (!message->offers.empty() || !message->cancelled.empty()) wakeups_.scheduling.notify();
  // Its machines lose their tasks if nobody answers them within their lease.
  if (message->status.contact == protocol::WorkerContact::kLost) wakeups_.lease_renewal.notify();
  return {200, protocol::encode_peer_reply({said.released, said.cordon, said.drain, said.again}),
          0};
}

// Best effort: that a cancelled task is gone in time rests on the end of authority and of leases.
void Daemon::broadcast_cancellation(const JobId& id) {
  for (auto& s : peers_) {
    {
      const std::lock_guard lock(s->mutex);
      s->cancelled.push_back(id);
      if (s->cancelled.size() > kMaxUnsentCancellations) s->cancelled.pop_front();
    }
    s->wakeup.notify();
  }
}

void Daemon::sync_peer_loop(Peer& peer) {
  const Seconds period = settings_.tuning.round_period * 0.7;
  for (;;) {
    peer.wakeup.wait_for(period, {});
    protocol::PeerMessage message;
    {
      const std::lock_guard lock(peer.mutex);
      message.offers.swap(peer.offers);
      message.cancelled.assign(peer.cancelled.begin(), peer.cancelled.end());
    }
    message.status = locked([&](auto& c) { return c.status(peer.id, now()); });
    const auto answer = peer.http.post(protocol::kPeerStatusPath,
                                       protocol::encode_peer_message(message, now()), Seconds(1.0));
    if (!answer.ok()) {
      if (!message.offers.empty()) {
        locked([&](auto& c) { c.offers_lost(peer.id, message.offers); });
        wakeups_.scheduling.notify();
      }
      pause(kShortPause);
      continue;
    }
    {
      // Those that came meanwhile stand behind them, unless the bound took some.
      const std::lock_guard lock(peer.mutex);
      for (const JobId& id : message.cancelled) {
        if (peer.cancelled.empty()) break;
        if (peer.cancelled.front() == id) peer.cancelled.pop_front();
      }
    }
    const protocol::PeerReply reply = protocol::parse_peer_reply(answer.body);
    if (reply.needs_full_status) peer.wakeup.notify();
    locked([&](coordination::Controller& c) {
      c.peer_reached(peer.id, now());
      c.status_acknowledged(peer.id, reply.needs_full_status ? 0 : message.status.upto);
      c.mark_released(reply.released, now());
      c.cordon_idle(reply.cordon);
      c.drain(reply.drain);
    });
    if (!reply.released.empty()) wakeups_.scheduling.notify();
  }
}

// --- the state service

void Daemon::renew_lease_loop() {
  const Seconds ttl = settings_.tuning.member_ttl;
  const Seconds period = ttl / 4.0, timeout = std::min(Seconds(1.0), ttl / 4.0);
  for (;;) {
    std::optional<base::LeaseId> lease = locked([this](auto&) { return lease_; });
    if (!loaded_) {
      wakeups_.lease_renewal.wait_for(kShortPause, {});
      continue;
    }
    if (!lease) {
      const Time sent = now();
      lease = state_.create_lease(ttl, timeout);
      if (!lease) {
        wakeups_.lease_renewal.wait_for(kShortPause * 2.0, {});
        continue;
      }
      const protocol::ControllerIncarnation incarnation{settings_.member,
                                                        base::Incarnation(lease->get())};
      const Transaction txn = locked([&](coordination::Controller& c) {
        c.begin_incarnation(incarnation, now());
        return c.member_record(*lease, false);
      });
      const auto done = state_.commit(txn, kStateCall);
      if (done.outcome != Outcome::kDone) {
        locked([](auto& c) { c.end_incarnation(); });
        state_.delete_lease(*lease, timeout);
        wakeups_.lease_renewal.wait_for(kShortPause * 2.0, {});
        continue;
      }
      const std::lock_guard lock(mutex_);
      lease_ = lease;
      controller_.cache().apply(txn, done.revision, now());
      controller_.lease_acquired(sent);
      spdlog::info("member {} begins life {}", incarnation.member.get(),
                   incarnation.incarnation.get());
      for (auto& s : peers_) s->wakeup.notify();
    }
    locked([](auto& c) { c.tell_time(now(), base::wall_seconds()); });
    const Time sent = now();
    const auto renewed = state_.renew_lease(*lease, timeout);
    if (renewed == StateClient::Renewed::kGone) {
      const std::lock_guard lock(mutex_);
      spdlog::warn("the member's lease is gone: nothing is done until a view names a new life");
      lease_.reset();
      controller_.end_incarnation();
      continue;
    }
    if (renewed == StateClient::Renewed::kYes) {
      locked([&](coordination::Controller& c) { c.lease_acquired(sent); });
      // Authority to command needs more than the present view: a copy of the jobs that is as new as
      // the renewal. After an outage the renewal is answered before the watch has said anything, and
      // a job that was cancelled elsewhere meanwhile would be started again.
      const auto cache_generation =
          locked([](coordination::Controller& c) { return c.cache_generation(); });
      if (catch_up(timeout))
        locked([&](coordination::Controller& c) { c.lease_renewed(sent, cache_generation); });
    }
    const auto txn = locked([&](auto& c) { return c.propose_membership_change(now(), *lease); });
    if (txn) {
      const auto done = state_.commit(*txn, kStateCall);
      if (done.outcome == Outcome::kDone) {
        locked([&](coordination::Controller& c) {
          c.cache().apply(*txn, done.revision, now());
          c.install_view(now());
        });
        wakeups_.scheduling.notify();
        wakeups_.fleet.notify();
        continue;
      }
      if (done.outcome == Outcome::kConflict) refresh(done.failed);
    }
    if (const auto propose_ownership_claims =
            locked([](auto& c) { return c.propose_ownership_claims(now()); })) {
      commit(*propose_ownership_claims, kStateCall);
    }
    wakeups_.scheduling.notify();
    wakeups_.lease_renewal.wait_for(period, {});
  }
}

bool Daemon::load() {
  std::vector<protocol::Item> items;
  base::Revision from;
  bool first = true;
  for (const std::string& prefix : {protocol::kMembers, protocol::kClaims, protocol::kDependencies,
                                    protocol::kJobs, protocol::kChunks, protocol::kTeams}) {
    std::string after;
    for (;;) {
      auto page = state_.list(prefix, after, Seconds(5.0));
      if (!page.answered) return false;
      if (first) from = page.revision;
      first = false;
      if (!page.items.empty()) after = page.items.back().key;
      const bool more = page.more && !page.items.empty();
      std::move(page.items.begin(), page.items.end(), std::back_inserter(items));
      if (!more) break;
    }
  }
  for (const std::string& key : {protocol::kViewKey, protocol::kLeadKey, protocol::kFormatKey,
                                 protocol::kCatalogueKey, protocol::kFleetKey}) {
    auto got = state_.get(key, Seconds(2.0));
    if (!got.answered) return false;
    if (got.item.version.get() != 0) items.push_back(std::move(got.item));
  }
  locked([&](coordination::Controller& c) {
    c.cache().clear();
    for (const auto& item : items) c.cache().apply(item, now());
    c.cache().advance_to(from);
    c.cache_replaced();
  });
  return true;
}

void Daemon::watch_loop() {
  bool ready = false;
  for (;;) {
    if (!ready) {
      if (!load()) {
        pause(kShortPause * 2.0);
        continue;
      }
      ready = true;
    }
    const auto after = locked([](auto& c) { return c.cache().revision(); });
    // The first look after a load must not wait: it brings the copy up to the load's end.
    const auto w = state_.watch(protocol::kAll, after, loaded_ ? Seconds(10.0) : Seconds(0));
    using What = StateClient::Watched::What;
    if (w.what == What::kTooOld) {
      spdlog::warn("the watch fell too far behind: reading everything again");
      ready = false;
      continue;
    }
    if (w.what == What::kNothing) {
      pause(kShortPause);
      continue;
    }
    take_in(w);
  }
}

bool Daemon::catch_up(Seconds timeout) {
  if (!loaded_) return false;
  const auto after = locked([](auto& c) { return c.cache().revision(); });
  const auto w = state_.changes(protocol::kAll, after, timeout);
  return w.what == StateClient::Watched::What::kEvents && take_in(w);
}

bool Daemon::take_in(const StateClient::Watched& w) {
  bool members = false, changed = false, current = false;
  locked([&](coordination::Controller& c) {
    // A copy that was begun anew meanwhile is not brought up to date by what came after the old, nor
    // does that prove it current.
    if (w.after > c.cache().revision()) return;
    current = true;
    for (const auto& e : w.events) {
      if (!c.cache().apply(e, now())) continue;
      changed = true;
      members = members || e.key == protocol::kViewKey || e.key == protocol::kLeadKey ||
                e.key.starts_with(protocol::kMembers) || e.key.starts_with(protocol::kClaims);
    }
    c.cache().advance_to(w.revision);
    c.install_view(now());
  });
  if (!current) return false;
  if (!loaded_) {
    loaded_ = true;
    members = true;
  }
  if (members) wakeups_.lease_renewal.notify();
  if (changed) wakeups_.scheduling.notify();
  return true;
}

void Daemon::refresh(const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    if (key == protocol::kViewKey) wakeups_.lease_renewal.notify();
    // Only what stands for itself may be read ahead of the watch. The view and the rows of starts
    // stand for all that was committed before them: known without it, a team's use would miss
    // other nodes' starts.
    const bool alone = key.starts_with(protocol::kJobs) || key.starts_with(protocol::kChunks);
    if (!alone) continue;
    auto got = state_.get(key, kUserCall);
    if (!got.answered) return;
    if (got.item.version.get() == 0) continue;
    locked([&](coordination::Controller& c) { c.cache().apply(got.item, now()); });
  }
}

bool Daemon::commit(const Transaction& txn, Seconds timeout) {
  const auto done = state_.commit(txn, timeout);
  if (done.outcome == Outcome::kDone) {
    locked([&](coordination::Controller& c) { c.cache().apply(txn, done.revision, now()); });
    return true;
  }
  if (done.outcome == Outcome::kConflict) refresh(done.failed);
  return false;
}

// --- rounds

double Daemon::write_rate() {
  const auto members = locked([](coordination::Controller& c) {
    return c.cache().view() ? c.cache().view()->members.size() : std::size_t{0};
  });
  return settings_.state_write_rps * 0.85 / static_cast<double>(std::max<std::size_t>(1, members));
}

coordination::WriteBudget Daemon::await_write_budget() {
  for (;;) {
    const Seconds wait = write_limiter_.refill(now(), write_rate());
    if (wait.count() <= 0) return write_limiter_.budget();
    pause(wait);
  }
}

void Daemon::round_loop() {
  for (;;) {
    wakeups_.scheduling.wait_for(settings_.tuning.round_period, {});
    // What comes in a burst shares a round. The longer its decisions take, the fewer are made, and
    // the more each of them takes in.
    pause(std::clamp(deciding_ * kRoundShare, kLeastGap, settings_.tuning.round_period * 0.7));
    if (!loaded_) continue;
    one_round();
  }
}

void Daemon::one_round() {
  for (int i = 0; i < 6; ++i) {
    const auto write_budget = await_write_budget();
    const Time began = now();
    auto routed = locked([](coordination::Controller& c) {
      c.install_view(now());
      auto out = c.route(now());
      const auto mine = out.find(c.self().member);
      if (mine != out.end()) {
        c.add_offers(mine->second, now());
        out.erase(mine);
      }
      return out;
    });
    for (auto& s : peers_) {
      const auto at = routed.find(s->id);
      if (at == routed.end()) continue;
      {
        const std::lock_guard lock(s->mutex);
        if (s->offers.size() < 64) s->offers.push_back(std::move(at->second));
      }
      s->wakeup.notify();
    }
    const auto plan = locked([&](auto& c) { return c.plan(now(), write_budget); });
    deciding_ = deciding_ * 0.7 + base::between(began, now()) * 0.3;
    std::vector<coordination::CommandBatch> orders;
    const bool went = !plan.empty() && commit_plan(plan, orders);
    auto stops = locked([](auto& c) { return c.stops(now()); });
    std::move(stops.begin(), stops.end(), std::back_inserter(orders));
    enqueue(std::move(orders));
    // Once more only for what one record could not hold, or what another node overtook: what comes
    // meanwhile rings for the next round.
    if (plan.empty() || (went && !plan.more)) break;
    if (!went) pause(kLeastGap);
  }
  for (int i = 0; i < 8; ++i) {
    const auto txn = locked([](auto& c) {
      auto finish = c.finalize_one_job(now());
      return finish ? finish : c.split_one_record(now());
    });
    if (!txn) break;
    write_limiter_.charge(txn->writes.size());
    if (!commit(*txn, kStateCall)) break;
  }
  // Records of jobs that are over: when there are writes to spare, or too many of them.
  const bool plenty = await_write_budget() == coordination::WriteBudget::kSurplus;
  const auto orphans = locked([&](coordination::Controller& c) {
    const bool due = plenty || c.cache().orphans().size() > kMostOrphans;
    return due ? c.collect_garbage() : std::nullopt;
  });
  if (orphans) {
    write_limiter_.charge(orphans->writes.size());
    commit(*orphans, kStateCall);
  }
  read_unresolved_dependencies();
  // What this node's own records made ready waits for no other event.
  const std::uint64_t ready = locked([](auto& c) { return c.cache().jobs_unblocked(); });
  if (ready != jobs_unblocked_) wakeups_.scheduling.notify();
  jobs_unblocked_ = ready;
}

// Jobs may wait for others that were over before this copy was read: their final states are not among
// what is read and watched from then on.
void Daemon::read_unresolved_dependencies() {
  auto ids = locked([](auto& c) { return c.cache().unresolved_dependencies(); });
  if (ids.size() > kMostFinalsRead) ids.resize(kMostFinalsRead);
  for (const JobId& id : ids) {
    const auto got = state_.get(protocol::final_key(id), kUserCall);
    if (!got.answered) return;
    const auto state = protocol::parse_final(got.item.value);
    if (state) locked([&](auto& c) { c.cache().remember_final(id, *state); });
  }
}

bool Daemon::commit_plan(const coordination::RoundPlan& plan,
                         std::vector<coordination::CommandBatch>& orders) {
  const auto done = state_.commit(plan.txn, kStateCall);
  write_limiter_.charge(plan.txn.writes.size());
  switch (done.outcome) {
    case Outcome::kDone:
      orders = locked([&](coordination::Controller& c) {
        return c.committed(plan, Version(done.revision.get()), now());
      });
      return true;
    case Outcome::kConflict:
      refresh(done.failed);
      return false;
    case Outcome::kUnknown: {
      // It may have been carried out, or may be later. The guards decide: what comes next on
      // these keys is committed against the versions read now, and only one of the two can hold.
      std::vector<std::string> keys;
      for (const auto& w : plan.txn.writes) keys.push_back(w.key);
      refresh(keys);
      return false;
    }
    default:
      pause(kShortPause);
      return false;
  }
}

void Daemon::enqueue(std::vector<coordination::CommandBatch> orders) {
  if (orders.empty()) return;
  {
    const std::lock_guard lock(orders_mutex_);
    for (auto& o : orders) {
      // What is dropped here is in the next report's answer all the same.
      if (orders_.size() < kMostOrders) orders_.push_back(std::move(o));
    }
  }
  orders_ready_.notify_all();
}

void Daemon::send_orders_loop() {
  for (;;) {
    coordination::CommandBatch o;
    {
      std::unique_lock lock(orders_mutex_);
      orders_ready_.wait(lock, [this] { return !orders_.empty(); });
      o = std::move(orders_.front());
      orders_.pop_front();
    }
    if (!locked([&](auto& c) { return c.drop_stale_commands(o, now()); })) continue;
    const auto a =
        workers_.order(o.address, o.fencing_token, o.agent_incarnation, o.commands, kOrderCall);
    if (a.sent != transport::Sent::kYes) {
      spdlog::info("order to {} was not answered", o.machine.get());
      locked([&](auto& c) { c.commands_lost(o.machine); });
      continue;
    }
    locked([&](auto& c) { c.handle_command_reply(o.machine, a.heartbeat, now()); });
  }
}

}  // namespace saddleslip
