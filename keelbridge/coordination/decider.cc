#include "keelbridge/coordination/decider.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace keelbridge {
namespace {

// Lower bound of a quota that is used as a divisor. A team without quota comes
// last among equals, but its weighted share stays finite.
constexpr double kMinQuota = 0.001;
// Maximum number of promotions per call of `Decide`, to bound its work.
constexpr int kMaxPromotions = 200;

template <typename T>
void Erase(std::vector<T>& items, const T& item) {
  const auto it = std::find(items.begin(), items.end(), item);
  if (it == items.end()) return;
  *it = items.back();
  items.pop_back();
}

}  // namespace

DeciderOptions DeciderOptions::ForPolicy(PolicyKind policy) {
  DeciderOptions options;
  if (policy == PolicyKind::kWaitingFirst) {
    options.headroom = 0.04;
    options.interactive_preempts = true;
  } else {
    options.headroom = 0;
    options.interactive_preempts = false;
    // Reclaiming capacity by preemption costs 1 to 2% of the cell under this
    // policy. A team below its quota is served when other work ends instead.
    options.reclaim = false;
    options.queue.largest_first = true;
  }
  return options;
}

Decider::Decider(DeciderOptions options)
    : options_(options), queue_(options.queue) {}

int16_t Decider::AddTeam(const std::string& name, double quota) {
  const auto [it, added] =
      team_by_name_.emplace(name, static_cast<int16_t>(teams_.size()));
  if (added) {
    teams_.push_back({name, quota, {}});
    shares_.push_back(0);
  }
  teams_[it->second].quota = quota;
  UpdateShare(it->second);
  return it->second;
}

int16_t Decider::FindTeam(const std::string& name) const {
  const auto it = team_by_name_.find(name);
  return it == team_by_name_.end() ? -1 : it->second;
}

WorkerId Decider::AddWorker(const std::string& name, const std::string& rack,
                            const Resources& total) {
  on_worker_.emplace_back();
  reserved_.emplace_back();
  const WorkerId worker = cell_.Add(name, rack, total);
  OnCapacityFreed(worker);
  return worker;
}

void Decider::SetSchedulable(WorkerId worker, bool schedulable) {
  if (cell_.Schedulable(worker) == schedulable) return;
  cell_.SetSchedulable(worker, schedulable);
  OnCapacityFreed(worker);
}

void Decider::SetTotal(WorkerId worker, const Resources& total) {
  if (cell_.Total(worker) == total) return;
  cell_.SetTotal(worker, total);
  OnCapacityFreed(worker);
}

int32_t Decider::ShapeOf(const TaskRow& row) {
  // Tasks with a spread constraint are blocked per group, so each of their
  // groups has a shape of its own.
  if (row.spread) return -1 - row.group;
  return shapes_.emplace(row.need, static_cast<int32_t>(shapes_.size()))
      .first->second;
}

TaskHandle Decider::AddRow(const TaskSpec& spec, int64_t now_ms) {
  TaskRow row;
  row.need = spec.need;
  row.group = spec.group;
  row.team = spec.team;
  row.work_class = spec.work_class;
  row.checkpoints = spec.checkpoints;
  row.spread = spec.spread && spec.group >= 0;
  row.service = spec.duration_ms == 0;
  row.non_preemptible = spec.non_preemptible;
  row.sequence = sequence_++;
  row.submitted_ms = now_ms;
  row.saved_progress_ms = spec.saved_progress_ms;
  row.shape = ShapeOf(row);
  if (!row.service) {
    row.duration_ms =
        std::max<int64_t>(1, spec.duration_ms - spec.saved_progress_ms);
    row.max_duration_ms = static_cast<int64_t>(
        static_cast<double>(row.duration_ms) * (1 + spec.estimate_error));
    if (spec.deadline_ms != kNever)
      row.latest_start_ms = spec.deadline_ms - row.max_duration_ms;
  }
  if (row.group >= 0) ++group_size_[row.group];
  return tasks_.Add(row);
}

TaskHandle Decider::Submit(const TaskSpec& spec, int64_t now_ms) {
  const TaskHandle id = AddRow(spec, now_ms);
  queue_.Push(id, tasks_[id], now_ms);
  return id;
}

TaskHandle Decider::Adopt(const TaskSpec& spec, WorkerId worker,
                          int64_t started_ms, int64_t now_ms) {
  const TaskHandle id = AddRow(spec, now_ms);
  AllocateCapacity(id, worker, started_ms);
  Decision record;
  record.task = id;
  record.at_ms = now_ms;
  record.rule = Rule::kAdopted;
  record.worker = worker;
  Record(record);
  return id;
}

// Capacity accounting.

void Decider::AddUsage(const TaskRow& row, int sign) {
  Team& team = teams_[row.team];
  team.used[0] += int64_t{sign} * row.need.cpu_milli;
  team.used[1] += int64_t{sign} * row.need.memory_mib;
  team.used[2] += int64_t{sign} * row.need.accelerators;
  UpdateShare(row.team);
}

double Decider::ShareOf(int16_t team) const {
  double share = 0;
  for (size_t i = 0; i < cell_.Totals().size(); ++i) {
    if (cell_.Totals()[i] <= 0) continue;
    share = std::max(share, static_cast<double>(teams_[team].used[i]) /
                                static_cast<double>(cell_.Totals()[i]));
  }
  return share;
}

void Decider::UpdateShare(int16_t team) {
  shares_[team] = ShareOf(team) / std::max(teams_[team].quota, kMinQuota);
}

void Decider::AllocateCapacity(TaskHandle id, WorkerId worker, int64_t now_ms) {
  TaskRow& row = tasks_[id];
  // A preemptor has counted towards its team's usage since the preemption
  // began.
  if (row.state != TaskState::kAwaitingPreemption) AddUsage(row, 1);
  row.state = TaskState::kPlaced;
  row.worker = worker;
  row.started_ms = now_ms;
  cell_.Allocate(worker, row.need);
  on_worker_[worker].push_back(id);
  if (!row.spread) return;
  std::vector<int32_t>& racks = group_by_rack_[row.group];
  if (racks.size() < static_cast<size_t>(cell_.RackCount()))
    racks.resize(cell_.RackCount());
  ++racks[cell_.Rack(worker)];
}

void Decider::ReleaseCapacity(TaskHandle id) {
  TaskRow& row = tasks_[id];
  cell_.Release(row.worker, row.need);
  Erase(on_worker_[row.worker], id);
  // A task that is being preempted was removed from its team's usage when the
  // preemption began.
  if (row.state != TaskState::kBeingPreempted) AddUsage(row, -1);
  if (row.spread) --group_by_rack_[row.group][cell_.Rack(row.worker)];
  OnCapacityFreed(row.worker);
}

// Events reported by the caller.

void Decider::Detach(TaskHandle id, int64_t now_ms) {
  TaskRow& row = tasks_[id];
  switch (row.state) {
    case TaskState::kWaiting:
      queue_.Remove(id, row);
      DropReservation(id);
      break;
    case TaskState::kPlaced:
      ReleaseCapacity(id);
      // This task is no victim, so its end completes no preemption, even if
      // other tasks of the worker are being preempted.
      break;
    case TaskState::kBeingPreempted: {
      ReleaseCapacity(id);
      OnVictimStopped(id, now_ms);
      break;
    }
    case TaskState::kAwaitingPreemption: {
      const auto it = std::find_if(preemptions_.begin(), preemptions_.end(),
                                   [id](const Preemption& preemption) {
                                     return preemption.preemptor == id;
                                   });
      if (it == preemptions_.end()) break;
      AddUsage(row, -1);
      it->preemptor = kNoTask;
      it->need = Resources();
      UpdateReserved(row.worker);
      break;
    }
    case TaskState::kGone:
      break;
  }
}

void Decider::UpdateReserved(WorkerId worker) {
  Resources reserved;
  for (const Preemption& preemption : preemptions_) {
    if (preemption.worker != worker) continue;
    Resources releasing;
    for (const TaskHandle victim : preemption.victims)
      releasing += tasks_[victim].need;
    reserved += Shortfall(preemption.need, releasing);
  }
  reserved_[worker] = reserved;
}

void Decider::OnVictimStopped(TaskHandle victim, int64_t now_ms) {
  const auto it = std::find_if(
      preemptions_.begin(), preemptions_.end(),
      [victim](const Preemption& preemption) {
        return std::find(preemption.victims.begin(), preemption.victims.end(),
                         victim) != preemption.victims.end();
      });
  if (it == preemptions_.end()) return;
  const WorkerId worker = it->worker;
  Erase(it->victims, victim);
  if (!it->victims.empty()) return UpdateReserved(worker);
  const TaskHandle id = it->preemptor;
  preemptions_.erase(it);
  UpdateReserved(worker);
  OnCapacityFreed(worker);
  if (id == kNoTask) return;
  TaskRow& row = tasks_[id];
  if (!row.need.FitsIn(UnreservedCapacity(worker)) ||
      !cell_.Schedulable(worker)) {
    AddUsage(row, -1);
    queue_.Push(id, row, now_ms);
    return;
  }
  AllocateCapacity(id, worker, now_ms);
  ++counts_.placements;
  // Completes the record of the decision to preempt.
  Decision record = LastDecision(id).value_or(Decision());
  record.task = id;
  record.at_ms = now_ms;
  record.rule = Rule::kAfterPreemption;
  record.worker = worker;
  Record(record);
  pending_orders_.push_back({Order::Kind::kStart, id, worker, false, kNoTask});
}

void Decider::OnStartFailed(TaskHandle id, int64_t now_ms) {
  OnStopped(id, tasks_[id].saved_progress_ms, now_ms);
}

void Decider::OnStopped(TaskHandle id, int64_t saved_progress_ms,
                        int64_t now_ms) {
  Detach(id, now_ms);
  TaskRow& row = tasks_[id];
  const int64_t saved =
      std::max<int64_t>(0, saved_progress_ms - row.saved_progress_ms);
  if (!row.service) {
    const int64_t before = row.duration_ms;
    row.duration_ms = std::max<int64_t>(1, before - saved);
    const double ratio =
        static_cast<double>(row.duration_ms) / static_cast<double>(before);
    row.max_duration_ms = std::max<int64_t>(
        1,
        static_cast<int64_t>(static_cast<double>(row.max_duration_ms) * ratio));
  }
  row.saved_progress_ms = std::max(row.saved_progress_ms, saved_progress_ms);
  row.worker = kNoWorker;
  queue_.Push(id, row, now_ms);
}

void Decider::OnEnded(TaskHandle id, int64_t now_ms) {
  Detach(id, now_ms);
  const TaskRow& row = tasks_[id];
  if (row.group >= 0 && --group_size_[row.group] == 0) {
    group_size_.erase(row.group);
    group_by_rack_.erase(row.group);
  }
  tasks_.Remove(id);
}

void Decider::SetClass(TaskHandle id, WorkClass work_class, int64_t now_ms) {
  TaskRow& row = tasks_[id];
  if (row.state == TaskState::kWaiting) {
    queue_.Remove(id, row);
    row.work_class = work_class;
    queue_.Push(id, row, now_ms);
    next_full_pass_ms_ = 0;
  }
  row.work_class = work_class;
}

// Placement.

void Decider::OnCapacityFreed(WorkerId worker) {
  if (cell_.Schedulable(worker))
    queue_.AddFreedCapacity(worker, cell_.Free(worker));
}

std::vector<Order> Decider::Decide(int64_t now_ms, int budget) {
  std::vector<Order> orders = std::move(pending_orders_);
  pending_orders_.clear();
  queue_.Promote(tasks_, now_ms, kMaxPromotions);
  if (now_ms >= next_full_pass_ms_) {
    // Retries everything, because the record of freed capacity does not show
    // that shares changed or that preemption protection expired.
    next_full_pass_ms_ = now_ms + options_.full_pass_interval_ms;
    queue_.UnblockAll();
  }
  queue_.BeginCall(/*goes_on=*/std::exchange(budget_used_up_, true));
  while (budget-- > 0) {
    const TaskQueue::Offer offer = queue_.Next(shares_);
    if (offer.task == kNoTask) {
      queue_.ClearFreedCapacity();
      budget_used_up_ = false;
      break;
    }
    const PlacementOutcome outcome = TryPlace(offer, now_ms, orders);
    if (outcome != PlacementOutcome::kDone) {
      queue_.Block(tasks_[offer.task],
                   outcome == PlacementOutcome::kWaitsForCapacity);
    }
  }
  return orders;
}

Decider::PlacementOutcome Decider::TryPlace(const TaskQueue::Offer& offer,
                                            int64_t now_ms,
                                            std::vector<Order>& orders) {
  const TaskHandle id = offer.task;
  TaskRow& row = tasks_[id];
  const bool headroom = ViolatesHeadroom(row);
  SearchResult found;
  found.record.rule = Rule::kWaitsForHeadroom;
  if (!headroom) found = FindWorker(id, offer.candidate_workers, now_ms);
  found.record.task = id;
  found.record.at_ms = now_ms;
  counts_.examined += found.record.examined;
  if (found.worker != kNoWorker) {
    Start(id, found, now_ms, orders);
    return PlacementOutcome::kDone;
  }
  // If freed capacity turned out to be too small, nothing else has changed
  // since the task was blocked.
  if (!offer.candidate_workers.empty())
    return PlacementOutcome::kWaitsForCapacity;
  Record(found.record);
  if (MayPreempt(row) && PreemptFor(id, now_ms, orders)) {
    return PlacementOutcome::kDone;
  }
  if (headroom) return PlacementOutcome::kWaitsForOtherCause;
  Reserve(id, now_ms);
  return row.spread ? PlacementOutcome::kWaitsForOtherCause
                    : PlacementOutcome::kWaitsForCapacity;
}

bool Decider::ViolatesHeadroom(const TaskRow& row) const {
  if (options_.headroom <= 0 || row.rank < kStandardRank) return false;
  const auto headroom_cpu = static_cast<int64_t>(
      options_.headroom * static_cast<double>(cell_.Totals()[0]));
  return cell_.FreeCpuMilli() - row.need.cpu_milli < headroom_cpu;
}

bool Decider::ViolatesSpread(const TaskRow& row, WorkerId worker) const {
  if (!row.spread) return false;
  const auto racks = group_by_rack_.find(row.group);
  if (racks == group_by_rack_.end()) return false;
  const auto rack = static_cast<size_t>(cell_.Rack(worker));
  const int32_t on_rack = rack < racks->second.size() ? racks->second[rack] : 0;
  const int32_t size = group_size_.at(row.group);
  const int32_t max_per_rack =
      (size + cell_.RackCount() - 1) / cell_.RackCount();
  return on_rack >= max_per_rack;
}

std::optional<Rejection> Decider::FindRejection(const TaskRow& row,
                                                WorkerId worker,
                                                int64_t now_ms) const {
  const Resources free = UnreservedCapacity(worker);
  if (row.need.cpu_milli > free.cpu_milli) return Rejection::kProcessors;
  if (row.need.memory_mib > free.memory_mib) return Rejection::kMemory;
  if (row.need.accelerators > free.accelerators)
    return Rejection::kAccelerators;
  if (ViolatesSpread(row, worker)) return Rejection::kSpread;
  for (const Reservation& reservation : reservations_) {
    if (reservation.worker != worker) continue;
    // Work of a higher rank may use the reserved capacity. The reservation is
    // then made anew.
    if (row.rank < tasks_[reservation.task].rank) continue;
    if (&row == &tasks_[reservation.task]) continue;
    if (!RespectsReservation(row, reservation, now_ms))
      return Rejection::kReserved;
  }
  return std::nullopt;
}

bool Decider::RespectsReservation(const TaskRow& row,
                                  const Reservation& reservation,
                                  int64_t now_ms) const {
  const bool ends_before =
      !row.service && now_ms + row.max_duration_ms <= reservation.start_ms;
  return ends_before || row.need.FitsIn(reservation.spare);
}

double Decider::Score(const TaskRow& row, WorkerId worker) const {
  // Lower is better. Remaining capacity is useful only as far as processors and
  // memory stay in balance, so the score is the remaining capacity plus its
  // imbalance.
  const Resources total = cell_.Total(worker);
  const Resources left = cell_.Free(worker) - row.need;
  const double cpu =
      static_cast<double>(left.cpu_milli) / std::max(1, total.cpu_milli);
  const double memory =
      static_cast<double>(left.memory_mib) / std::max(1, total.memory_mib);
  const double imbalance = std::abs(cpu - memory);
  // Free accelerators are stranded if work that needs none uses up the worker's
  // processors.
  const double stranded = row.need.accelerators == 0 && left.accelerators > 0
                              ? (1 - cpu) * left.accelerators
                              : 0;
  const double capacity_score =
      UsesBestFit(row) ? cpu + memory : 2 - cpu - memory;
  return capacity_score + imbalance + stranded;
}

bool Decider::UsesBestFit(const TaskRow& row) const {
  // Services are spread over workers, so that the loss of a worker affects few
  // of them.
  return options_.best_fit && (!row.service || options_.pack_services);
}

bool Decider::EvaluateWorker(const TaskRow& row, WorkerId worker,
                             int64_t now_ms, SearchResult& found) const {
  Decision& record = found.record;
  ++record.examined;
  if (const std::optional<Rejection> rejection =
          FindRejection(row, worker, now_ms)) {
    ++record.rejections[static_cast<size_t>(*rejection)];
    return found.fitting == 0 || record.examined < options_.max_examined;
  }
  ++found.fitting;
  const auto score = static_cast<float>(Score(row, worker));
  WorkerId loser = worker;
  float loser_score = score;
  if (found.worker == kNoWorker || score < record.score) {
    std::swap(loser, found.worker);
    loser_score = record.score;
    record.score = score;
  }
  if (loser != kNoWorker && found.fitting > 1 &&
      found.fitting <= Decision::kMaxRunnersUp + 1) {
    record.runner_up[found.fitting - 2] = loser;
    record.runner_up_score[found.fitting - 2] = loser_score;
  }
  return found.fitting < options_.candidates &&
         record.examined < options_.max_examined;
}

Decider::SearchResult Decider::FindWorker(
    TaskHandle id, const std::vector<WorkerId>& candidate_workers,
    int64_t now_ms) const {
  const TaskRow& row = tasks_[id];
  SearchResult found;
  const bool tightest = UsesBestFit(row);
  if (!candidate_workers.empty()) {
    for (const WorkerId worker : candidate_workers) {
      if (cell_.Schedulable(worker)) EvaluateWorker(row, worker, now_ms, found);
    }
  } else {
    const auto salt = static_cast<uint32_t>(row.sequence) * 2654435761U;
    cell_.Visit(row.need,
                tightest ? SearchOrder::kBestFit : SearchOrder::kWorstFit, salt,
                [&](WorkerId worker) {
                  return EvaluateWorker(row, worker, now_ms, found);
                });
  }
  found.record.rule = Rule::kWaitsForCapacity;
  if (found.worker != kNoWorker) {
    found.record.rule = tightest ? Rule::kBestFit : Rule::kWorstFit;
  }
  found.record.worker = found.worker;
  return found;
}

void Decider::Start(TaskHandle id, const SearchResult& found, int64_t now_ms,
                    std::vector<Order>& orders) {
  TaskRow& row = tasks_[id];
  queue_.Remove(id, row);
  Decision record = found.record;
  for (Reservation& reservation : reservations_) {
    if (reservation.worker != found.worker) continue;
    if (reservation.task == id) record.rule = Rule::kReservation;
    const bool ends_before =
        !row.service && now_ms + row.max_duration_ms <= reservation.start_ms;
    if (reservation.task != id && !ends_before) reservation.spare -= row.need;
  }
  DropReservation(id);
  AllocateCapacity(id, found.worker, now_ms);
  ++counts_.placements;
  Record(record);
  orders.push_back({Order::Kind::kStart, id, found.worker, false, kNoTask});
}

// Decision records.

void Decider::Record(const Decision& decision) {
  decisions_.push_back(decision);
  ++counts_.decisions;
  if (decisions_.size() > static_cast<size_t>(options_.max_decisions_kept))
    decisions_.pop_front();
}

std::optional<Decision> Decider::LastDecision(TaskHandle task) const {
  for (auto it = decisions_.rbegin(); it != decisions_.rend(); ++it) {
    if (it->task == task) return *it;
  }
  return std::nullopt;
}

}  // namespace keelbridge
