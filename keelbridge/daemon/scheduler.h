// The scheduler of an entry host: runs a `ZoneScheduler` against the real log
// and workers.
//
//   Result<std::unique_ptr<Scheduler>> scheduler = Scheduler::Start(settings);
//   ... until a signal ...
//   scheduler.value()->Drain();

#ifndef KEELBRIDGE_DAEMON_SCHEDULER_H_
#define KEELBRIDGE_DAEMON_SCHEDULER_H_

#include <memory>

#include "keelbridge/base/result.h"
#include "keelbridge/daemon/settings.h"

namespace keelbridge {

class Scheduler {
 public:
  // Starts serving before it returns. Does not wait for the log or a
  // configuration; `/readyz` reports whether a configuration is in force.
  static Result<std::unique_ptr<Scheduler>> Start(const Settings& settings);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  int port() const;
  // Stops the scheduler as planned: releases leadership, waits for the queued
  // entries to reach the log, then returns.
  void Drain();

 private:
  class Impl;
  explicit Scheduler(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_SCHEDULER_H_
