// Waiting tasks in the order in which they should be tried.
//
// Rank first (urgent before interactive before promoted before standard before
// bulk), then the team with the smallest share for its quota, then the least
// slack, then the first come. A shape that found no room is blocked until room
// appears, so a full cell costs little.
//
//   queue.Push(id, row);
//   TaskQueue::Offer next = queue.Next(shares);
//   queue.Block(row, true);    // Nothing of this need fits now.
//   queue.Open(worker, free);  // Room appeared there: offered to blocked
//                              // shapes, without another look elsewhere.

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

// Ranks of the queue. Only `kUrgentRank` and `kInteractiveRank` may make others
// yield.
constexpr int kUrgentRank = 0;
constexpr int kInteractiveRank = 1;
constexpr int kPromotedRank = 2;  // A deadline is near, or it waited for long.
constexpr int kStandardRank = 3;
constexpr int kBulkRank = 4;
constexpr int kRanks = 5;

class TaskQueue {
 public:
  struct Options {
    bool largest_first = false;  // Among tasks without deadline, for packing.
    int64_t promote_after_ms =
        1800000;  // Waiting time after which a task of a low class is promoted.
    int64_t promotion_slack_ms =
        120000;  // Slack below which a task with a deadline is promoted.
  };

  explicit TaskQueue(Options options) : options_(options) {}

  void Push(TaskId id, TaskRow& row, int64_t now_ms);
  void Remove(TaskId id, const TaskRow& row);

  // Moves tasks whose time has come to the promoted rank. At most `most` in a
  // call.
  void Promote(TaskTable& tasks, int64_t now_ms, int max_promotions);

  // What to try next.
  struct Offer {
    TaskId task = kNoTask;  // `kNoTask`: all that wait are blocked.
    // Where room has appeared since its shape was blocked; empty: anywhere.
    std::vector<WorkerId> only;
  };
  // `shares` is the share of each team divided by its quota.
  Offer Next(const std::vector<double>& shares) const;

  // No task with this rank, team and shape is offered again before room
  // appears. `waits_for_capacity`: room on a worker is all that it waits for,
  // so that only workers with new room need to be looked at.
  void Block(const TaskRow& row, bool waits_for_capacity);
  // Room appeared on `worker`, which now has `free`.
  void AddFreedCapacity(WorkerId worker, const Resources& free);
  // Everything is offered again, anywhere.
  void UnblockAll();
  // Every line that waits has seen the openings (`Next` offers nothing).
  void ClearFreedCapacity();

  size_t size() const { return size_; }
  size_t WaitingInRank(int rank) const { return waiting_by_rank_[rank]; }

 private:
  using Key = std::tuple<int64_t, int32_t,
                         TaskId>;  // Latest start (or size), sequence, task.
  struct ShapeQueue {
    absl::btree_set<Key> tasks;
    Resources need;
    bool blocked = false;
    bool waits_for_capacity = false;
    size_t freed_seen = 0;  // Openings that were there when it was blocked.
  };
  struct FreedCapacity {
    WorkerId worker = kNoWorker;
    Resources free;
  };
  using ShapeQueues = absl::btree_map<int32_t, ShapeQueue>;  // By shape.

  Key KeyOf(TaskId id, const TaskRow& row) const;
  int RankOf(const TaskRow& row, int64_t now_ms) const;
  int64_t PromotionTime(const TaskRow& row) const;
  ShapeQueues& QueuesOf(const TaskRow& row);
  bool IsEligible(const ShapeQueue& queue) const;

  const Options options_;
  std::array<std::vector<ShapeQueues>, kRanks> ranks_;  // By team.
  std::array<size_t, kRanks> waiting_by_rank_{};
  absl::btree_set<std::pair<int64_t, TaskId>> promotions_;
  // Since the last `UnblockAll`, or since every line had seen them all.
  std::vector<FreedCapacity> freed_;
  size_t size_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_TASK_QUEUE_H_
