// A priority queue of waiting tasks.
//
// Tasks are ordered by rank (urgent, interactive, promoted, standard, bulk),
// then by their team's share relative to its quota (smallest first), then by
// slack (least first), then by submission. If no worker has capacity for a
// shape, which is a class of tasks with equal needs, the shape is blocked until
// capacity is freed. A full cell thus costs little.
//
// A caller that tries a limited number of tasks at a time may stop before it
// has tried all. Its next calls then go on with the tasks that were not tried
// yet, rather than with those that were just tried in vain.
//
//   queue.Push(id, row, now_ms);
//   queue.BeginCall(/*goes_on=*/false);
//   TaskQueue::Offer next = queue.Next(shares);
//   // No worker has capacity for this need now.
//   queue.Block(row, true);
//   // Offers the worker to blocked shapes; no other worker is examined.
//   queue.AddFreedCapacity(worker, free);

#ifndef KEELBRIDGE_COORDINATION_TASK_QUEUE_H_
#define KEELBRIDGE_COORDINATION_TASK_QUEUE_H_

#include <array>
#include <cstdint>
#include <tuple>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "keelbridge/coordination/task_table.h"

namespace keelbridge {

// Ranks of the queue, in the order in which they are served. Urgent and
// interactive tasks may preempt others by their rank. Tasks down to
// `kStandardRank` may also do so to reclaim their team's quota.
constexpr int kUrgentRank = 0;
constexpr int kInteractiveRank = 1;
// Standard and bulk tasks whose deadline is near or that have waited long.
constexpr int kPromotedRank = 2;
constexpr int kStandardRank = 3;
constexpr int kBulkRank = 4;
constexpr int kRanks = 5;

class TaskQueue {
 public:
  struct Options {
    // Serve larger tasks first among those without a deadline, for packing.
    bool largest_first = false;
    // Waiting time after which a standard or bulk task is promoted.
    int64_t promote_after_ms = 1800000;
    // Slack below which a standard or bulk task with a deadline is promoted.
    int64_t promotion_slack_ms = 120000;
  };

  explicit TaskQueue(Options options) : options_(options) {}

  void Push(TaskHandle id, TaskRow& row, int64_t now_ms);
  void Remove(TaskHandle id, const TaskRow& row);

  // Moves tasks whose promotion time has come to the promoted rank, at most
  // `max_promotions` per call.
  void Promote(TaskTable& tasks, int64_t now_ms, int max_promotions);

  // The task to try next.
  struct Offer {
    // `kNoTask` if all waiting tasks are blocked.
    TaskHandle task = kNoTask;
    // Workers on which capacity was freed since the task's shape was blocked.
    // If empty, any worker may be tried.
    std::vector<WorkerId> candidate_workers;
  };
  // Begins a series of calls of `Next`. `goes_on`: the series before ended
  // while there were tasks to try.
  void BeginCall(bool goes_on);
  // Returns the task to try next. `shares` is each team's share divided by its
  // quota.
  Offer Next(const std::vector<double>& shares);

  // Offers no task of this rank, team and shape again before capacity is freed.
  // `waits_for_capacity` means that the tasks wait only for capacity on a
  // worker, so that only workers with freed capacity have to be examined.
  void Block(const TaskRow& row, bool waits_for_capacity);
  // Records that capacity was freed on `worker`, which now has `free`.
  void AddFreedCapacity(WorkerId worker, const Resources& free);
  // Offers all tasks again, for any worker.
  void UnblockAll();
  // Forgets the freed capacity. To be called when `Next` offers nothing, which
  // means that every waiting shape has been tried on it.
  void ClearFreedCapacity();

  size_t size() const { return size_; }
  size_t WaitingInRank(int rank) const { return waiting_by_rank_[rank]; }

 private:
  // Latest start (or size), sequence number, task.
  using Key = std::tuple<int64_t, int32_t, TaskHandle>;
  struct ShapeQueue {
    absl::btree_set<Key> tasks;
    Resources need;
    bool blocked = false;
    bool waits_for_capacity = false;
    // Size of `freed_` when the shape was blocked.
    size_t freed_seen = 0;
    int64_t blocked_in_call = 0;  // See `call_`.
  };
  struct FreedCapacity {
    WorkerId worker = kNoWorker;
    Resources free;
  };
  using ShapeQueues = absl::btree_map<int32_t, ShapeQueue>;  // Keyed by shape.

  Key KeyOf(TaskHandle id, const TaskRow& row) const;
  int RankOf(const TaskRow& row, int64_t now_ms) const;
  int64_t PromotionTime(const TaskRow& row) const;
  ShapeQueues& QueuesOf(const TaskRow& row);
  bool IsEligible(const ShapeQueue& queue) const;
  // As `Next`, without those that the calls before have tried in this round.
  Offer NextInRound(const std::vector<double>& shares) const;

  const Options options_;
  // Indexed by rank, then by team.
  std::array<std::vector<ShapeQueues>, kRanks> ranks_;
  std::array<size_t, kRanks> waiting_by_rank_{};
  absl::btree_set<std::pair<int64_t, TaskHandle>> promotions_;
  // Capacity freed since the last `UnblockAll` or `ClearFreedCapacity`.
  std::vector<FreedCapacity> freed_;
  size_t size_ = 0;
  // The number of the present call, and of the first one in which a task was
  // tried that need not be tried again before all others were.
  int64_t call_ = 0;
  int64_t round_begin_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_TASK_QUEUE_H_
