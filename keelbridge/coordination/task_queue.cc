#include "keelbridge/coordination/task_queue.h"

#include <algorithm>

namespace keelbridge {

int TaskQueue::RankOf(const TaskRow& row, int64_t now_ms) const {
  switch (row.work_class) {
    case WorkClass::kUrgent:
      return kUrgentRank;
    case WorkClass::kInteractive:
      return kInteractiveRank;
    default:
      break;
  }
  if (now_ms >= PromoteAt(row)) return kPromotedRank;
  return row.work_class == WorkClass::kStandard ? kStandardRank : kBulkRank;
}

int64_t TaskQueue::PromoteAt(const TaskRow& row) const {
  const int64_t by_age = row.submitted_ms + options_.promote_after_ms;
  if (row.latest_start_ms == kNever) return by_age;
  return std::min(by_age, row.latest_start_ms - options_.deadline_guard_ms);
}

TaskQueue::Key TaskQueue::KeyOf(TaskId id, const TaskRow& row) const {
  int64_t first = row.latest_start_ms;
  if (options_.largest_first && row.latest_start_ms == kNever) {
    // Behind every deadline, larger needs before smaller ones.
    first = kNever - row.need.cpu_milli - row.need.memory_mib;
  }
  return {first, row.sequence, id};
}

TaskQueue::Lines& TaskQueue::LinesOf(const TaskRow& row) {
  std::vector<Lines>& teams = ranks_[row.rank];
  if (teams.size() <= static_cast<size_t>(row.team)) teams.resize(row.team + 1);
  return teams[row.team];
}

void TaskQueue::Push(TaskId id, TaskRow& row, int64_t now_ms) {
  row.rank = static_cast<uint8_t>(RankOf(row, now_ms));
  row.state = TaskState::kWaiting;
  LinesOf(row)[row.shape].tasks.insert(KeyOf(id, row));
  if (row.rank > kPromotedRank) promotions_.emplace(PromoteAt(row), id);
  ++by_rank_[row.rank];
  ++size_;
}

void TaskQueue::Remove(TaskId id, const TaskRow& row) {
  Lines& lines = LinesOf(row);
  const auto it = lines.find(row.shape);
  if (it == lines.end() || it->second.tasks.erase(KeyOf(id, row)) == 0) return;
  if (it->second.tasks.empty()) lines.erase(it);
  promotions_.erase({PromoteAt(row), id});
  --by_rank_[row.rank];
  --size_;
}

void TaskQueue::Promote(TaskTable& tasks, int64_t now_ms, int most) {
  while (most-- > 0 && !promotions_.empty() &&
         promotions_.begin()->first <= now_ms) {
    const TaskId id = promotions_.begin()->second;
    Remove(id, tasks[id]);
    Push(id, tasks[id], now_ms);
  }
}

TaskId TaskQueue::Next(const std::vector<double>& shares) const {
  for (int rank = 0; rank < kRanks; ++rank) {
    if (by_rank_[rank] == 0) continue;
    TaskId best = kNoTask;
    double best_share = 0;
    Key best_key;
    for (size_t team = 0; team < ranks_[rank].size(); ++team) {
      if (best != kNoTask && shares[team] > best_share) continue;
      for (const auto& [shape, line] : ranks_[rank][team]) {
        if (line.blocked) continue;
        const Key& key = *line.tasks.begin();
        if (best != kNoTask && shares[team] == best_share && key >= best_key)
          continue;
        best = std::get<2>(key);
        best_share = shares[team];
        best_key = key;
      }
    }
    if (best != kNoTask) return best;
  }
  return kNoTask;
}

void TaskQueue::Block(const TaskRow& row) {
  Lines& lines = LinesOf(row);
  const auto it = lines.find(row.shape);
  if (it == lines.end()) return;
  it->second.blocked = true;
  blocked_.emplace_back(row.rank, row.team, row.shape);
}

void TaskQueue::Unblock() {
  for (const auto& [rank, team, shape] : blocked_) {
    const auto it = ranks_[rank][team].find(shape);
    if (it != ranks_[rank][team].end()) it->second.blocked = false;
  }
  blocked_.clear();
}

}  // namespace keelbridge
