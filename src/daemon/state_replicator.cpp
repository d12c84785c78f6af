#include "daemon/state_replicator.h"

#include <algorithm>
#include <iterator>
#include <optional>

#include "base/log.h"
#include "daemon/timeouts.h"

namespace saddleslip {

using base::Revision;
using base::Seconds;
using base::SteadyClock;
using coordination::Controller;
using protocol::Item;
using protocol::StateClient;
using CommitOutcome = StateClient::CommitOutcome;

namespace {

constexpr Seconds kListTimeout{5.0};
constexpr Seconds kLoadReadTimeout{2.0};
constexpr Seconds kWatchDuration{10.0};
constexpr Seconds kReloadDelay = kRetryDelay * 2.0;

// Returns whether a change of this key may require a new view or another leader.
bool is_membership_key(const std::string& key) {
  return key == protocol::kViewKey || key == protocol::kLeaderKey ||
         key.starts_with(protocol::kMemberPrefix) || key.starts_with(protocol::kClaimPrefix);
}

}  // namespace

void StateReplicator::run(const std::stop_token& stop) {
  using WatchOutcome = StateClient::WatchResult::Outcome;
  bool must_load = true;
  while (!stop.stop_requested()) {
    if (must_load && !load()) {
      sleep_for(kReloadDelay, stop);
      continue;
    }
    must_load = false;
    const Revision after = context_.controller.with_lock(
        [](Controller& controller) { return controller.cache().revision(); });
    // The first watch after the first load does not wait: it reads the changes made during the
    // load.
    const auto changes =
        state_client_.watch(protocol::kAllPrefix, after, is_loaded_ ? kWatchDuration : Seconds(0));
    switch (changes.outcome) {
      case WatchOutcome::kTooOld:
        spdlog::warn("watch fell too far behind, loading the state again revision={}", after.get());
        must_load = true;
        break;
      case WatchOutcome::kNoResponse:
        sleep_for(kRetryDelay, stop);
        break;
      case WatchOutcome::kEvents:
        apply(changes);
        break;
    }
  }
}

bool StateReplicator::load() {
  std::vector<Item> items;
  // The watch starts from the revision of the first page; later pages are at least as new.
  std::optional<Revision> watch_from;
  for (const std::string& prefix :
       {protocol::kMemberPrefix, protocol::kClaimPrefix, protocol::kDependencyListPrefix,
        protocol::kJobPrefix, protocol::kTaskRecordPrefix, protocol::kStartConflictPrefix}) {
    Revision revision;
    if (!list_all(prefix, items, revision)) return false;
    if (!watch_from) watch_from = revision;
  }
  for (const std::string& key : {protocol::kViewKey, protocol::kLeaderKey, protocol::kFormatKey,
                                 protocol::kCatalogueKey, protocol::kFleetKey}) {
    auto response = state_client_.get(key, kLoadReadTimeout);
    if (!response.answered) return false;
    if (response.item.version.get() != 0) items.push_back(std::move(response.item));
  }
  context_.controller.with_lock([&](Controller& controller) {
    controller.cache().clear();
    for (const Item& item : items) controller.cache().apply(item, SteadyClock::now());
    controller.cache().advance_to(*watch_from);
    controller.cache_replaced();
  });
  return true;
}

bool StateReplicator::list_all(const std::string& prefix, std::vector<Item>& items,
                               Revision& revision) {
  std::string after;
  for (bool is_first_page = true;; is_first_page = false) {
    auto page = state_client_.list(prefix, after, kListTimeout);
    if (!page.answered) return false;
    if (is_first_page) revision = page.revision;
    if (page.items.empty()) return true;
    after = page.items.back().key;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(items));
    if (!page.has_more) return true;
  }
}

bool StateReplicator::catch_up(Seconds timeout) {
  if (!is_loaded_) return false;
  const Revision after = context_.controller.with_lock(
      [](Controller& controller) { return controller.cache().revision(); });
  const auto changes = state_client_.changes(protocol::kAllPrefix, after, timeout);
  return changes.outcome == StateClient::WatchResult::Outcome::kEvents && apply(changes);
}

bool StateReplicator::apply(const StateClient::WatchResult& changes) {
  bool has_changed = false;
  bool has_membership_changed = false;
  const bool is_current = context_.controller.with_lock([&](Controller& controller) {
    // If the copy was reloaded while these changes were read, they may leave a gap: they neither
    // bring the new copy up to date nor show that it is current.
    if (changes.after > controller.cache().revision()) return false;
    for (const Item& item : changes.events) {
      if (!controller.cache().apply(item, SteadyClock::now())) continue;
      has_changed = true;
      has_membership_changed = has_membership_changed || is_membership_key(item.key);
    }
    controller.cache().advance_to(changes.revision);
    controller.install_view(SteadyClock::now());
    return true;
  });
  if (!is_current) return false;
  last_read_at_ = SteadyClock::now();
  const bool is_first_load = !is_loaded_.exchange(true);
  if (is_first_load || has_membership_changed) context_.wakeups.lease_renewal.notify();
  if (has_changed) context_.wakeups.scheduling.notify();
  return true;
}

Seconds StateReplicator::time_since_read() const {
  return base::between(last_read_at_, SteadyClock::now());
}

bool StateReplicator::commit(const protocol::Transaction& transaction) {
  const auto commit_result = state_client_.commit(transaction, kCommitTimeout);
  if (commit_result.outcome == CommitOutcome::kDone) {
    context_.controller.with_lock([&](Controller& controller) {
      controller.cache().apply(transaction, commit_result.revision, SteadyClock::now());
    });
    return true;
  }
  if (commit_result.outcome == CommitOutcome::kConflict) refresh(commit_result.failed);
  return false;
}

void StateReplicator::refresh(const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    if (key == protocol::kViewKey) context_.wakeups.lease_renewal.notify();
    // Only records that do not imply earlier changes may be read ahead of the watch. The view and
    // the records of task starts imply all changes committed before them: applied without those, a
    // team's usage would lack starts by other controllers.
    const bool is_independent =
        key.starts_with(protocol::kJobPrefix) || key.starts_with(protocol::kTaskRecordPrefix);
    if (!is_independent) continue;
    const auto response = state_client_.get(key, kUserReadTimeout);
    if (!response.answered) return;
    if (response.item.version.get() == 0) continue;
    context_.controller.with_lock([&](Controller& controller) {
      controller.cache().apply(response.item, SteadyClock::now());
    });
  }
}

}  // namespace saddleslip
