// Room for steps that are blocked: kept free for them, and made by less urgent
// runs that yield.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/capacity_search.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// A run that yields starts again after about this much, beside its advice: its
// stop (0.2 to 0.9 s on the sites known), its restore (up to 0.6 s) and a wait
// for room.
constexpr absl::Duration kRestartDelay = absl::Seconds(2);
// What a run that yields loses of its worker: a restore and a part of its stop,
// times what it takes. That may be at most so much of the work that gets room:
// without this bound, short tasks that clear room for themselves on a full site
// cost more work than they are.
constexpr absl::Duration kWorkLostByPreemption = absl::Seconds(1);
constexpr double kMaxLostWorkShare = 0.5;
// Others yield to a step once its job has no more than this share of its time
// to wait left: until then room may come by itself.
constexpr double kPreemptionSlack = 0.5;
// A run that is done to this many hundredths ends soon by itself.
constexpr int32_t kNearlyDonePercent = 85;
// Between two searches for room for one step. Each looks at the workers that
// may run it and at what runs there.
constexpr absl::Duration kReservationInterval = absl::Milliseconds(50);
// A run does not yield again and again: each time costs it a restore.
constexpr int32_t kMaxPreemptions = 2;
// A task is large when it takes this share of a worker or more: two at most
// fit. Where such tasks take half of a worker, beside small ones, 0.96 of the
// worth was earned on a calm day with room held for them, 0.94 without (one
// play each).
constexpr double kLargeTaskShare = 0.4;

}  // namespace

struct JobScheduler::ReservationOption {
  Worker* worker;
  CapacityCandidate candidate;
  std::vector<RunKey> runs;  // Those of `candidate.runs`.
  int32_t whole;             // Tasks that fit when nothing else runs there.
  bool reserved;             // Room was kept there at the last look.
};

std::vector<JobScheduler::Worker*> JobScheduler::FindWorkersToReserve(
    const ReadyStep& ready, Now now) {
  std::vector<Worker*> out;
  if (!ready.queue->advice.needed) {
    for (auto& [id, worker] : workers_) {
      if (MayRun(*worker, ready, now)) out.push_back(worker.get());
    }
    return out;
  }
  for (const auto& [id, good] : ready.state->advice.known) {
    if (!good) continue;
    const auto found = workers_.find(id);
    if (found != workers_.end() && MayRun(*found->second, ready, now))
      out.push_back(found->second.get());
  }
  std::sort(out.begin(), out.end(), [](const Worker* a, const Worker* b) {
    return a->record.id < b->record.id;
  });
  return out;
}

std::vector<JobScheduler::ReservationOption>
JobScheduler::FindReservationOptions(const ReadyStep& ready, Now now) {
  std::vector<ReservationOption> options;
  for (Worker* worker : FindWorkersToReserve(ready, now)) {
    ReservationOption option;
    option.worker = worker;
    option.whole = CountFittingTasks(
        *worker, ready, worker->record.capacity - worker->reserved);
    if (option.whole < 1) continue;
    option.candidate.free_capacity =
        UnreservedCapacity(*worker) + worker->stopping;
    option.candidate.max_tasks = option.whole;
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
  const JobTiming& timing = GetJobTiming(job, *queue);
  const absl::Time last = job.accepted_at + timing.objective -
                          timing.work_from[step] - kRestartDelay;
  // One that cannot be in time any more has nothing to lose.
  allocation.preemptible_until =
      last > now.mono ? last : absl::InfiniteFuture();
}

std::optional<double> JobScheduler::PreemptionCost(const Worker& worker,
                                                   const Allocation& allocation,
                                                   const ReadyStep& ready,
                                                   Now now) const {
  if (allocation.preemptible_below <= ready.queue->priority ||
      allocation.should_stop || allocation.unwanted || allocation.uncertain ||
      allocation.start_answered > now.mono)
    return std::nullopt;
  // What it did since it began counts as time that it has left.
  const absl::Duration left =
      allocation.preemptible_until - now.mono + (now.mono - allocation.placed);
  if (left <= absl::ZeroDuration() || allocation.percent >= kNearlyDonePercent)
    return std::nullopt;
  // In seconds of a whole worker; the one with more time left goes first.
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
  for (int32_t i = 0; i < tasks; ++i) worker.reserved += need;
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
  const bool make_room = options_.policy.make_room && !backlogged_ &&
                         ready.tier == 0 && ready.slack_left < kPreemptionSlack;
  std::vector<CapacityCandidate> candidates;
  for (ReservationOption& option : options) {
    if (make_room) AddPreemptibleRuns(ready, option, now);
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
    option.whole -= choice.tasks;
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
  for (const ReservationOption& option : options) possible += option.whole;
  // Nothing is kept for a gang that the workers could not carry.
  if (ready.spec->gang && possible < tasks) return;
  for (const ReservationOption& option : options) {
    const int32_t here = std::min(option.whole, tasks);
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
  // Small tasks find room wherever something ends.
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
  // As few workers as can be: each needs a ticket.
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
