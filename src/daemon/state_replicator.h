// Replicates the contents of the state service into this process.
#pragma once

#include <atomic>
#include <stop_token>
#include <string>
#include <vector>

#include "daemon/shared_controller.h"
#include "protocol/clients.h"

namespace saddleslip {

// Loads the contents of the state service into the controller's cache, then applies the changes
// that the watch delivers and the commits of this process. run() needs a thread of its own; the
// other functions may be called from any thread.
class StateReplicator {
 public:
  StateReplicator(const DaemonContext& context, protocol::StateClient& state_client)
      : context_(context), state_client_(state_client) {}

  // Loads the local copy and follows the watch until a stop is requested. Reloads the copy if the
  // watch has fallen too far behind.
  void run(const std::stop_token& stop);

  // Returns whether the copy has been loaded completely at least once.
  bool is_loaded() const { return is_loaded_; }

  // Returns the time since changes were last read from the state service, also if there were none.
  base::Seconds time_since_read() const;

  // Reads and applies all changes in the state service up to this call. Returns whether the copy is
  // known to be current as of the call.
  bool catch_up(base::Seconds timeout);

  // Commits a transaction and applies it to the copy. Returns whether the commit is confirmed.
  // After a conflict, reads the conflicting keys again.
  bool commit(const protocol::Transaction& transaction);

  // Reads keys from the state service ahead of the watch and applies them to the copy. Skips keys
  // whose records imply earlier changes of other keys.
  void refresh(const std::vector<std::string>& keys);

 private:
  // Replaces the copy with the current contents of the state service. Returns false if the state
  // service did not answer.
  bool load();
  // Appends all items under the prefix, read page by page. Sets `revision` to the state service's
  // revision at the first page. Returns false if the state service did not answer.
  bool list_all(const std::string& prefix, std::vector<protocol::Item>& items,
                base::Revision& revision);
  // Applies changes that the state service delivered. Returns false if the copy was reloaded
  // meanwhile, which makes them useless.
  bool apply(const protocol::StateClient::WatchResult& changes);

  const DaemonContext context_;
  protocol::StateClient& state_client_;
  std::atomic<base::Time> last_read_at_{base::SteadyClock::now()};
  std::atomic<bool> is_loaded_{false};  // stays true while the copy is reloaded
};

}  // namespace saddleslip
