// The tasks of a zone as the decision core sees them, in compact rows. The row
// of a removed task is reused.
//
//   TaskHandle id = table.Add(row);
//   table[id].state = TaskState::kPlaced;

#ifndef KEELBRIDGE_COORDINATION_TASK_TABLE_H_
#define KEELBRIDGE_COORDINATION_TASK_TABLE_H_

#include <cstdint>
#include <vector>

#include "keelbridge/coordination/decision.h"
#include "keelbridge/protocol/intent.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

enum class TaskState : uint8_t {
  kGone,                // The row is free.
  kWaiting,             // In the queue.
  kPlaced,              // Capacity is allocated on `worker`.
  kBeingPreempted,      // Placed, and asked to stop for another task.
  kAwaitingPreemption,  // Waits for the victims on `worker` to stop.
};

constexpr int64_t kNever = INT64_MAX;

// Times are in milliseconds of the monotonic clock.
struct TaskRow {
  Resources need;
  // Number shared by the tasks of one intent, for spreading them over racks; -1
  // for none.
  int32_t group = -1;
  // Number shared by tasks with equal needs.
  int32_t shape = -1;
  int32_t sequence = 0;
  int16_t team = 0;
  WorkClass work_class = WorkClass::kStandard;
  TaskState state = TaskState::kGone;
  uint8_t rank = 0;       // Rank in the queue.
  uint8_t preempted = 0;  // Number of times it was preempted.
  bool checkpoints = false;
  bool spread = false;
  bool service = false;
  bool non_preemptible = false;
  WorkerId worker = kNoWorker;
  int64_t submitted_ms = 0;
  int64_t started_ms = 0;
  // Estimated remaining duration; 0 for a service.
  int64_t duration_ms = 0;
  // Estimated remaining duration plus the estimation error, which reservations
  // use.
  int64_t max_duration_ms = kNever;
  int64_t latest_start_ms = kNever;
  int64_t saved_progress_ms = 0;  // Progress saved by a checkpoint.
};

class TaskTable {
 public:
  TaskHandle Add(const TaskRow& row) {
    if (free_.empty()) {
      rows_.push_back(row);
      return static_cast<TaskHandle>(rows_.size() - 1);
    }
    const TaskHandle id = free_.back();
    free_.pop_back();
    rows_[id] = row;
    return id;
  }
  void Remove(TaskHandle id) {
    rows_[id].state = TaskState::kGone;
    free_.push_back(id);
  }
  TaskRow& operator[](TaskHandle id) { return rows_[id]; }
  const TaskRow& operator[](TaskHandle id) const { return rows_[id]; }
  size_t capacity() const { return rows_.size(); }
  size_t live() const { return rows_.size() - free_.size(); }

 private:
  std::vector<TaskRow> rows_;
  std::vector<TaskHandle> free_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_TASK_TABLE_H_
