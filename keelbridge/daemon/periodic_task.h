// A periodic task with its own thread, implemented as a detached CAF actor.
//
// A task's step runs once per period and whenever the task is woken. Data
// reaches it through bounded queues; the actor receives only wake-up messages,
// at most one of which is pending, because CAF's mailboxes are unbounded.
//
//   PeriodicTaskRunner runner;
//   PeriodicTask* reader =
//       runner.Start("log_reader", absl::Milliseconds(500), [&] { Read(); });
//   reader->Wake();

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
  // Requests a run of the step. Thread-safe; does not block.
  virtual void Wake() = 0;
};

// Owns the actor system and its tasks.
class PeriodicTaskRunner {
 public:
  PeriodicTaskRunner();
  ~PeriodicTaskRunner();
  PeriodicTaskRunner(const PeriodicTaskRunner&) = delete;
  PeriodicTaskRunner& operator=(const PeriodicTaskRunner&) = delete;

  // Starts a task, which remains valid until this runner is stopped or
  // destroyed. Calls of `step` never overlap.
  PeriodicTask* Start(const std::string& name, absl::Duration period,
                      std::function<void()> step);

  // Stops all tasks after their current steps.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_PERIODIC_TASK_H_
