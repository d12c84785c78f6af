// Keeps this process's copy of the state service's contents up to date.
#pragma once

#include <atomic>
#include <stop_token>
#include <string>
#include <vector>

#include "daemon/shared_controller.h"
#include "protocol/clients.h"

namespace saddleslip {

// Loads the store's contents into the controller's cache, follows the store's watch, and takes in
// this process's own commits. run() has a thread of its own; the other functions may be called from
// any thread.
class StateReplicator {
 public:
  StateReplicator(const DaemonContext& context, protocol::StateClient& state)
      : context_(context), state_(state) {}

  // Loads the copy and follows the watch until a stop is requested. Loads it again when the watch
  // has fallen too far behind.
  void run(const std::stop_token& stop);

  // Has the copy been complete once?
  bool is_loaded() const { return is_loaded_; }

  // Takes in all that has changed in the store up to this call. Returns whether the copy is proved
  // current as of the call.
  bool catch_up(base::Seconds timeout);

  // Commits and takes in the result. Returns whether it was certainly committed; after a conflict,
  // the keys in conflict are read again.
  bool commit(const protocol::Transaction& txn);

  // Reads those keys ahead of the watch, as far as their records stand for themselves.
  void refresh(const std::vector<std::string>& keys);

 private:
  bool load();
  bool list(const std::string& prefix, std::vector<protocol::Item>& items,
            base::Revision& revision);
  // Returns false if it came too late for a copy that was loaded again meanwhile.
  bool apply(const protocol::StateClient::Watched& changes);

  const DaemonContext context_;
  protocol::StateClient& state_;
  std::atomic<bool> is_loaded_{false};
};

}  // namespace saddleslip
