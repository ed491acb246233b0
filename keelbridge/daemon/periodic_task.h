// A duty: one job on a thread of its own, a detached CAF actor.
//
// A duty's step runs when its period is over and when somebody wakes it. Work
// reaches it through bounded rings; the actor's message is only the wake-up, of
// which at most one waits, because CAF's mailboxes are unbounded.
//
//   PeriodicTaskRunner host;
//   Duty* reader = host.Start("log_reader", absl::Milliseconds(500), [&] {
//   ReadLog(); }); reader->Wake();

#ifndef KEELBRIDGE_DAEMON_PERIODIC_TASK_H_
#define KEELBRIDGE_DAEMON_PERIODIC_TASK_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace keelbridge {

class PeriodicTask {
 public:
  virtual ~PeriodicTask() = default;
  // Runs the step soon. Thread-safe; does not wait.
  virtual void Wake() = 0;
};

// Owns the actor system and its duties.
class PeriodicTaskRunner {
 public:
  PeriodicTaskRunner();
  ~PeriodicTaskRunner();
  PeriodicTaskRunner(const PeriodicTaskRunner&) = delete;
  PeriodicTaskRunner& operator=(const PeriodicTaskRunner&) = delete;

  // The duty lives as long as the host. `step` never runs twice at a time.
  PeriodicTask* Start(const std::string& name, absl::Duration period,
                      std::function<void()> step);

  // Ends all duties after the steps that run now.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_PERIODIC_TASK_H_
