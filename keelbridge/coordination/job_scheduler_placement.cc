// In which order waiting steps are tried, and where single tasks start.
// Gangs are in job_scheduler_gangs.cc, advice in job_scheduler_advice.cc.

#include <algorithm>
#include <limits>
#include <map>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/capacity_search.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// Least time from one look for placements to the next, and what is added to it
// for each step that waits. To collect and order a step takes some 2 us
// (estimated), so that looks take a third of a processor. Longer pauses starve
// a site that is behind: with 40 us and 2,500 steps there was a look in 100 ms,
// and what one leader started fell from 1,400 tasks a second to 100 with 50,000
// of 70,400 processors idle.
constexpr absl::Duration kPlacementPause = absl::Milliseconds(4);
constexpr absl::Duration kPauseOfStep = absl::Microseconds(4);
// Advice is asked for as much work as fits into this many times the free room:
// some of the room that it is asked about turns out to be of no use.
constexpr double kAskedRoom = 2.0;
// Tasks that one look for placements starts at most, and when the driver's loop
// is late by more than `kLate`; what is left waits for the next look. That then
// comes after this share of the lag, so that what is under way is answered in
// time, and the leader still does what it can.
constexpr int32_t kMostStarts = 60;
constexpr int32_t kMostStartsWhenLate = 20;
constexpr absl::Duration kLate = absl::Milliseconds(100);
constexpr double kPauseOfLag = 0.25;
// Searches of all workers for whom to ask about a step, in one look: each takes
// some 0.1 ms at 1,100 workers.
constexpr int32_t kMostAdviceSearches = 16;
// Advice for tasks that last is asked this long before the lease of their
// silent worker has passed: calls take up to 0.9 s, and users wait meanwhile (a
// task was away 10.8 s instead of the 10.2 s that the lease takes).
constexpr absl::Duration kPrepareBefore = absl::Milliseconds(1200);
// Blocked gangs, and blocked steps of other tasks, that may keep room free at a
// time.
constexpr int kMostGangsHolding = 4;
constexpr int kMostOthersHolding = 8;
// Further gangs that keep room while they fetch their tickets: only in a pool
// that idles, and only if all the room that they need is free. So many gangs of
// 40 tasks of 18 processors take a third of 1,100 workers of 64, about what is
// free there when it counts as idle.
constexpr int kMostGangsReady = 32;
// A pool idles while more than this share of its processors is free. Users take
// a job for lost that does not run for 3 s while less than half is in use. With
// 160 gangs of 40 tasks that come at once on 1,100 workers a gang for which
// there was room twice over waited up to 5.3 s, and 1.8 s since gangs of an
// idle pool learn side by side and keep free room (simulated, 4 and 12 draws).
// A pool that is not idle gains nothing: it is full at 0.75 of its processors,
// and gangs that ask more there cost small tasks a third of what they are worth
// (0.46 to 0.33, one played day of a site of 1,100 workers).
constexpr double kIdleShare = 0.4;
// A site is behind when more steps wait than this many and than this share of
// its workers. Whatever ends there is taken at once, and room that is held, or
// made by runs that have to be restored, is work lost: with 350 workers and 100
// and more steps waiting 0.61 of the worth was earned, 0.64 without (means of
// two simulated runs each).
constexpr size_t kStepsBehind = 40;
constexpr double kStepsBehindShare = 0.25;
// Steps of jobs that are late already, when there are more than so many, are
// looked at no more often than this: late by some milliseconds more they are
// worth the same, and each look at them is time of the leader that timely ones
// wait for.
constexpr int64_t kFewLateSteps = 20;
constexpr absl::Duration kLateLookEvery = absl::Milliseconds(100);
// A task that lasts and stopped running comes before all others once it has
// been away this long. Users take it for lost when it was away for three
// seconds, however full the site is: this leaves time for advice (up to 0.9 s)
// and for room of its size to come. At first it has to wait its turn, since
// many start again together when a worker or a zone is gone.
constexpr absl::Duration kAwayTolerated = absl::Milliseconds(500);
constexpr int kTierAway = -1;
// Added to the share of a worker that would stay free, which is at most 1.
constexpr double kElsewherePenalty = 10;  // Away from the task's data.
constexpr double kFailedTherePenalty = 20;
constexpr double kFailingPenalty = 5;

}  // namespace

bool JobScheduler::FollowsWhatEndedHere(const Job& job, const Round& round,
                                        size_t step) {
  const std::vector<int32_t>& after = job.spec.steps[step].after;
  return std::any_of(after.begin(), after.end(), [&](int32_t before) {
    return round.steps[static_cast<size_t>(before)].ended_here;
  });
}

bool JobScheduler::MayTry(const ReadyStep& ready, const TaskState& task,
                          Now now) {
  return task.phase == TaskPhase::kWaiting && task.retry_at <= now.mono &&
         !WaitsForEarlierLease(ready, task, now) &&
         (!WaitsForUnanswered(task, now) ||
          WorkerOfUnanswered(ready, task, now) != nullptr);
}

std::vector<JobScheduler::ReadyStep> JobScheduler::CollectReady(Now now) {
  std::vector<ReadyStep> out;
  figures_.ready_tasks = 0;
  recovery_wait_ = RecoveryWait();
  unseen_ = FindUnseen(now);
  const bool placements_incomplete =
      unseen_.Any() && PlacementsMayBeMissing(now);
  const int64_t wall_ms = ToMillis(now.wall);
  for (auto& [id, job] : active_) {
    if (job->durable_at_batch > durable_batch_) continue;
    const Queue* queue = QueueOf(*job);
    if (queue == nullptr) continue;
    for (Round& round : job->rounds) {
      for (size_t s = 0; s < round.steps.size(); ++s) {
        StepState& step = round.steps[s];
        const StepSpec& spec = job->spec.steps[s];
        if (step.done == spec.count || !job->StepReady(round, s)) continue;
        step.ready_since = std::min(step.ready_since, now.mono);
        ReadyStep ready{};
        ready.job = job;
        ready.round = &round;
        ready.state = &step;
        ready.spec = &spec;
        ready.queue = queue;
        ready.number = static_cast<int32_t>(s);
        ready.may_run_unseen = job->recovered && unseen_.Any() &&
                               !FollowsWhatEndedHere(*job, round, s);
        ready.placements_incomplete = placements_incomplete;
        for (const TaskState& task : step.tasks)
          ready.waiting += MayTry(ready, task, now) ? 1 : 0;
        if (ready.may_run_unseen) CountWaiting(ready, now);
        if (ready.waiting == 0 && spec.lasting && !spec.gang) {
          ready.waiting =
              static_cast<int32_t>(OnLeavingWorkers(spec, step).size());
          if (queue->advice.needed) ready.waiting += SoonLost(spec, step, now);
          ready.prepares = ready.waiting > 0;
        }
        const int32_t waiting = ready.waiting;
        if (waiting == 0) continue;
        figures_.ready_tasks += waiting;
        const JobTimes& times = TimesOfJob(*job, *queue);
        const absl::Duration objective = times.objective;
        const absl::Duration age =
            job->spec.rounds > 0
                ? absl::Milliseconds(wall_ms - job->spec.first_round_ms -
                                     round.number * job->spec.round_interval_ms)
                : now.mono - job->accepted_at;
        const absl::Duration left = objective - age - times.work_from[s];
        ready.away = IsAway(ready, now);
        const int tier =
            ready.away                    ? kTierAway
            : left > absl::ZeroDuration() ? 0
            : left + objective * (kLateFactor - 1) > absl::ZeroDuration() ? 1
                                                                          : 2;
        ready.tier = tier;
        ready.latest_start = now.mono + left;
        ready.slack_left = left / std::max(objective - times.work_from[0],
                                           absl::Milliseconds(1));
        out.push_back(ready);
      }
    }
  }
  std::sort(out.begin(), out.end(), [](const ReadyStep& a, const ReadyStep& b) {
    return std::make_tuple(a.tier, a.queue->priority, a.latest_start,
                           a.job->id) <
           std::make_tuple(b.tier, b.queue->priority, b.latest_start,
                           b.job->id);
  });
  return out;
}

bool JobScheduler::IsAway(const ReadyStep& ready, Now now) {
  if (!ready.spec->lasting || ready.spec->gang) return false;
  const std::vector<TaskState>& tasks = ready.state->tasks;
  return std::any_of(tasks.begin(), tasks.end(), [&](const TaskState& task) {
    return (task.run > 0 || ready.job->recovered) && MayTry(ready, task, now) &&
           now.mono - task.retry_at > kAwayTolerated;
  });
}

int32_t JobScheduler::SoonLost(const StepSpec& spec, const StepState& step,
                               Now now) const {
  if (!spec.lasting || spec.gang) return 0;
  int32_t soon = 0;
  for (const TaskState& task : step.tasks) {
    const auto worker = workers_.find(task.worker);
    if (worker == workers_.end()) continue;
    const Worker& on = *worker->second;
    if (on.failed_observations > 0 && now.mono > on.lapse_at - kPrepareBefore)
      ++soon;
  }
  return soon;
}

void JobScheduler::TellBacklog(const std::vector<ReadyStep>& ready, Now now) {
  Backlog backlog;
  backlog.all = figures_.ready_tasks;
  for (const ReadyStep& step : ready) {
    if (step.tier == 0) backlog.timely[step.queue->priority] += step.waiting;
  }
  const int64_t started = figures_.starts - starts_at_last_look_;
  starts_at_last_look_ = figures_.starts;
  admission_.OnLook(std::move(backlog), started, now.mono);
}

void JobScheduler::CountLook(const std::vector<ReadyStep>& ready, Now now) {
  ++figures_.looks;
  figures_.steps_looked_at += static_cast<int64_t>(ready.size());
  const auto late = std::count_if(ready.begin(), ready.end(), IsLate);
  late_wait_ = late > kFewLateSteps && now.mono < next_late_look_;
  if (late_wait_) return;
  figures_.late_steps_looked_at += late;
  next_late_look_ = now.mono + kLateLookEvery;
}

bool JobScheduler::IsLate(const ReadyStep& ready) { return ready.tier > 0; }

// A gang of which a part is placed holds up what it has; what lasts serves
// users of its own.
bool JobScheduler::MayWait(const ReadyStep& ready) {
  const bool begun = ready.spec->gang && ready.waiting < ready.spec->count;
  return IsLate(ready) && !begun && !ready.spec->lasting;
}

std::vector<int32_t> JobScheduler::OnLeavingWorkers(
    const StepSpec& spec, const StepState& step) const {
  std::vector<int32_t> out;
  if (!spec.lasting || spec.gang) return out;
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    const TaskState& task = step.tasks[i];
    if (task.phase != TaskPhase::kRunning) continue;
    const auto worker = workers_.find(task.worker);
    if (worker != workers_.end() && worker->second->record.draining)
      out.push_back(static_cast<int32_t>(i));
  }
  return out;
}

// A task that lasts would run on until its worker is gone, and then be away for
// the worker's lease (9.7 s, seen where leases are of 9 s): the leader cannot
// tell a worker that has left from one that is cut off. Stopped while the
// worker still answers, it is away for the stop and a start.
void JobScheduler::MoveFromLeavingWorker(ReadyStep& ready, Now now) {
  const std::vector<int32_t> leaving =
      OnLeavingWorkers(*ready.spec, *ready.state);
  if (leaving.empty()) return;
  for (Worker* to : WorkersFor(ready, now)) {
    if (Fits(*to, ready, RoomOn(*to)) < 1) continue;
    const TaskState& task =
        ready.state->tasks[static_cast<size_t>(leaving.front())];
    const TaskId id{ready.job->id, ready.round->number, ready.number,
                    leaving.front()};
    Explain("task_moves", {{"task", TaskIdText(id)},
                           {"run", absl::StrCat(task.run)},
                           {"worker", task.worker},
                           {"why", "its worker leaves"}});
    WantStop(*workers_.at(task.worker), {id, task.run});
    to->held += RoomNeeded(*ready.spec);
    return;
  }
}

const JobTimes& JobScheduler::TimesOfJob(const Job& job, const Queue& queue) {
  const auto known = job_times_.find(job.id);
  if (known != job_times_.end()) return known->second;
  return job_times_.emplace(job.id, TimesOf(job.spec, queue)).first->second;
}

void JobScheduler::PlaceAll(Now now) {
  if (configuration_ == nullptr || suspended_) return;
  if (std::exchange(attempts_unchecked_, false)) FailUsedUp(now);
  if (!placements_adopted_ && AllAccountedFor(now)) AdoptPlacements();
  std::vector<ReadyStep> ready = CollectReady(now);
  ExplainRecovery(now);
  ready_steps_ = ready.size();
  TellBacklog(ready, now);
  CountLook(ready, now);
  no_placement_before_ = now.mono + kPlacementPause +
                         kPauseOfStep * static_cast<double>(ready.size());
  const bool late = lag_ > kLate;
  if (late)
    no_placement_before_ =
        std::max(no_placement_before_, now.mono + lag_ * kPauseOfLag);
  starts_left_ = late ? kMostStartsWhenLate : kMostStarts;
  advice_searches_left_ = kMostAdviceSearches;
  calls_beside_left_ = CallsBesideLeft(ready);
  short_advisers_busy_ = false;
  long_advisers_busy_ = false;
  const Resources most_free = MostFree();
  // Steps behind those that will fill all free room of their pool do not ask
  // for advice: their answers would be stale before there is room for them.
  std::map<std::string, PoolRoom> pools = PoolRooms();
  for (auto& [id, worker] : workers_) worker->held = Resources();
  const auto workers = static_cast<double>(workers_.size());
  behind_ = ready_steps_ > kStepsBehind &&
            static_cast<double>(ready_steps_) > kStepsBehindShare * workers;
  RoomKept kept;
  figures_.gangs_waiting = 0;
  figures_.steps_not_asking = 0;
  for (ReadyStep& step : ready) {
    // Nothing that is ordered behind can be started or asked about now.
    if (starts_left_ <= 0 && advice_searches_left_ <= 0) {
      placement_wanted_ = true;
      break;
    }
    if (late_wait_ && MayWait(step)) {
      HoldAgain(step);
      continue;
    }
    const Resources need = RoomNeeded(*step.spec);
    PoolRoom& pool = pools[step.queue->pool];
    step.pool_workers = pool.workers;
    if (step.prepares) {
      if (step.queue->advice.needed) EnsureSinglesAdvice(step, now);
      MoveFromLeavingWorker(step, now);
      continue;
    }
    if (step.spec->gang) {
      if (FinishGang(step, now)) continue;
      PlaceGang(step, now);
    } else if (need.FitsIn(most_free)) {
      PlaceSingles(step, now);
    } else {
      Block(step, "no worker has room");
    }
    if (step.waiting == 0) continue;
    if (step.spec->gang) ++figures_.gangs_waiting;
    step.pool_idles = pool.idles;
    KeepRoom(step, kept, now);
    AskFor(step, pool, now);
    pool.ask_for -= static_cast<double>(step.waiting) * need.cpu_milli;
  }
  figures_.gangs_holding = kept.gangs + kept.ready_gangs;
  ExplainWaiting(ready, now);
  // What fills free room as fast as it can be ordered goes on at once.
  if (starts_left_ <= 0) next_late_look_ = now.mono;
}

void JobScheduler::KeepRoom(ReadyStep& step, RoomKept& kept, Now now) {
  const bool gang = step.spec->gang;
  const bool others_hold = options_.policy.hold_room && (!behind_ || step.away);
  int& holding = gang ? kept.gangs : kept.others;
  const int most = gang          ? kMostGangsHolding
                   : others_hold ? kMostOthersHolding
                                 : 0;
  step.holds = holding < most;
  if (step.holds) {
    HoldRoom(step, now);
    ++holding;
  } else if (gang && step.pool_idles && kept.ready_gangs < kMostGangsReady) {
    step.holds = HoldWhatIsFree(step, now);
    if (step.holds) ++kept.ready_gangs;
  }
  // Room that it kept before is not its own any more.
  if (!step.holds) step.state->held.clear();
}

void JobScheduler::AskFor(ReadyStep& step, const PoolRoom& pool, Now now) {
  if (!step.queue->advice.needed) return;
  const bool idle_gang = step.spec->gang && pool.idles;
  if (!step.holds && !idle_gang && pool.ask_for <= 0) {
    ++figures_.steps_not_asking;
  } else if (step.spec->gang) {
    EnsureGangAdvice(step, now);
  } else {
    EnsureSinglesAdvice(step, now);
  }
}

Resources JobScheduler::MostFree() const {
  Resources most;
  for (const auto& [id, worker] : workers_) {
    const Resources& free = worker->free;
    most.cpu_milli = std::max(most.cpu_milli, free.cpu_milli);
    most.memory_mib = std::max(most.memory_mib, free.memory_mib);
    most.accelerators = std::max(most.accelerators, free.accelerators);
  }
  return most;
}

std::map<std::string, JobScheduler::PoolRoom> JobScheduler::PoolRooms() const {
  std::map<std::string, PoolRoom> pools;
  for (const auto& [id, worker] : workers_) {
    PoolRoom& pool = pools[worker->record.pool];
    ++pool.workers;
    pool.free_milli += std::max(0, worker->free.cpu_milli);
    pool.total_milli += worker->record.capacity.cpu_milli;
  }
  for (auto& [name, pool] : pools) {
    pool.ask_for = kAskedRoom * pool.free_milli;
    pool.idles = pool.free_milli > kIdleShare * pool.total_milli;
  }
  return pools;
}

void JobScheduler::Block(ReadyStep& ready, const char* why) {
  if (ready.state->blocked == why) return;
  ready.state->blocked = why;
  Explain("step_blocked", {{"job", JobIdText(ready.job->id)},
                           {"step", absl::StrCat(ready.number)},
                           {"waiting", absl::StrCat(ready.waiting)},
                           {"why", why}});
}

bool JobScheduler::MayRun(const Worker& worker, const ReadyStep& ready,
                          Now now) {
  ++figures_.workers_tried;
  const StepSpec& spec = *ready.spec;
  if (worker.record.pool != ready.queue->pool) return false;
  if (!worker.listed || worker.record.draining || worker.record_removed ||
      worker.known_at_batch > durable_batch_)
    return false;
  if (worker.unknown_sizes > 0 || IsOnProbation(worker)) return false;
  // It may just have been cut off: what is started there now is not heard of
  // until its lease has passed.
  if (options_.policy.settle_soon && worker.unanswered_since <= now.mono)
    return false;
  if (worker.suspect_until > now.mono || !Reachable(worker, now)) return false;
  const auto& labels = worker.record.labels;
  return spec.label.empty() ||
         std::find(labels.begin(), labels.end(), spec.label) != labels.end();
}

int32_t JobScheduler::PlacedOf(const Worker& worker,
                               const ReadyStep& ready) const {
  const auto begin = worker.occupants.lower_bound(
      {TaskId{ready.job->id, ready.round->number, ready.number, 0},
       std::numeric_limits<int32_t>::min()});
  int32_t placed = 0;
  for (auto it = begin; it != worker.occupants.end(); ++it) {
    const TaskId& task = it->first.first;
    if (task.job != ready.job->id || task.round != ready.round->number ||
        task.step != ready.number)
      break;
    ++placed;
  }
  return placed;
}

int32_t JobScheduler::Fits(const Worker& worker, const ReadyStep& ready,
                           const Resources& room) const {
  int32_t fits = TimesFits(RoomNeeded(*ready.spec), room, ready.spec->count);
  if (ready.spec->most_per_worker > 0)
    fits = std::min(fits, std::max(0, ready.spec->most_per_worker -
                                          PlacedOf(worker, ready)));
  return fits;
}

void JobScheduler::StartTask(ReadyStep& ready, int32_t index, int32_t run,
                             Worker& worker, Now now) {
  TaskState& task = ready.state->tasks[static_cast<size_t>(index)];
  const TaskId id{ready.job->id, ready.round->number, ready.number, index};
  Occupant& occupant = Occupy(worker, id, run, RoomNeeded(*ready.spec), now);
  const bool unseen = ready.job->recovered && !task.seen;
  task.phase = TaskPhase::kStarting;
  task.run = run;
  task.seen = true;
  task.worker = worker.record.id;
  StartAction action;
  action.worker = worker.record;
  action.order.task = id;
  action.order.run = run;
  action.order.payload = ready.job->spec.payload;
  action.order.checkpoint = task.checkpoint;
  action.order.fence = worker.fence;
  action.order.lease_until_ms = LeaseUntil(worker, now.mono);
  if (options_.policy.settle_soon)
    action.order.timeout = answer_times_.Patience();
  const auto ticket = ready.state->advice.tickets.find(worker.record.id);
  if (ready.queue->advice.needed && ticket != ready.state->advice.tickets.end())
    action.order.ticket = ticket->second.ticket;
  ++figures_.starts;
  ready.state->blocked.clear();
  --starts_left_;
  --ready.waiting;
  --figures_.ready_tasks;
  if (!task.exposed.worker.empty()) MarkDirty(*ready.job);
  task.exposed = ExposedRun();
  if (!WaitsForUnanswered(task, now))
    ForgetUnanswered(*ready.job, task, task.unanswered.run);
  if (unseen) NoteStartOfUnseen(ready, id, action, now);
  const bool kept =
      ready.job->HasPlacementsOf(static_cast<size_t>(ready.number)) ||
      MustBeOnRecord(ready, task);
  Explain(kept ? "start_kept" : "start_sent",
          {{"task", TaskIdText(id)},
           {"run", absl::StrCat(run)},
           {"worker", worker.record.id},
           {"waited_ms", absl::StrCat(absl::ToInt64Milliseconds(
                             now.mono - ready.state->ready_since))},
           {"free_cpu_milli", absl::StrCat(worker.free.cpu_milli)}});
  if (kept) return StartOnceDurable(*ready.job, task, std::move(action));
  occupant.ordered = now.mono;
  actions_.push_back(std::move(action));
}

std::vector<JobScheduler::Worker*> JobScheduler::WorkersFor(
    const ReadyStep& ready, Now now) {
  std::vector<Worker*> out;
  if (!ready.queue->advice.needed) {
    for (auto& [id, worker] : workers_) {
      if (MayRun(*worker, ready, now)) out.push_back(worker.get());
    }
    return out;
  }
  // Few workers have a ticket of the step: they are looked up, not searched.
  for (const auto& [id, ticket] : ready.state->advice.tickets) {
    if (!IsValid(ticket, now)) continue;
    const auto found = workers_.find(id);
    if (found != workers_.end() && MayRun(*found->second, ready, now))
      out.push_back(found->second.get());
  }
  std::sort(out.begin(), out.end(), [](const Worker* a, const Worker* b) {
    return a->record.id < b->record.id;
  });
  return out;
}

void JobScheduler::PlaceSingles(ReadyStep& ready, Now now) {
  int32_t may_start = MayStartOfSuspected(ready, now);
  if (may_start == 0)
    return Block(ready, "a worker crashed under it: one task is tried first");
  const std::vector<Worker*> usable = WorkersFor(ready, now);
  WorkerQuota quota = QuotaOf(ready, now);
  // Suspects first: what becomes of them tells most of the step.
  if (ready.state->crashed &&
      !PlaceTasks(ready, /*suspects=*/true, usable, quota, &may_start, now))
    return;
  PlaceTasks(ready, /*suspects=*/false, usable, quota, &may_start, now);
}

bool JobScheduler::PlaceTasks(ReadyStep& ready, bool suspects,
                              const std::vector<Worker*>& usable,
                              WorkerQuota& quota, int32_t* may_start, Now now) {
  for (int32_t index = 0; index < ready.spec->count && ready.waiting > 0;
       ++index) {
    if (*may_start <= 0) return false;
    if (starts_left_ <= 0) {
      placement_wanted_ = true;
      return false;
    }
    const TaskState& task = ready.state->tasks[static_cast<size_t>(index)];
    if (IsSuspect(ready, task) != suspects || !MayTry(ready, task, now))
      continue;
    const bool probe = suspects || ready.state->suspected;
    const bool bound = WaitsForUnanswered(task, now);
    Worker* worker = bound ? WorkerOfUnanswered(ready, task, now)
                           : BestWorker(ready, task, probe, usable, quota, now);
    if (worker == nullptr && bound) continue;
    if (worker == nullptr) {
      Block(ready, ready.state->advice.open > 0
                       ? "waits for advice"
                       : "no worker that may run it has "
                         "room");
      return false;
    }
    quota.used.insert(worker->record.id);
    StartTask(ready, index, std::max(task.run + 1, FirstRunOfEpoch(epoch_)),
              *worker, now);
    if (probe) PutOnProbation(ready, index, *worker, now);
    if (ready.state->suspected) --*may_start;
  }
  return true;
}

JobScheduler::Worker* JobScheduler::BestWorker(
    const ReadyStep& ready, const TaskState& task, bool probe,
    const std::vector<Worker*>& usable, const WorkerQuota& quota,
    Now now) const {
  Worker* best = nullptr;
  double best_score = 0;
  for (Worker* worker : usable) {
    if (IsOnProbation(*worker) || !quota.Allows(worker->record.id) ||
        Fits(*worker, ready, RoomOn(*worker)) < 1)
      continue;
    const double score =
        probe ? ProbeScore(*worker, now) : PlacementScore(*worker, ready, task);
    if (best != nullptr && score >= best_score) continue;
    best = worker;
    best_score = score;
  }
  return best;
}

double JobScheduler::PlacementScore(const Worker& worker,
                                    const ReadyStep& ready,
                                    const TaskState& task) {
  const Resources left = worker.free - ready.spec->need;
  // The fullest worker that fits, to keep room whole for wide tasks.
  double score = DominantShare(left, worker.record.capacity);
  if (!ready.spec->rack.empty() && worker.record.rack != ready.spec->rack)
    score += kElsewherePenalty;
  if (worker.record.id == task.failed_on) score += kFailedTherePenalty;
  if (!task.failed_runs.empty() && worker.failures_in_row > 0)
    score += kFailingPenalty;
  return score;
}

}  // namespace keelbridge
