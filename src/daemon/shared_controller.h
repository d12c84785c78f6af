// The controller, shared between the daemon's threads.
#pragma once

#include "base/monitored_mutex.h"
#include "base/settings.h"
#include "coordination/controller.h"
#include "daemon/wakeup_event.h"

namespace saddleslip {

// Guards a Controller and everything that it owns with one mutex.
//
// Lock order: this mutex is the innermost. While it is held, no other mutex is locked and no
// call to another process is made.
class SharedController {
 public:
  // The settings must outlive this object.
  explicit SharedController(const base::Settings& settings) : controller_(settings) {}
  ~SharedController() = default;
  SharedController(const SharedController&) = delete;
  SharedController& operator=(const SharedController&) = delete;

  // Calls function(Controller&) with the mutex locked and returns its result by value. The
  // function must not keep a reference to the controller or to anything in it. The time of the call
  // is recorded for `caller`.
  template <class F>
  auto with_lock(F function, const base::CallSite& caller = base::CallSite::current()) {
    const base::MonitoredLock lock(mutex_, caller);
    return function(controller_);
  }

  // Unguarded access for UserApi, which locks the mutex itself whenever it uses the controller.
  base::MonitoredMutex& mutex() { return mutex_; }
  coordination::Controller& controller() { return controller_; }

 private:
  base::MonitoredMutex mutex_;
  coordination::Controller controller_;  // guarded by mutex_
};

// References that all loops and request handlers of the daemon share. Daemon owns the objects,
// which outlive the loops and handlers.
struct DaemonContext {
  const base::Settings& settings;
  SharedController& controller;
  LoopWakeups& wakeups;
};

}  // namespace saddleslip
