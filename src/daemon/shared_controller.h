// The controller's decisions, shared between the daemon's threads.
#pragma once

#include <mutex>

#include "base/settings.h"
#include "coordination/controller.h"
#include "daemon/wakeup_event.h"

namespace saddleslip {

// Guards the Controller, and all that it owns, by one mutex.
//
// Order of mutexes: this one is the innermost. No other mutex is taken and no call to another
// process is made while it is held.
class SharedController {
 public:
  // The settings must outlive it.
  explicit SharedController(const base::Settings& settings) : controller_(settings) {}
  ~SharedController() = default;
  SharedController(const SharedController&) = delete;
  SharedController& operator=(const SharedController&) = delete;

  // Calls f(Controller&) with the mutex held, and returns its result by value. f must not keep a
  // reference to the controller or to anything in it.
  template <class F>
  auto locked(F f) {
    const std::lock_guard lock(mutex_);
    return f(controller_);
  }

  // For UserApi, which takes the mutex itself whenever it uses the controller.
  std::mutex& mutex() { return mutex_; }
  coordination::Controller& controller() { return controller_; }

 private:
  std::mutex mutex_;
  coordination::Controller controller_;  // guarded by mutex_
};

// What all loops and routes of the daemon use. Daemon owns it and outlives them.
struct DaemonContext {
  const base::Settings& settings;
  SharedController& controller;
  LoopWakeups& wakeups;
};

}  // namespace saddleslip
