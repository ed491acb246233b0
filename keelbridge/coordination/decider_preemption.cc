// The part of `Decider` that makes room: what yields, and what is kept free for
// work that has to wait.

#include <algorithm>
#include <utility>

#include "keelbridge/coordination/decider.h"

namespace keelbridge {
namespace {

constexpr double kMillisPerSecond = 1000;

}  // namespace

// Yields. Urgent and interactive work, and work of a team below its quota,
// makes others yield. What has yielded once never makes others yield, so that a
// yield cannot cause another; services never yield to anything but a reclaim.

bool Decider::MayMakeOthersYield(const TaskRow& row) const {
  if (row.rank == kUrgentRank) return true;
  if (row.yields > 0) return false;
  if (row.rank == kInteractiveRank && options_.interactive_yields) return true;
  return options_.reclaim && row.rank <= kStandardRank && shares_[row.team] < 1;
}

bool Decider::MayYieldTo(const TaskRow& victim, const TaskRow& row) const {
  if (victim.state != TaskState::kPlaced || victim.pinned) return false;
  if (row.rank == kUrgentRank) {
    const bool small = victim.work_class == WorkClass::kInteractive;
    return victim.work_class >= WorkClass::kStandard ||
           (small && !victim.service);
  }
  if (victim.work_class < WorkClass::kStandard) return false;
  if (row.rank == kInteractiveRank && options_.interactive_yields) return true;
  return victim.team != row.team && shares_[victim.team] > 1;
}

double Decider::YieldCost(const TaskRow& victim, int64_t now_ms) const {
  const double ran_s =
      static_cast<double>(std::max<int64_t>(0, now_ms - victim.started_ms)) /
      kMillisPerSecond;
  const double lost_s = victim.checkpoints || victim.service ? 0 : ran_s;
  const double dear =
      victim.work_class < WorkClass::kStandard ? options_.interactive_cost : 1;
  return (lost_s + options_.yield_touch_s) * dear *
         (1 + options_.repeat_factor * victim.yields);
}

VictimSet Decider::VictimsOn(WorkerId worker, const TaskRow& row,
                             bool sheltered_too, int64_t now_ms) const {
  std::vector<VictimCandidate> candidates;
  Resources room = Room(worker);
  for (const TaskId id : on_worker_[worker]) {
    const TaskRow& victim = tasks_[id];
    if (!MayYieldTo(victim, row)) continue;
    if (!sheltered_too && now_ms - victim.started_ms < options_.shelter_ms)
      continue;
    candidates.push_back({id, victim.need, YieldCost(victim, now_ms)});
    room += victim.need;
  }
  if (!row.need.FitsIn(room)) return {};
  return FindVictims(std::move(candidates), Shortfall(row.need, Room(worker)));
}

bool Decider::MakeRoom(TaskId id, int64_t now_ms, std::vector<Order>& orders) {
  TaskRow& row = tasks_[id];
  VictimSet best;
  WorkerId best_worker = kNoWorker;
  const auto workers = static_cast<WorkerId>(cell_.size());
  for (const bool sheltered_too : {false, true}) {
    int weighed = 0;
    for (WorkerId i = 0; i < workers && weighed < options_.victim_workers;
         ++i) {
      const auto worker = static_cast<WorkerId>(
          (static_cast<uint32_t>(row.sequence) * 40503U + i) % workers);
      if (!cell_.Schedulable(worker) || !row.need.FitsIn(cell_.Total(worker)) ||
          BreaksSpread(row, worker))
        continue;
      const auto busy = std::count_if(yields_.begin(), yields_.end(),
                                      [worker](const YieldInProgress& yield) {
                                        return yield.worker == worker;
                                      });
      if (busy >= options_.yields_a_worker) continue;
      VictimSet set = VictimsOn(worker, row, sheltered_too, now_ms);
      if (!set.found) continue;
      ++weighed;
      if (best_worker != kNoWorker && set.cost >= best.cost) continue;
      best = std::move(set);
      best_worker = worker;
    }
    if (best_worker != kNoWorker) break;
  }
  if (best_worker == kNoWorker) return false;

  queue_.Remove(id, row);
  DropReservation(id);
  row.state = TaskState::kHeld;
  row.worker = best_worker;
  Charge(row, 1);
  yields_.push_back({id, best_worker, row.need, best.tasks});
  RefreshHeld(best_worker);
  for (const TaskId victim : best.tasks) {
    tasks_[victim].state = TaskState::kYielding;
    Charge(tasks_[victim], -1);
    if (tasks_[victim].yields < UINT8_MAX) ++tasks_[victim].yields;
    orders.push_back({Order::Kind::kYield, victim, best_worker,
                      tasks_[victim].checkpoints, id});
  }
  counts_.yields += static_cast<int64_t>(best.tasks.size());
  counts_.yield_cost_s += best.cost;
  Decision record;
  record.task = id;
  record.at_ms = now_ms;
  record.rule = Rule::kWaitsForYield;
  record.worker = best_worker;
  record.yielded = static_cast<int16_t>(best.tasks.size());
  record.yield_cost_s = static_cast<float>(best.cost);
  Record(record);
  return true;
}

// Reservations: room is kept for large work that fits nowhere, and smaller work
// fills the time before it as long as it ends before, or fits beside it.

int64_t Decider::RoomAt(WorkerId worker, const Resources& need, int64_t now_ms,
                        Resources* spare) const {
  std::vector<std::pair<int64_t, Resources>> ends;
  for (const TaskId id : on_worker_[worker]) {
    const TaskRow& row = tasks_[id];
    if (!row.service)
      ends.emplace_back(std::max(now_ms + 1, row.started_ms + row.longest_ms),
                        row.need);
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  Resources room = cell_.Free(worker);
  int64_t at = now_ms;
  for (size_t i = 0; i < ends.size() && !need.FitsIn(room); ++i) {
    room += ends[i].second;
    at = ends[i].first;
  }
  if (!need.FitsIn(room)) return kNever;
  *spare = room - need;
  return at;
}

void Decider::Reserve(TaskId id, int64_t now_ms) {
  const TaskRow& row = tasks_[id];
  DropReservation(id);
  if (reservations_.size() >= static_cast<size_t>(options_.most_reservations) ||
      row.rank == kBulkRank)
    return;
  Reservation best;
  best.start_ms = kNever;
  const auto workers = static_cast<WorkerId>(cell_.size());
  int weighed = 0;
  for (WorkerId i = 0; i < workers && weighed < options_.victim_workers; ++i) {
    const auto worker = static_cast<WorkerId>(
        (static_cast<uint32_t>(row.sequence) * 40503U + i) % workers);
    if (!cell_.Schedulable(worker) || !row.need.FitsIn(cell_.Total(worker)) ||
        BreaksSpread(row, worker))
      continue;
    const bool taken = std::any_of(
        reservations_.begin(), reservations_.end(),
        [worker](const Reservation& other) { return other.worker == worker; });
    if (taken) continue;
    ++weighed;
    Resources spare;
    const int64_t at = RoomAt(worker, row.need, now_ms, &spare);
    if (at < best.start_ms) best = {id, worker, at, spare};
  }
  if (best.worker != kNoWorker) reservations_.push_back(best);
}

void Decider::DropReservation(TaskId id) {
  const auto it = std::find_if(
      reservations_.begin(), reservations_.end(),
      [id](const Reservation& reservation) { return reservation.task == id; });
  if (it == reservations_.end()) return;
  const WorkerId worker = it->worker;
  reservations_.erase(it);
  RoomAppeared(worker);
}

}  // namespace keelbridge
