// The part of `Decider` that implements preemption, and the reservation of
// capacity for tasks that have to wait.

#include <algorithm>
#include <utility>

#include "keelbridge/coordination/decider.h"

namespace keelbridge {
namespace {

constexpr double kMillisPerSecond = 1000;

}  // namespace

// Preemption. Urgent and interactive tasks, and tasks of a team below its
// quota, may preempt others. A task that was preempted never preempts unless it
// is urgent, so that preemptions do not cascade. Urgent tasks and interactive
// services are never preempted.

bool Decider::MayPreempt(const TaskRow& row) const {
  if (row.rank == kUrgentRank) return true;
  if (row.preempted > 0) return false;
  if (row.rank == kInteractiveRank && options_.interactive_preempts)
    return true;
  return options_.reclaim && row.rank <= kStandardRank && shares_[row.team] < 1;
}

bool Decider::IsPreemptibleBy(const TaskRow& victim, const TaskRow& row) const {
  if (victim.state != TaskState::kPlaced || victim.non_preemptible)
    return false;
  if (row.rank == kUrgentRank) {
    const bool interactive = victim.work_class == WorkClass::kInteractive;
    return victim.work_class >= WorkClass::kStandard ||
           (interactive && !victim.service);
  }
  if (victim.work_class < WorkClass::kStandard) return false;
  if (row.rank == kInteractiveRank && options_.interactive_preempts)
    return true;
  return victim.team != row.team && shares_[victim.team] > 1;
}

double Decider::PreemptionCost(const TaskRow& victim, int64_t now_ms) const {
  const double ran_s =
      static_cast<double>(std::max<int64_t>(0, now_ms - victim.started_ms)) /
      kMillisPerSecond;
  const double lost_s = victim.checkpoints || victim.service ? 0 : ran_s;
  const double cost_factor = victim.work_class < WorkClass::kStandard
                                 ? options_.interactive_cost_factor
                                 : 1;
  return (lost_s + options_.preemption_base_cost_s) * cost_factor *
         (1 + options_.repeat_preemption_factor * victim.preempted);
}

VictimSet Decider::FindVictimsOn(WorkerId worker, const TaskRow& row,
                                 bool include_protected, int64_t now_ms) const {
  std::vector<VictimCandidate> candidates;
  Resources capacity = UnreservedCapacity(worker);
  for (const TaskHandle id : on_worker_[worker]) {
    const TaskRow& victim = tasks_[id];
    if (!IsPreemptibleBy(victim, row)) continue;
    if (!include_protected &&
        now_ms - victim.started_ms < options_.preemption_protection_ms)
      continue;
    candidates.push_back({id, victim.need, PreemptionCost(victim, now_ms)});
    capacity += victim.need;
  }
  if (!row.need.FitsIn(capacity)) return {};
  return FindVictims(std::move(candidates),
                     Shortfall(row.need, UnreservedCapacity(worker)));
}

bool Decider::PreemptFor(TaskHandle id, int64_t now_ms,
                         std::vector<Order>& orders) {
  TaskRow& row = tasks_[id];
  VictimSet best;
  WorkerId best_worker = kNoWorker;
  const auto workers = static_cast<WorkerId>(cell_.size());
  for (const bool include_protected : {false, true}) {
    int compared = 0;
    for (WorkerId i = 0;
         i < workers && compared < options_.max_workers_compared; ++i) {
      const auto worker = static_cast<WorkerId>(
          (static_cast<uint32_t>(row.sequence) * 40503U + i) % workers);
      if (!cell_.Schedulable(worker) || !row.need.FitsIn(cell_.Total(worker)) ||
          ViolatesSpread(row, worker))
        continue;
      const auto active =
          std::count_if(preemptions_.begin(), preemptions_.end(),
                        [worker](const Preemption& preemption) {
                          return preemption.worker == worker;
                        });
      if (active >= options_.max_preemptions_per_worker) continue;
      VictimSet set = FindVictimsOn(worker, row, include_protected, now_ms);
      if (!set.found) continue;
      ++compared;
      if (best_worker != kNoWorker && set.cost >= best.cost) continue;
      best = std::move(set);
      best_worker = worker;
    }
    if (best_worker != kNoWorker) break;
  }
  if (best_worker == kNoWorker) return false;

  queue_.Remove(id, row);
  DropReservation(id);
  row.state = TaskState::kAwaitingPreemption;
  row.worker = best_worker;
  AddUsage(row, 1);
  preemptions_.push_back({id, best_worker, row.need, best.tasks});
  UpdateReserved(best_worker);
  for (const TaskHandle victim : best.tasks) {
    tasks_[victim].state = TaskState::kBeingPreempted;
    AddUsage(tasks_[victim], -1);
    if (tasks_[victim].preempted < UINT8_MAX) ++tasks_[victim].preempted;
    orders.push_back({Order::Kind::kPreempt, victim, best_worker,
                      tasks_[victim].checkpoints, id});
  }
  counts_.preempted += static_cast<int64_t>(best.tasks.size());
  counts_.preemption_cost_s += best.cost;
  Decision record;
  record.task = id;
  record.at_ms = now_ms;
  record.rule = Rule::kWaitsForPreemption;
  record.worker = best_worker;
  record.preempted = static_cast<int16_t>(best.tasks.size());
  record.preemption_cost_s = static_cast<float>(best.cost);
  Record(record);
  return true;
}

// Reservations. Capacity is reserved for large tasks that fit nowhere. Smaller
// tasks backfill the worker as long as they end before the reservation starts
// or fit beside the reserved capacity.

int64_t Decider::EarliestStart(WorkerId worker, const Resources& need,
                               int64_t now_ms, Resources* spare) const {
  std::vector<std::pair<int64_t, Resources>> ends;
  for (const TaskHandle id : on_worker_[worker]) {
    const TaskRow& row = tasks_[id];
    if (!row.service)
      ends.emplace_back(
          std::max(now_ms + 1, row.started_ms + row.max_duration_ms), row.need);
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  Resources capacity = cell_.Free(worker);
  int64_t at = now_ms;
  for (size_t i = 0; i < ends.size() && !need.FitsIn(capacity); ++i) {
    capacity += ends[i].second;
    at = ends[i].first;
  }
  if (!need.FitsIn(capacity)) return kNever;
  *spare = capacity - need;
  return at;
}

void Decider::Reserve(TaskHandle id, int64_t now_ms) {
  const TaskRow& row = tasks_[id];
  DropReservation(id);
  if (reservations_.size() >= static_cast<size_t>(options_.max_reservations) ||
      row.rank == kBulkRank)
    return;
  Reservation best;
  best.start_ms = kNever;
  const auto workers = static_cast<WorkerId>(cell_.size());
  int compared = 0;
  for (WorkerId i = 0; i < workers && compared < options_.max_workers_compared;
       ++i) {
    const auto worker = static_cast<WorkerId>(
        (static_cast<uint32_t>(row.sequence) * 40503U + i) % workers);
    if (!cell_.Schedulable(worker) || !row.need.FitsIn(cell_.Total(worker)) ||
        ViolatesSpread(row, worker))
      continue;
    const bool has_reservation = std::any_of(
        reservations_.begin(), reservations_.end(),
        [worker](const Reservation& other) { return other.worker == worker; });
    if (has_reservation) continue;
    ++compared;
    Resources spare;
    const int64_t at = EarliestStart(worker, row.need, now_ms, &spare);
    if (at < best.start_ms) best = {id, worker, at, spare};
  }
  if (best.worker != kNoWorker) reservations_.push_back(best);
}

void Decider::DropReservation(TaskHandle id) {
  const auto it = std::find_if(
      reservations_.begin(), reservations_.end(),
      [id](const Reservation& reservation) { return reservation.task == id; });
  if (it == reservations_.end()) return;
  const WorkerId worker = it->worker;
  reservations_.erase(it);
  OnCapacityFreed(worker);
}

}  // namespace keelbridge
