#include "keelbridge/coordination/task_queue.h"

#include <algorithm>

namespace keelbridge {
namespace {

// With more openings than this it is cheaper to look at the whole cell.
constexpr size_t kMostOpenings = 64;

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
  Line& line = LinesOf(row)[row.shape];
  line.need = row.need;
  line.tasks.insert(KeyOf(id, row));
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

bool TaskQueue::Offered(const Line& line) const {
  if (!line.blocked) return true;
  if (!line.fits_by_room) return line.seen < openings_.size();
  for (size_t i = line.seen; i < openings_.size(); ++i) {
    if (line.need.FitsIn(openings_[i].free)) return true;
  }
  return false;
}

TaskQueue::Offer TaskQueue::Next(const std::vector<double>& shares) const {
  Offer offer;
  const Line* best = nullptr;
  double best_share = 0;
  for (int rank = 0; rank < kRanks && best == nullptr; ++rank) {
    if (by_rank_[rank] == 0) continue;
    for (size_t team = 0; team < ranks_[rank].size(); ++team) {
      if (best != nullptr && shares[team] > best_share) continue;
      for (const auto& [shape, line] : ranks_[rank][team]) {
        const bool behind = best != nullptr && shares[team] == best_share &&
                            *line.tasks.begin() >= *best->tasks.begin();
        if (behind || !Offered(line)) continue;
        best = &line;
        best_share = shares[team];
      }
    }
  }
  if (best == nullptr) return offer;
  offer.task = std::get<2>(*best->tasks.begin());
  if (!best->blocked || !best->fits_by_room) return offer;
  for (size_t i = best->seen; i < openings_.size(); ++i) {
    if (best->need.FitsIn(openings_[i].free)) {
      offer.only.push_back(openings_[i].worker);
    }
  }
  return offer;
}

void TaskQueue::Block(const TaskRow& row, bool fits_by_room) {
  Lines& lines = LinesOf(row);
  const auto it = lines.find(row.shape);
  if (it == lines.end()) return;
  it->second.blocked = true;
  it->second.fits_by_room = fits_by_room;
  it->second.seen = openings_.size();
}

void TaskQueue::Open(WorkerId worker, const Resources& free) {
  openings_.push_back({worker, free});
  if (openings_.size() > kMostOpenings) UnblockAll();
}

void TaskQueue::UnblockAll() {
  for (auto& teams : ranks_) {
    for (Lines& lines : teams) {
      for (auto& [shape, line] : lines) line.blocked = false;
    }
  }
  openings_.clear();
}

void TaskQueue::ForgetOpenings() {
  for (auto& teams : ranks_) {
    for (Lines& lines : teams) {
      for (auto& [shape, line] : lines) line.seen = 0;
    }
  }
  openings_.clear();
}

}  // namespace keelbridge
