// Reserves capacity for blocked steps, and preempts less urgent runs to make
// it.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/capacity_search.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// Expected delay until a preempted run has started again, without its advice
// call: its stop, its restore and the wait for capacity.
constexpr absl::Duration kRestartDelay = absl::Seconds(2);
// Work that preemption wastes: a restore and a part of the stop, multiplied by
// the share of a worker that the run uses. It may be at most
// `kMaxLostWorkShare` of the work that gains the capacity. Without this bound,
// short tasks that preempt runs on a full site cost more work than they
// contribute.
constexpr absl::Duration kWorkLostByPreemption = absl::Seconds(1);
constexpr double kMaxLostWorkShare = 0.5;
// Runs are preempted for a step only when its job has at most this share of its
// permitted waiting time left. Until then capacity may become free without
// preemption.
constexpr double kPreemptionSlack = 0.5;
// A run at or above this percentage of its progress ends soon and is not
// preempted.
constexpr int32_t kNearlyDonePercent = 85;
// Interval between two capacity searches for one step. A search examines the
// workers that may run the step and the runs on them.
constexpr absl::Duration kReservationInterval = absl::Milliseconds(50);
// Maximum number of times a task is preempted. Each preemption costs it a
// restore.
constexpr int32_t kMaxPreemptions = 2;
// A task is large if it needs at least this share of a worker, so that at most
// two fit. Small tasks next to it may leave no worker with enough capacity.
constexpr double kLargeTaskShare = 0.4;

}  // namespace

struct JobScheduler::ReservationOption {
  Worker* worker;
  CapacityCandidate candidate;
  std::vector<RunKey> runs;  // Keys of `candidate.runs`, in the same order.
  // Tasks that would fit into the capacity that is not reserved if nothing ran
  // on the worker.
  int32_t fits_when_empty;
  bool reserved;  // The last pass reserved capacity there.
};

std::vector<JobScheduler::Worker*> JobScheduler::FindWorkersToReserve(
    const ReadyStep& ready, Now now) {
  const int64_t tried_before = figures_.workers_tried;
  std::vector<Worker*> usable;
  if (!ready.queue->advice.needed) {
    usable = FindAllUsableWorkers(ready, now);
  } else {
    usable = FindKnownWorkers(ready.state->advice);
    const auto unusable = [&](const Worker* worker) {
      return !MayRun(*worker, ready, now);
    };
    usable.erase(std::remove_if(usable.begin(), usable.end(), unusable),
                 usable.end());
  }
  figures_.workers_tried_to_reserve += figures_.workers_tried - tried_before;
  return usable;
}

std::vector<JobScheduler::ReservationOption>
JobScheduler::FindReservationOptions(const ReadyStep& ready, Now now) {
  std::vector<ReservationOption> options;
  for (Worker* worker : FindWorkersToReserve(ready, now)) {
    ReservationOption option;
    option.worker = worker;
    option.fits_when_empty = CountFittingTasks(
        *worker, ready, worker->record.capacity - worker->reserved.amount());
    if (option.fits_when_empty < 1) continue;
    option.candidate.free_capacity =
        UnreservedCapacity(*worker) + worker->stopping;
    option.candidate.max_tasks = option.fits_when_empty;
    const auto& reserved = ready.state->reserved;
    option.reserved = std::any_of(
        reserved.begin(), reserved.end(),
        [&](const auto& one) { return one.first == worker->record.id; });
    options.push_back(std::move(option));
  }
  return options;
}

void JobScheduler::UpdatePreemptibility(Allocation& allocation,
                                        const TaskId& task, Now now) {
  const auto found = jobs_.find(task.job);
  if (found == jobs_.end() || found->second->Ended()) return;
  Job& job = *found->second;
  const Queue* queue = FindQueue(job);
  const auto step = static_cast<size_t>(task.step);
  if (queue == nullptr || step >= job.spec.steps.size()) return;
  const StepSpec& spec = job.spec.steps[step];
  const TaskState* state = job.FindTask(task);
  if (!spec.checkpoints || spec.gang || spec.long_running || state == nullptr ||
      state->preemptions >= kMaxPreemptions)
    return;
  allocation.preemptible_below = queue->priority;
  const JobTiming& timing = job_timings_.Get(job, *queue, now.mono);
  const absl::Time last = job.accepted_at + timing.objective -
                          timing.work_from[step] - kRestartDelay;
  // A job that can no longer meet its objective loses nothing by preemption.
  allocation.preemptible_until =
      last > now.mono ? last : absl::InfiniteFuture();
}

std::optional<double> JobScheduler::PreemptionCost(const Worker& worker,
                                                   const Allocation& allocation,
                                                   const ReadyStep& ready,
                                                   Now now) const {
  if (allocation.preemptible_below <= ready.queue->priority ||
      allocation.stop.requested() || allocation.unwanted ||
      allocation.uncertain || allocation.start_answered > now.mono)
    return std::nullopt;
  // The time since the run began is added to its remaining slack.
  const absl::Duration left =
      allocation.preemptible_until - now.mono + (now.mono - allocation.placed);
  if (left <= absl::ZeroDuration() || allocation.percent >= kNearlyDonePercent)
    return std::nullopt;
  // The cost is in seconds of a whole worker. Of equal runs, the one with more
  // slack is cheaper.
  const double lost = DominantShare(allocation.need, worker.record.capacity) *
                      absl::ToDoubleSeconds(kWorkLostByPreemption);
  return lost * (1 + kRestartDelay / (left + kRestartDelay));
}

void JobScheduler::AddPreemptibleRuns(const ReadyStep& ready,
                                      ReservationOption& option, Now now) {
  for (const auto& [key, allocation] : option.worker->allocations) {
    const auto cost = PreemptionCost(*option.worker, allocation, ready, now);
    if (!cost) continue;
    option.candidate.runs.push_back({allocation.need, *cost});
    option.runs.push_back(key);
  }
}

void JobScheduler::Preempt(Worker& worker, const RunKey& key,
                           const ReadyStep& ready) {
  const auto job = jobs_.find(key.first.job);
  if (job == jobs_.end()) return;
  if (TaskState* task = job->second->FindTask(key.first)) ++task->preemptions;
  ++figures_.preemptions;
  LogDecision("run_yields", {{"task", TaskIdText(key.first)},
                             {"run", absl::StrCat(key.second)},
                             {"worker", worker.record.id},
                             {"to_job", JobIdText(ready.job->id)},
                             {"to_step", absl::StrCat(ready.number)}});
  RequestStop(worker, key);
}

void JobScheduler::ReserveOnWorker(Worker& worker, int32_t tasks,
                                   ReadyStep& ready) {
  const Resources need = CapacityNeeded(*ready.spec);
  for (int32_t i = 0; i < tasks; ++i) reservations_.Add(worker, need);
  ready.state->reserved.emplace_back(worker.record.id, tasks);
}

void JobScheduler::RenewReservation(ReadyStep& ready) {
  const auto reserved = std::exchange(ready.state->reserved, {});
  for (const auto& [id, tasks] : reserved) {
    const auto worker = workers_.find(id);
    if (worker != workers_.end())
      ReserveOnWorker(*worker->second, tasks, ready);
  }
}

int32_t JobScheduler::ReserveUpcomingCapacity(
    ReadyStep& ready, std::vector<ReservationOption>& options, Now now) {
  const bool preempt_runs = options_.policy.preempt_runs && !backlogged_ &&
                            ready.tier == 0 &&
                            ready.slack_left < kPreemptionSlack;
  std::vector<CapacityCandidate> candidates;
  for (ReservationOption& option : options) {
    if (preempt_runs) AddPreemptibleRuns(ready, option, now);
    candidates.push_back(option.candidate);
  }
  const absl::Duration work = absl::Milliseconds(ready.spec->estimated_ms) *
                              TaskShareOfWorker(ready, options);
  const std::vector<CapacityChoice> choices = ChooseCapacity(
      CapacityNeeded(*ready.spec), ready.waiting,
      kMaxLostWorkShare * absl::ToDoubleSeconds(work), candidates);
  int32_t covered = 0;
  for (const CapacityChoice& choice : choices) covered += choice.tasks;
  if (ready.spec->gang && covered < ready.waiting) return 0;
  for (const CapacityChoice& choice : choices) {
    ReservationOption& option = options[choice.candidate];
    ReserveOnWorker(*option.worker, choice.tasks, ready);
    option.fits_when_empty -= choice.tasks;
    for (const size_t run : choice.preempted)
      Preempt(*option.worker, option.runs[run], ready);
  }
  return covered;
}

void JobScheduler::ReserveOnLeastUsedWorkers(
    ReadyStep& ready, int32_t tasks, std::vector<ReservationOption>& options) {
  std::sort(options.begin(), options.end(),
            [](const ReservationOption& a, const ReservationOption& b) {
              return std::make_tuple(!a.reserved, -a.worker->free.cpu_milli,
                                     a.worker->record.id) <
                     std::make_tuple(!b.reserved, -b.worker->free.cpu_milli,
                                     b.worker->record.id);
            });
  int32_t possible = 0;
  for (const ReservationOption& option : options)
    possible += option.fits_when_empty;
  // Nothing is reserved for a gang that the workers could not run even if they
  // were empty.
  if (ready.spec->gang && possible < tasks) return;
  for (const ReservationOption& option : options) {
    const int32_t here = std::min(option.fits_when_empty, tasks);
    if (here < 1) continue;
    ReserveOnWorker(*option.worker, here, ready);
    tasks -= here;
  }
}

double JobScheduler::TaskShareOfWorker(
    const ReadyStep& ready, const std::vector<ReservationOption>& options) {
  if (options.empty()) return 0;
  return DominantShare(CapacityNeeded(*ready.spec),
                       options.front().worker->record.capacity);
}

void JobScheduler::ReserveCapacity(ReadyStep& ready, Now now) {
  if (now.mono < ready.state->next_reservation_at)
    return RenewReservation(ready);
  ready.state->next_reservation_at = now.mono + kReservationInterval;
  std::vector<ReservationOption> options = FindReservationOptions(ready, now);
  ready.state->reserved.clear();
  const int32_t left =
      ready.waiting - ReserveUpcomingCapacity(ready, options, now);
  // Small tasks fit wherever a run ends, so nothing more is reserved for them.
  const bool large = TaskShareOfWorker(ready, options) >= kLargeTaskShare;
  if (left > 0 && (ready.spec->gang || large))
    ReserveOnLeastUsedWorkers(ready, left, options);
}

bool JobScheduler::ReserveFreeCapacity(ReadyStep& ready, Now now) {
  StepState& state = *ready.state;
  if (now.mono < state.next_reservation_at) {
    RenewReservation(ready);
    return !state.reserved.empty();
  }
  state.next_reservation_at = now.mono + kReservationInterval;
  state.reserved.clear();
  struct Place {
    Worker* worker;
    int32_t fits;
  };
  std::vector<Place> places;
  int32_t total = 0;
  for (Worker* worker : FindWorkersToReserve(ready, now)) {
    const int32_t fits =
        CountFittingTasks(*worker, ready, UnreservedCapacity(*worker));
    if (fits < 1) continue;
    places.push_back({worker, fits});
    total += fits;
  }
  if (total < ready.waiting) return false;
  // Uses as few workers as possible, since each needs a ticket.
  std::stable_sort(
      places.begin(), places.end(),
      [](const Place& a, const Place& b) { return a.fits > b.fits; });
  int32_t left = ready.waiting;
  for (const Place& place : places) {
    const int32_t here = std::min(place.fits, left);
    if (here < 1) break;
    ReserveOnWorker(*place.worker, here, ready);
    left -= here;
  }
  return true;
}

}  // namespace keelbridge
