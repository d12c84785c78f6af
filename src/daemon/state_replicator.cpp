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
using Outcome = StateClient::Outcome;

namespace {

constexpr Seconds kListTimeout{5.0};
constexpr Seconds kLoadGetTimeout{2.0};
constexpr Seconds kWatchDuration{10.0};
constexpr Seconds kReloadDelay = kRetryDelay * 2.0;

// Does a change of this key call for a new view or another leader?
bool concerns_membership(const std::string& key) {
  return key == protocol::kViewKey || key == protocol::kLeadKey ||
         key.starts_with(protocol::kMembers) || key.starts_with(protocol::kClaims);
}

}  // namespace

void StateReplicator::run(const std::stop_token& stop) {
  using What = StateClient::Watched::What;
  bool needs_load = true;
  while (!stop.stop_requested()) {
    if (needs_load && !load()) {
      sleep_for(kReloadDelay, stop);
      continue;
    }
    needs_load = false;
    const Revision after =
        context_.controller.locked([](Controller& c) { return c.cache().revision(); });
    // The first watch after the first load must not wait: it brings the copy up to the load's end.
    const auto changes =
        state_.watch(protocol::kAll, after, is_loaded_ ? kWatchDuration : Seconds(0));
    switch (changes.what) {
      case What::kTooOld:
        spdlog::warn("watch fell too far behind, loading the state again revision={}", after.get());
        needs_load = true;
        break;
      case What::kNothing:
        sleep_for(kRetryDelay, stop);
        break;
      case What::kEvents:
        apply(changes);
        break;
    }
  }
}

bool StateReplicator::load() {
  std::vector<Item> items;
  // The watch continues from the first page's revision: the later pages are at least as new.
  std::optional<Revision> from;
  for (const std::string& prefix : {protocol::kMembers, protocol::kClaims, protocol::kDependencies,
                                    protocol::kJobs, protocol::kChunks, protocol::kTeams}) {
    Revision revision;
    if (!list(prefix, items, revision)) return false;
    if (!from) from = revision;
  }
  for (const std::string& key : {protocol::kViewKey, protocol::kLeadKey, protocol::kFormatKey,
                                 protocol::kCatalogueKey, protocol::kFleetKey}) {
    auto got = state_.get(key, kLoadGetTimeout);
    if (!got.answered) return false;
    if (got.item.version.get() != 0) items.push_back(std::move(got.item));
  }
  context_.controller.locked([&](Controller& c) {
    c.cache().clear();
    for (const Item& item : items) c.cache().apply(item, SteadyClock::now());
    c.cache().advance_to(*from);
    c.cache_replaced();
  });
  return true;
}

// Appends all items under the prefix; `revision` is the store's at the first page.
bool StateReplicator::list(const std::string& prefix, std::vector<Item>& items,
                           Revision& revision) {
  std::string after;
  for (bool is_first = true;; is_first = false) {
    auto page = state_.list(prefix, after, kListTimeout);
    if (!page.answered) return false;
    if (is_first) revision = page.revision;
    if (page.items.empty()) return true;
    after = page.items.back().key;
    std::move(page.items.begin(), page.items.end(), std::back_inserter(items));
    if (!page.more) return true;
  }
}

bool StateReplicator::catch_up(Seconds timeout) {
  if (!is_loaded_) return false;
  const Revision after =
      context_.controller.locked([](Controller& c) { return c.cache().revision(); });
  const auto changes = state_.changes(protocol::kAll, after, timeout);
  return changes.what == StateClient::Watched::What::kEvents && apply(changes);
}

bool StateReplicator::apply(const StateClient::Watched& changes) {
  bool has_changed = false;
  bool has_membership_changed = false;
  const bool is_current = context_.controller.locked([&](Controller& c) {
    // A copy that was loaded again meanwhile is not brought up to date by what came after the old
    // one, nor does that prove it current.
    if (changes.after > c.cache().revision()) return false;
    for (const Item& item : changes.events) {
      if (!c.cache().apply(item, SteadyClock::now())) continue;
      has_changed = true;
      has_membership_changed = has_membership_changed || concerns_membership(item.key);
    }
    c.cache().advance_to(changes.revision);
    c.install_view(SteadyClock::now());
    return true;
  });
  if (!is_current) return false;
  const bool is_first = !is_loaded_.exchange(true);
  if (is_first || has_membership_changed) context_.wakeups.lease_renewal.notify();
  if (has_changed) context_.wakeups.scheduling.notify();
  return true;
}

bool StateReplicator::commit(const protocol::Transaction& txn) {
  const auto result = state_.commit(txn, kCommitTimeout);
  if (result.outcome == Outcome::kDone) {
    context_.controller.locked(
        [&](Controller& c) { c.cache().apply(txn, result.revision, SteadyClock::now()); });
    return true;
  }
  if (result.outcome == Outcome::kConflict) refresh(result.failed);
  return false;
}

void StateReplicator::refresh(const std::vector<std::string>& keys) {
  for (const std::string& key : keys) {
    if (key == protocol::kViewKey) context_.wakeups.lease_renewal.notify();
    // Only what stands for itself may be read ahead of the watch. The view and the records of
    // starts stand for all that was committed before them: known without it, a team's use would
    // miss other controllers' starts.
    const bool stands_alone =
        key.starts_with(protocol::kJobs) || key.starts_with(protocol::kChunks);
    if (!stands_alone) continue;
    const auto got = state_.get(key, kUserReadTimeout);
    if (!got.answered) return;
    if (got.item.version.get() == 0) continue;
    context_.controller.locked(
        [&](Controller& c) { c.cache().apply(got.item, SteadyClock::now()); });
  }
}

}  // namespace saddleslip
