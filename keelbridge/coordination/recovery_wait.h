// What the tasks wait for that a new leader has recovered and not observed.
//
//   UnobservedTasks unobserved = FindUnobserved(now);
//   if (unobserved.any_task || unobserved.tasks.count(task) > 0) Wait();

#ifndef KEELBRIDGE_COORDINATION_RECOVERY_WAIT_H_
#define KEELBRIDGE_COORDINATION_RECOVERY_WAIT_H_

#include <cstdint>
#include <set>

#include "keelbridge/protocol/job.h"

namespace keelbridge {

// The tasks that workers may run which the leader has not reached, and which
// may still have a lease of an earlier leader.
struct UnobservedTasks {
  // One of the workers has no record of the tasks that it may run.
  bool any_task = false;
  std::set<TaskId> tasks;  // Those that the records of the others name.

  bool Any() const { return any_task || !tasks.empty(); }
};

// The recovered tasks that wait for such workers.
struct RecoveryWait {
  int64_t tasks = 0;
  TaskId first;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_RECOVERY_WAIT_H_
