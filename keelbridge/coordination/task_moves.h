// Tasks that are being moved from one worker to another: the run on the first
// one is told to stop, and meanwhile capacity is set aside on the second one.
//
// A move is over once its task runs again, once nothing is left to move, or if
// the stop takes too long. TaskMoves performs no I/O and reads no clock.
//
//   TaskMoves moves;
//   moves.Begin(task, {run, "to", now + kMaxMoveTime});
//   moves.KeepIf([&](const TaskId& id, const TaskMove& move) {
//     return HoldCapacity(id, move);
//   });

#ifndef KEELBRIDGE_COORDINATION_TASK_MOVES_H_
#define KEELBRIDGE_COORDINATION_TASK_MOVES_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "absl/functional/function_ref.h"
#include "absl/time/time.h"
#include "keelbridge/protocol/job.h"

namespace keelbridge {

struct TaskMove {
  int32_t run = 0;   // The run that was told to stop.
  std::string to;    // The id of the worker with the capacity.
  absl::Time until;  // The capacity is held until then at most. Steady clock.
};

class TaskMoves {
 public:
  void Begin(const TaskId& task, TaskMove move) {
    moves_[task] = std::move(move);
  }
  bool IsMoving(const TaskId& task, int32_t run) const;
  // Returns how many tasks of the step that `task` belongs to move to the
  // worker.
  int32_t CountMovesTo(const std::string& worker, const TaskId& task) const;
  // Calls `keep` for each move, and drops those for which it returns false.
  void KeepIf(absl::FunctionRef<bool(const TaskId&, const TaskMove&)> keep);

 private:
  std::map<TaskId, TaskMove> moves_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_TASK_MOVES_H_
