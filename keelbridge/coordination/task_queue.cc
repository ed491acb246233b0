#include "keelbridge/coordination/task_queue.h"

#include <algorithm>

namespace keelbridge {
namespace {

// With more entries than this, it is cheaper to examine the whole cell.
constexpr size_t kMaxFreedEntries = 64;

}  // namespace

int TaskQueue::RankOf(const TaskRow& row, int64_t now_ms) const {
  switch (row.work_class) {
    case WorkClass::kUrgent:
      return kUrgentRank;
    case WorkClass::kInteractive:
      return kInteractiveRank;
    default:
      break;
  }
  if (now_ms >= PromotionTime(row)) return kPromotedRank;
  return row.work_class == WorkClass::kStandard ? kStandardRank : kBulkRank;
}

int64_t TaskQueue::PromotionTime(const TaskRow& row) const {
  const int64_t by_age = row.submitted_ms + options_.promote_after_ms;
  if (row.latest_start_ms == kNever) return by_age;
  return std::min(by_age, row.latest_start_ms - options_.promotion_slack_ms);
}

TaskQueue::Key TaskQueue::KeyOf(TaskHandle id, const TaskRow& row) const {
  int64_t first = row.latest_start_ms;
  if (options_.largest_first && row.latest_start_ms == kNever) {
    // Tasks without a deadline come after all tasks with one, and larger tasks
    // before smaller ones.
    first = kNever - row.need.cpu_milli - row.need.memory_mib;
  }
  return {first, row.sequence, id};
}

TaskQueue::ShapeQueues& TaskQueue::QueuesOf(const TaskRow& row) {
  std::vector<ShapeQueues>& teams = ranks_[row.rank];
  if (teams.size() <= static_cast<size_t>(row.team)) teams.resize(row.team + 1);
  return teams[row.team];
}

void TaskQueue::Push(TaskHandle id, TaskRow& row, int64_t now_ms) {
  row.rank = static_cast<uint8_t>(RankOf(row, now_ms));
  row.state = TaskState::kWaiting;
  ShapeQueue& queue = QueuesOf(row)[row.shape];
  queue.need = row.need;
  queue.tasks.insert(KeyOf(id, row));
  if (row.rank > kPromotedRank) promotions_.emplace(PromotionTime(row), id);
  ++waiting_by_rank_[row.rank];
  ++size_;
}

void TaskQueue::Remove(TaskHandle id, const TaskRow& row) {
  ShapeQueues& queues = QueuesOf(row);
  const auto it = queues.find(row.shape);
  if (it == queues.end() || it->second.tasks.erase(KeyOf(id, row)) == 0) return;
  if (it->second.tasks.empty()) queues.erase(it);
  promotions_.erase({PromotionTime(row), id});
  --waiting_by_rank_[row.rank];
  --size_;
}

void TaskQueue::Promote(TaskTable& tasks, int64_t now_ms, int max_promotions) {
  while (max_promotions-- > 0 && !promotions_.empty() &&
         promotions_.begin()->first <= now_ms) {
    const TaskHandle id = promotions_.begin()->second;
    Remove(id, tasks[id]);
    Push(id, tasks[id], now_ms);
  }
}

bool TaskQueue::IsEligible(const ShapeQueue& queue) const {
  if (!queue.blocked) return true;
  if (!queue.waits_for_capacity) {
    const bool tried_before =
        round_begin_ <= queue.blocked_in_call && queue.blocked_in_call < call_;
    return !tried_before && queue.freed_seen < freed_.size();
  }
  for (size_t i = queue.freed_seen; i < freed_.size(); ++i) {
    if (queue.need.FitsIn(freed_[i].free)) return true;
  }
  return false;
}

void TaskQueue::BeginCall(bool goes_on) {
  ++call_;
  if (!goes_on) round_begin_ = call_;
}

TaskQueue::Offer TaskQueue::Next(const std::vector<double>& shares) {
  const Offer offer = NextInRound(shares);
  if (offer.task != kNoTask || round_begin_ == call_) return offer;
  round_begin_ = call_;
  return NextInRound(shares);
}

TaskQueue::Offer TaskQueue::NextInRound(
    const std::vector<double>& shares) const {
  Offer offer;
  const ShapeQueue* best = nullptr;
  double best_share = 0;
  for (int rank = 0; rank < kRanks && best == nullptr; ++rank) {
    if (waiting_by_rank_[rank] == 0) continue;
    for (size_t team = 0; team < ranks_[rank].size(); ++team) {
      if (best != nullptr && shares[team] > best_share) continue;
      for (const auto& [shape, queue] : ranks_[rank][team]) {
        const bool behind = best != nullptr && shares[team] == best_share &&
                            *queue.tasks.begin() >= *best->tasks.begin();
        if (behind || !IsEligible(queue)) continue;
        best = &queue;
        best_share = shares[team];
      }
    }
  }
  if (best == nullptr) return offer;
  offer.task = std::get<2>(*best->tasks.begin());
  if (!best->blocked || !best->waits_for_capacity) return offer;
  for (size_t i = best->freed_seen; i < freed_.size(); ++i) {
    if (best->need.FitsIn(freed_[i].free)) {
      offer.candidate_workers.push_back(freed_[i].worker);
    }
  }
  return offer;
}

void TaskQueue::Block(const TaskRow& row, bool waits_for_capacity) {
  ShapeQueues& queues = QueuesOf(row);
  const auto it = queues.find(row.shape);
  if (it == queues.end()) return;
  it->second.blocked = true;
  it->second.waits_for_capacity = waits_for_capacity;
  it->second.freed_seen = freed_.size();
  it->second.blocked_in_call = call_;
}

void TaskQueue::AddFreedCapacity(WorkerId worker, const Resources& free) {
  freed_.push_back({worker, free});
  if (freed_.size() > kMaxFreedEntries) UnblockAll();
}

void TaskQueue::UnblockAll() {
  for (auto& teams : ranks_) {
    for (ShapeQueues& queues : teams) {
      for (auto& [shape, queue] : queues) queue.blocked = false;
    }
  }
  freed_.clear();
}

void TaskQueue::ClearFreedCapacity() {
  for (auto& teams : ranks_) {
    for (ShapeQueues& queues : teams) {
      for (auto& [shape, queue] : queues) queue.freed_seen = 0;
    }
  }
  freed_.clear();
}

}  // namespace keelbridge
