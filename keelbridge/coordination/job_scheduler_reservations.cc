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
constexpr absl::Duration kCostOfYield = absl::Seconds(2);
// What a run that yields loses of its worker: a restore and a part of its stop,
// times what it takes. That may be at most so much of the work that gets room:
// without this bound, short tasks that clear room for themselves on a full site
// cost more work than they are.
constexpr absl::Duration kLostByYield = absl::Seconds(1);
constexpr double kMostLostShare = 0.5;
// Others yield to a step once its job has no more than this share of its time
// to wait left: until then room may come by itself.
constexpr double kYieldSlack = 0.5;
// A run that is done to this many hundredths ends soon by itself.
constexpr int32_t kNearlyDone = 85;
// Between two searches for room for one step. Each looks at the workers that
// may run it and at what runs there.
constexpr absl::Duration kHoldEvery = absl::Milliseconds(50);
// A run does not yield again and again: each time costs it a restore.
constexpr int32_t kMostYields = 2;
// A task is large when it takes this share of a worker or more: two at most
// fit. Where such tasks take half of a worker, beside small ones, 0.96 of the
// worth was earned on a calm day with room held for them, 0.94 without (one
// play each).
constexpr double kLargeShare = 0.4;

}  // namespace

struct JobScheduler::Holder {
  Worker* worker;
  RoomCandidate candidate;
  std::vector<RunKey> runs;  // Those of `candidate.runs`.
  int32_t whole;             // Tasks that fit when nothing else runs there.
  bool held;                 // Room was kept there at the last look.
};

std::vector<JobScheduler::Worker*> JobScheduler::WorkersToHold(
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

std::vector<JobScheduler::Holder> JobScheduler::FindHolders(
    const ReadyStep& ready, Now now) {
  std::vector<Holder> holders;
  for (Worker* worker : WorkersToHold(ready, now)) {
    Holder holder;
    holder.worker = worker;
    holder.whole = Fits(*worker, ready, worker->record.capacity - worker->held);
    if (holder.whole < 1) continue;
    holder.candidate.room = RoomOn(*worker) + worker->stopping;
    holder.candidate.most = holder.whole;
    const auto& held = ready.state->held;
    holder.held = std::any_of(held.begin(), held.end(), [&](const auto& one) {
      return one.first == worker->record.id;
    });
    holders.push_back(std::move(holder));
  }
  return holders;
}

void JobScheduler::NoteYield(Occupant& occupant, const TaskId& task, Now now) {
  const auto found = jobs_.find(task.job);
  if (found == jobs_.end() || found->second->Ended()) return;
  Job& job = *found->second;
  const Queue* queue = QueueOf(job);
  const auto step = static_cast<size_t>(task.step);
  if (queue == nullptr || step >= job.spec.steps.size()) return;
  const StepSpec& spec = job.spec.steps[step];
  const TaskState* state = job.FindTask(task);
  if (!spec.checkpoints || spec.gang || spec.lasting || state == nullptr ||
      state->yields >= kMostYields)
    return;
  occupant.yields_below = queue->priority;
  const JobTimes& times = TimesOfJob(job, *queue);
  const absl::Time last =
      job.accepted_at + times.objective - times.work_from[step] - kCostOfYield;
  // One that cannot be in time any more has nothing to lose.
  occupant.yields_until = last > now.mono ? last : absl::InfiniteFuture();
}

std::optional<double> JobScheduler::YieldCost(const Worker& worker,
                                              const Occupant& occupant,
                                              const ReadyStep& ready,
                                              Now now) const {
  if (occupant.yields_below <= ready.queue->priority || occupant.stop_wanted ||
      occupant.foreign || occupant.uncertain ||
      occupant.start_answered > now.mono)
    return std::nullopt;
  // What it did since it began counts as time that it has left.
  const absl::Duration left =
      occupant.yields_until - now.mono + (now.mono - occupant.placed);
  if (left <= absl::ZeroDuration() || occupant.percent >= kNearlyDone)
    return std::nullopt;
  // In seconds of a whole worker; the one with more time left goes first.
  const double lost = DominantShare(occupant.need, worker.record.capacity) *
                      absl::ToDoubleSeconds(kLostByYield);
  return lost * (1 + kCostOfYield / (left + kCostOfYield));
}

void JobScheduler::AddYielders(const ReadyStep& ready, Holder& holder,
                               Now now) {
  for (const auto& [key, occupant] : holder.worker->occupants) {
    const auto cost = YieldCost(*holder.worker, occupant, ready, now);
    if (!cost) continue;
    holder.candidate.runs.push_back({occupant.need, *cost});
    holder.runs.push_back(key);
  }
}

void JobScheduler::Yield(Worker& worker, const RunKey& key,
                         const ReadyStep& ready) {
  const auto job = jobs_.find(key.first.job);
  if (job == jobs_.end()) return;
  if (TaskState* task = job->second->FindTask(key.first)) ++task->yields;
  ++figures_.yields;
  Explain("run_yields", {{"task", TaskIdText(key.first)},
                         {"run", absl::StrCat(key.second)},
                         {"worker", worker.record.id},
                         {"to_job", JobIdText(ready.job->id)},
                         {"to_step", absl::StrCat(ready.number)}});
  WantStop(worker, key);
}

void JobScheduler::HoldAt(Worker& worker, int32_t tasks, ReadyStep& ready) {
  const Resources need = RoomNeeded(*ready.spec);
  for (int32_t i = 0; i < tasks; ++i) worker.held += need;
  ready.state->held.emplace_back(worker.record.id, tasks);
}

void JobScheduler::HoldAgain(ReadyStep& ready) {
  const auto held = std::exchange(ready.state->held, {});
  for (const auto& [id, tasks] : held) {
    const auto worker = workers_.find(id);
    if (worker != workers_.end()) HoldAt(*worker->second, tasks, ready);
  }
}

int32_t JobScheduler::HoldWhatComes(ReadyStep& ready,
                                    std::vector<Holder>& holders, Now now) {
  const bool make_room = options_.policy.make_room && !behind_ &&
                         ready.tier == 0 && ready.slack_left < kYieldSlack;
  std::vector<RoomCandidate> candidates;
  for (Holder& holder : holders) {
    if (make_room) AddYielders(ready, holder, now);
    candidates.push_back(holder.candidate);
  }
  const absl::Duration work = absl::Milliseconds(ready.spec->estimated_ms) *
                              ShareOfWorker(ready, holders);
  const std::vector<RoomChoice> choices =
      ChooseRoom(RoomNeeded(*ready.spec), ready.waiting,
                 kMostLostShare * absl::ToDoubleSeconds(work), candidates);
  int32_t covered = 0;
  for (const RoomChoice& choice : choices) covered += choice.tasks;
  if (ready.spec->gang && covered < ready.waiting) return 0;
  for (const RoomChoice& choice : choices) {
    Holder& holder = holders[choice.candidate];
    HoldAt(*holder.worker, choice.tasks, ready);
    holder.whole -= choice.tasks;
    for (const size_t run : choice.yielding)
      Yield(*holder.worker, holder.runs[run], ready);
  }
  return covered;
}

void JobScheduler::HoldWhereMostIsFree(ReadyStep& ready, int32_t tasks,
                                       std::vector<Holder>& holders) {
  std::sort(holders.begin(), holders.end(),
            [](const Holder& a, const Holder& b) {
              return std::make_tuple(!a.held, -a.worker->free.cpu_milli,
                                     a.worker->record.id) <
                     std::make_tuple(!b.held, -b.worker->free.cpu_milli,
                                     b.worker->record.id);
            });
  int32_t possible = 0;
  for (const Holder& holder : holders) possible += holder.whole;
  // Nothing is kept for a gang that the workers could not carry.
  if (ready.spec->gang && possible < tasks) return;
  for (const Holder& holder : holders) {
    const int32_t here = std::min(holder.whole, tasks);
    if (here < 1) continue;
    HoldAt(*holder.worker, here, ready);
    tasks -= here;
  }
}

double JobScheduler::ShareOfWorker(const ReadyStep& ready,
                                   const std::vector<Holder>& holders) {
  if (holders.empty()) return 0;
  return DominantShare(RoomNeeded(*ready.spec),
                       holders.front().worker->record.capacity);
}

void JobScheduler::HoldRoom(ReadyStep& ready, Now now) {
  if (now.mono < ready.state->next_hold) return HoldAgain(ready);
  ready.state->next_hold = now.mono + kHoldEvery;
  std::vector<Holder> holders = FindHolders(ready, now);
  ready.state->held.clear();
  const int32_t left = ready.waiting - HoldWhatComes(ready, holders, now);
  // Small tasks find room wherever something ends.
  const bool large = ShareOfWorker(ready, holders) >= kLargeShare;
  if (left > 0 && (ready.spec->gang || large))
    HoldWhereMostIsFree(ready, left, holders);
}

bool JobScheduler::HoldWhatIsFree(ReadyStep& ready, Now now) {
  StepState& state = *ready.state;
  if (now.mono < state.next_hold) {
    HoldAgain(ready);
    return !state.held.empty();
  }
  state.next_hold = now.mono + kHoldEvery;
  state.held.clear();
  struct Place {
    Worker* worker;
    int32_t fits;
  };
  std::vector<Place> places;
  int32_t total = 0;
  for (Worker* worker : WorkersToHold(ready, now)) {
    const int32_t fits = Fits(*worker, ready, RoomOn(*worker));
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
    HoldAt(*place.worker, here, ready);
    left -= here;
  }
  return true;
}

}  // namespace keelbridge
