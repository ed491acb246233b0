// Handles runs that are lost with their worker: determines what ended the
// worker and which of its tasks the loss is attributed to.
//
// Only a crash is attributed to a task: another incarnation answers at the
// machine of a worker that had not reported that it leaves. An unresponsive
// worker may be disconnected or suspended. When its lease expires, nothing is
// attributed to any task until a worker answers at its machine.

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/crash_verdict.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// Maximum number of log lines about the runs lost with one worker.
constexpr size_t kMaxLostRunLines = 32;
// A suspect task that has run for this long did not crash its worker by
// starting. Until then nothing else starts on that worker.
constexpr absl::Duration kProbationTime = absl::Milliseconds(500);
// How long one of the first tasks of a wide step has to run before the step may
// use more workers.
constexpr absl::Duration kProvingTime = absl::Milliseconds(300);
// The next incarnation of a crashed worker appears after some seconds. If the
// worker stays unreachable, the other tasks of the step wait no longer than
// this.
constexpr absl::Duration kProbeTimeout = absl::Seconds(4);
// Until one of its tasks has run for `kProvingTime`, a step may use at most
// this share of the pool's workers, or `kMinUnprovenWorkers` if that is more.
// If its tasks crash the workers that start them, most workers are left.
constexpr double kMaxUnprovenWorkerShare = 0.25;
constexpr int32_t kMinUnprovenWorkers = 2;
// From this number of crashes on, the next start of a task waits until the
// crashes are durable.
constexpr size_t kCrashesBeforeDurableStart = 2;
// Maximum number of starts of unobserved recovered tasks that one leader
// records.
constexpr int kMaxUnobservedStartRecords = 200;
// Penalties added to the used share of a worker (at most 1) when a worker is
// chosen for a suspect task: a long-running task runs there, the machine
// crashed recently (per crash), or another task has just started there.
constexpr double kLongRunningPenalty = 10;
constexpr double kMachineCrashPenalty = 2;
constexpr double kRecentStartPenalty = 1;
// Workers that are lost within this interval count as lost at the same time.
constexpr absl::Duration kConcurrentLossWindow = absl::Seconds(1);
// While more crashes are recent, the evidence that they give together is
// computed once a tick instead of at each further crash.
constexpr size_t kMaxCrashesRevisedAtOnce = 16;
// Maximum number of tasks of one step for which crashes, or runs that may have
// crashed their worker, are recorded. A few of them suffice to end the job, and
// the job's record stays small.
constexpr int kMaxCrashRecordsPerStep = 64;
// A job that lasts is not ended while others of its tasks are at work: a task
// that would be given up then starts again this long after its last crash
// became known. By the users' rule a task may be away for 6 s, and has then 3 s
// to start.
constexpr absl::Duration kCrashingStepPause = absl::Seconds(3);
// A task whose crashes were all on one machine starts again this long after the
// last one became known, so that a machine that goes down and up by turns has
// stayed up for a while.
constexpr absl::Duration kSuspectMachinePause = kSuspectCrashWindow;
// Maximum number of crashes that are kept of a long-running task.
constexpr size_t kMaxCrashesOfLongRunningTask = 8;

TaskId StepIdOf(TaskId task) {
  task.index = 0;
  return task;
}

bool IsOfStep(const TaskId& task, const TaskId& step) {
  return task.job == step.job && task.round == step.round &&
         task.step == step.step;
}

template <typename Counted>
bool CrashRecordsFull(const StepState& step, Counted counted) {
  return std::count_if(step.tasks.begin(), step.tasks.end(), counted) >=
         kMaxCrashRecordsPerStep;
}

// Returns since when the worker may be lost: the time of the first unanswered
// observation or order.
absl::Time LostSince(const ScheduledWorker& worker, Now now) {
  return std::min({now.mono, worker.failing_since, worker.unanswered_since});
}

absl::Duration RunDurationUntil(const Allocation& allocation, absl::Time lost) {
  return std::max(absl::ZeroDuration(), lost - allocation.placed);
}

}  // namespace

// A leader that was suspended may discover at the same time that the lease has
// expired and that another incarnation answers.
bool JobScheduler::AnotherIncarnationAnswered(const Worker& worker) const {
  if (worker.record.draining) return false;
  const auto found = by_machine_.find(worker.record.machine);
  if (found == by_machine_.end()) return false;
  const std::vector<Worker*>& at_machine = found->second;
  return std::any_of(
      at_machine.begin(), at_machine.end(), [&](const Worker* other) {
        return other != &worker && other->last_answer > worker.last_answer;
      });
}

void JobScheduler::HandleWorkerLoss(Worker& worker, WorkerLoss loss,
                                    Worker* next, Now now) {
  WorkerCrash crash;
  crash.lost = LostSince(worker, now);
  const bool crashed = loss == WorkerLoss::kCrash &&
                       (worker.reported || worker.known_to_earlier_leader);
  if (crashed) {
    crash.earlier_machine_crashes =
        RecordCrash(worker, worker.allocations, crash.lost);
    AttributeUnobservedCrash(worker, now);
    unrevised_losses_.push_back(crash.lost);
    if (recent_crashes_.size() <= kMaxCrashesRevisedAtOnce)
      ReviseAttributions();
  }
  if (worker.allocations.empty()) return;
  crash.criteria = FindSuspectCriteria(worker.allocations, crash.lost, now);
  LogDecision(
      "runs_lost",
      {{"worker", worker.record.id},
       {"machine", worker.record.machine},
       {"why", WorkerLossName(loss)},
       {"runs", absl::StrCat(worker.allocations.size())},
       {"lost_ms_ago",
        absl::StrCat(absl::ToInt64Milliseconds(now.mono - crash.lost))}},
      Severity::kWarning);
  const auto allocations = std::move(worker.allocations);
  worker.allocations.clear();
  worker.runs_of_unknown_size = 0;
  worker.stopping = Resources();
  size_t line_count = 0;
  for (const auto& [key, allocation] : allocations) {
    if (line_count++ < kMaxLostRunLines)
      ExplainLostRun(worker, key, allocation, allocations.size() - 1,
                     crash.lost, now);
    worker.free += allocation.need;
    accounts_.usage.Remove(allocation.account, allocation.account_need);
    work_admission_.rate().RemoveRun(allocation.counted);
  }
  CountCapacity(worker);
  if (loss == WorkerLoss::kUnresponsive)
    RecordUnresponsiveLoss(worker, allocations, crash, now);
  for (const auto& lost : allocations) {
    if (!crashed) break;
    VisitOpenTask(lost.first.first, [&](const FoundTask& found) {
      AttributeCrash(found, worker, lost.first.second, allocations, crash, now);
    });
  }
  for (const auto& [key, allocation] : allocations) {
    if (next != nullptr && MayRunOnNextIncarnation(worker, allocation))
      MoveToNextIncarnation(worker, *next, key, allocation, now);
    else
      AbandonRun(worker, key, allocation, now);
  }
}

// Whether the worker crashed is known only when another incarnation answers at
// its machine.
void JobScheduler::RecordUnresponsiveLoss(const Worker& worker,
                                          const Allocations& runs,
                                          const WorkerCrash& crash, Now now) {
  if (worker.record.draining || worker.record.machine.empty()) return;
  UnresponsiveLoss loss;
  loss.worker = worker.record.id;
  for (const auto& [key, allocation] : runs) {
    const absl::Duration ran = RunDurationUntil(allocation, crash.lost);
    if (allocation.adopted || ran >= kSuspectCrashWindow ||
        !IsSuspectRun(allocation, crash.lost, crash.criteria, now))
      continue;
    CrashContext context;
    context.run_workers = CountWorkersOfRun(key);
    loss.runs.push_back(
        {key.first,
         {key.second, absl::ToInt64Milliseconds(ran),
          ChanceCrashProbability(ran, context),
          allocation.start_answered <= now.mono, worker.record.machine}});
  }
  unresponsive_losses_[worker.record.machine] = std::move(loss);
}

void JobScheduler::AttributeUnresponsiveLosses(const Worker& answering,
                                               Now now) {
  const auto found = unresponsive_losses_.find(answering.record.machine);
  if (found == unresponsive_losses_.end()) return;
  const UnresponsiveLoss loss = std::move(found->second);
  unresponsive_losses_.erase(found);
  // The same incarnation answers again: the worker was only unresponsive.
  if (loss.worker == answering.record.id) return;
  for (const auto& lost : loss.runs) {
    VisitOpenTask(lost.first, [&](const FoundTask& found) {
      if (found.task.phase != TaskPhase::kDone)
        AddTaskCrash(found, lost.second, loss.worker, now);
    });
  }
}

// A run that an earlier leader started counts as on one worker.
int JobScheduler::CountWorkersOfRun(const RunKey& key) {
  int workers = 1;
  VisitOpenTask(key.first, [&](const FoundTask& found) {
    if (found.step.gang_run == key.second)
      workers = static_cast<int>(found.step.gang_workers.size());
  });
  return workers;
}

// A suspect task had just been started on the worker. The loss is evidence
// against that task, not against the machine or the site.
bool JobScheduler::IsCausedBySuspect(const Worker& worker, absl::Time lost) {
  return worker.probation_until > absl::InfinitePast() &&
         lost - (worker.probation_until - kProbationTime) < kSuspectCrashWindow;
}

int JobScheduler::RecordCrash(const Worker& worker, const Allocations& runs,
                              absl::Time lost) {
  const bool caused_by_suspect = IsCausedBySuspect(worker, lost);
  while (!recent_crashes_.empty() &&
         recent_crashes_.front().lost < lost - kMachineCrashWindow)
    recent_crashes_.pop_front();
  const auto earlier = std::count_if(
      recent_crashes_.begin(), recent_crashes_.end(),
      [&](const PastCrash& past) {
        return past.machine == worker.record.machine && !past.caused_by_suspect;
      });
  PastCrash past{
      lost, worker.record.id, worker.record.machine, caused_by_suspect, {}, {}};
  for (const auto& [key, allocation] : runs)
    past.steps.insert(StepIdOf(key.first));
  const auto crash_suspect = crash_suspects_.find(worker.record.id);
  if (crash_suspect != crash_suspects_.end()) {
    for (const TaskId& task : crash_suspect->second)
      past.steps.insert(StepIdOf(task));
  }
  recent_crashes_.push_back(std::move(past));
  return static_cast<int>(earlier);
}

// Counts workers that crashed and workers that are unresponsive and may have
// crashed.
int JobScheduler::CountConcurrentLosses(const TaskId& step,
                                        const std::string& worker_id,
                                        absl::Time lost) {
  const auto is_concurrent = [&](absl::Time other) {
    return absl::AbsDuration(other - lost) < kConcurrentLossWindow;
  };
  std::set<std::string> others;
  for (const PastCrash& past : recent_crashes_) {
    if (is_concurrent(past.lost) && !past.caused_by_suspect &&
        past.steps.count(step) == 0)
      others.insert(past.worker);
  }
  figures_.losses_compared +=
      static_cast<int64_t>(recent_crashes_.size() + failing_workers_.size());
  for (const Worker* other : failing_workers_) {
    if (!is_concurrent(other->failing_since) ||
        IsCausedBySuspect(*other, other->failing_since))
      continue;
    const bool ran_it = std::any_of(
        other->allocations.begin(), other->allocations.end(),
        [&](const auto& run) { return IsOfStep(run.first.first, step); });
    if (!ran_it) others.insert(other->record.id);
  }
  others.erase(worker_id);
  return static_cast<int>(others.size());
}

// A run that began just before the crash is by far the likelier cause, so runs
// that began earlier are not blamed. Otherwise sound long-running tasks that
// share workers with crashing tasks would accumulate crashes.
SuspectCriteria JobScheduler::FindSuspectCriteria(const Allocations& runs,
                                                  absl::Time lost, Now now) {
  absl::Duration latest = absl::InfiniteDuration();
  for (const auto& [key, run] : runs) {
    if (run.start_answered <= now.mono && !run.adopted)
      latest = std::min(latest, RunDurationUntil(run, lost));
  }
  SuspectCriteria out;
  if (latest >= kSuspectCrashWindow) return out;
  out.begun_only = true;
  out.max_run_duration = latest + kProbationTime;
  return out;
}

bool JobScheduler::IsSuspectRun(const Allocation& allocation, absl::Time lost,
                                const SuspectCriteria& criteria, Now now) {
  const bool begun = allocation.start_answered <= now.mono;
  // A run that was ordered after the worker was lost never began. If another
  // run is a better suspect, a run whose start is unconfirmed most likely did
  // not begin either.
  if (!begun && (allocation.placed >= lost || criteria.begun_only))
    return false;
  return RunDurationUntil(allocation, lost) < criteria.max_run_duration;
}

void JobScheduler::AttributeCrash(const FoundTask& found, const Worker& worker,
                                  int32_t run, const Allocations& runs,
                                  const WorkerCrash& crash, Now now) {
  const TaskState& task = found.task;
  const bool current = task.run == run && task.worker == worker.record.id &&
                       task.phase != TaskPhase::kDone;
  if (!current) return;
  const RunKey key{found.id, run};
  const Allocation& allocation = runs.at(key);
  const CrashSuspect& crash_suspect = task.crash_suspect;
  const bool recorded_before =
      crash_suspect.worker == worker.record.id && crash_suspect.run == run;
  // The run has outlived a change of leader, so its running time is unknown.
  if (allocation.adopted && !recorded_before) return;
  CrashedRun crashed_run;
  crashed_run.run = run;
  crashed_run.begun = allocation.start_answered <= now.mono;
  crashed_run.machine = worker.record.machine;
  if (!IsSuspectRun(allocation, crash.lost, crash.criteria, now)) return;
  crashed_run.ran_ms =
      allocation.adopted
          ? std::max<int64_t>(0, ToMillis(now.wall) - crash_suspect.since_ms)
          : absl::ToInt64Milliseconds(RunDurationUntil(allocation, crash.lost));
  const TaskId step = StepIdOf(found.id);
  CrashContext context;
  context.earlier_machine_crashes = crash.earlier_machine_crashes;
  context.recent_other_crashes = static_cast<int>(std::count_if(
      recent_crashes_.begin(), recent_crashes_.end(),
      [&](const PastCrash& past) {
        return past.lost > crash.lost - kSiteCrashWindow &&
               !past.caused_by_suspect && past.worker != worker.record.id &&
               past.steps.count(step) == 0;
      }));
  context.concurrent_other_losses =
      CountConcurrentLosses(step, worker.record.id, crash.lost);
  context.site_workers = static_cast<int>(workers_.size());
  context.run_workers = CountWorkersOfRun(key);
  crashed_run.chance =
      ChanceCrashProbability(absl::Milliseconds(crashed_run.ran_ms), context);
  recent_crashes_.back().attributions.push_back(
      {found.id, crashed_run.run, absl::Milliseconds(crashed_run.ran_ms),
       context});
  AddTaskCrash(found, crashed_run, worker.record.id, now);
}

void JobScheduler::ReviseAttributions() {
  const std::vector<absl::Time> losses = std::exchange(unrevised_losses_, {});
  if (losses.empty()) return;
  for (const PastCrash& past : recent_crashes_) {
    const bool concurrent = std::any_of(
        losses.begin(), losses.end(), [&past](const absl::Time lost) {
          return absl::AbsDuration(past.lost - lost) < kConcurrentLossWindow;
        });
    if (!concurrent) continue;
    for (const CrashAttribution& attribution : past.attributions) {
      VisitOpenTask(attribution.task, [&](const FoundTask& found) {
        ReviseAttribution(found, attribution, past);
      });
    }
  }
}

void JobScheduler::ReviseAttribution(const FoundTask& found,
                                     const CrashAttribution& attribution,
                                     const PastCrash& past) {
  CrashContext context = attribution.context;
  context.concurrent_other_losses =
      CountConcurrentLosses(StepIdOf(found.id), past.worker, past.lost);
  const double chance = ChanceCrashProbability(attribution.ran, context);
  for (CrashedRun& crash : found.history().crashes) {
    if (crash.run != attribution.run || crash.chance >= chance) continue;
    crash.chance = chance;
    MarkDirty(found.job);
  }
}

void JobScheduler::AddTaskCrash(const FoundTask& found, CrashedRun crash,
                                const std::string& worker, Now now) {
  const auto& [id, job, step, task, spec] = found;
  TaskState& history = found.history();
  if (task.crash_suspect.run == crash.run) task.crash_suspect = CrashSuspect();
  MarkDirty(job);
  if (absl::Milliseconds(crash.ran_ms) >= kSoundRunDuration) {
    history.crashes.clear();
    return;
  }
  const auto same_run =
      std::find_if(history.crashes.begin(), history.crashes.end(),
                   [&](const CrashedRun& c) { return c.run == crash.run; });
  if (same_run != history.crashes.end()) {
    // The losses of several workers during one run of a gang count as one
    // crash, since a single other gang may have run on all of them.
    same_run->begun = same_run->begun || crash.begun;
  } else if (!history.crashes.empty() ||
             !CrashRecordsFull(
                 step, [](const TaskState& t) { return !t.crashes.empty(); })) {
    history.crashes.push_back(crash);
    step.crashed = true;
  }
  if (absl::Milliseconds(crash.ran_ms) < kSuspectCrashWindow) {
    step.suspected = true;
    step.proven = false;
  }
  if (spec.long_running &&
      history.crashes.size() > kMaxCrashesOfLongRunningTask)
    history.crashes.erase(history.crashes.begin());
  const CrashVerdict verdict = JudgeCrashes(history.crashes);
  const bool spared =
      verdict == CrashVerdict::kGiveUp && HasSoundSibling(found, now);
  const bool given_up = verdict == CrashVerdict::kGiveUp && !spared;
  const bool pauses = spared || verdict == CrashVerdict::kTryAgainLater;
  if (spared) step.paused_until = now.mono + kCrashingStepPause;
  if (verdict == CrashVerdict::kTryAgainLater)
    step.paused_until = now.mono + kSuspectMachinePause;
  LogDecision("crash_held_against_task",
              {{"task", TaskIdText(id)},
               {"run", absl::StrCat(crash.run)},
               {"worker", worker},
               {"ran_ms", absl::StrCat(crash.ran_ms)},
               {"evidence", DescribeCrashes(history.crashes)},
               {"verdict", given_up ? "given up"
                           : pauses ? "to be tried again after a pause"
                                    : "to be tried again"}},
              Severity::kWarning);
  if (!given_up) return;
  EndJob(job, JobState::kFailed,
         absl::StrCat("task ", TaskIdText(id),
                      " crashes the workers that start it: ",
                      DescribeCrashes(history.crashes), ", last on ", worker),
         now);
}

bool JobScheduler::HasSoundSibling(const FoundTask& found, Now now) {
  // The members of a gang run together, and end with each other.
  if (!found.spec.long_running || found.spec.gang) return false;
  TaskId sibling = found.id;
  sibling.index = 0;
  for (const TaskState& task : found.step.tasks) {
    if (&task != &found.task &&
        HasRunFor(task, sibling, kSuspectCrashWindow, now))
      return true;
    ++sibling.index;
  }
  return false;
}

// A leader that is replaced before another incarnation answers cannot attribute
// the crash. Its successor does so from the durable record.
void JobScheduler::AttributeUnobservedCrash(const Worker& worker, Now now) {
  const auto crash_suspect = crash_suspects_.find(worker.record.id);
  if (crash_suspect == crash_suspects_.end()) return;
  const std::vector<TaskId> tasks = std::move(crash_suspect->second);
  crash_suspects_.erase(crash_suspect);
  for (const TaskId& id : tasks) {
    VisitOpenTask(id, [&](const FoundTask& found) {
      AttributeCrashToSuspect(found, worker, now);
    });
  }
}

void JobScheduler::AttributeCrashToSuspect(const FoundTask& found,
                                           const Worker& worker, Now now) {
  const TaskState& task = found.task;
  const CrashSuspect& run = task.crash_suspect;
  if (task.phase != TaskPhase::kWaiting || task.observed ||
      run.worker != worker.record.id)
    return;
  CrashedRun crash;
  crash.run = run.run;
  crash.begun = run.begun;
  crash.machine = worker.record.machine;
  crash.ran_ms = run.ran_ms >= 0
                     ? run.ran_ms
                     : std::max<int64_t>(0, ToMillis(now.wall) - run.since_ms);
  PastCrash& past = recent_crashes_.back();
  CrashContext context;
  context.site_workers = static_cast<int>(workers_.size());
  context.concurrent_other_losses =
      CountConcurrentLosses(StepIdOf(found.id), worker.record.id, past.lost);
  const absl::Duration ran = absl::Milliseconds(crash.ran_ms);
  crash.chance = ChanceCrashProbability(ran, context);
  past.attributions.push_back({found.id, crash.run, ran, context});
  AddTaskCrash(found, crash, worker.record.id, now);
}

void JobScheduler::LoadCrashSuspects() {
  for (const auto& [id, job] : active_) {
    for (Round& round : job->rounds) {
      for (size_t s = 0; s < round.steps.size(); ++s) {
        StepState& step = round.steps[s];
        for (size_t i = 0; i < step.tasks.size(); ++i) {
          const TaskState& task = step.tasks[i];
          step.crashed = step.crashed || !task.crashes.empty();
          step.suspected = step.crashed;
          if (task.crash_suspect.worker.empty()) continue;
          crash_suspects_[task.crash_suspect.worker].push_back(
              {id, round.number, static_cast<int32_t>(s),
               static_cast<int32_t>(i)});
        }
      }
    }
  }
}

void JobScheduler::RecordCrashSuspect(const FoundTask& found,
                                      CrashSuspect run) {
  const bool full = found.task.crash_suspect.worker.empty() &&
                    CrashRecordsFull(found.step, [](const TaskState& t) {
                      return !t.crash_suspect.worker.empty();
                    });
  if (full) return;
  found.task.crash_suspect = std::move(run);
  MarkDirty(found.job);
}

// A leader that is lost together with the worker, before any sign of the crash,
// leaves no record of the crash, and its successor cannot determine which task
// caused it. Once it learns of such a crash, the successor therefore records
// each start of a recovered task that it has not observed. If it is lost in the
// same way, the next leader knows the task.
void JobScheduler::RecordUnobservedStart(const FoundTask& found,
                                         const StartAction& action, Now now) {
  if (!unobserved_worker_crashed_ ||
      unobserved_starts_recorded_ >= kMaxUnobservedStartRecords)
    return;
  ++unobserved_starts_recorded_;
  RecordCrashSuspect(found, {action.worker.id, action.order.run,
                             ToMillis(now.wall), -1, false});
}

// Another leader may have to determine later what crashed the worker, so the
// runs that began there recently are recorded.
void JobScheduler::RecordUnresponsiveness(Worker& worker, Now now) {
  if (worker.record.draining) return;
  const absl::Time lost = LostSince(worker, now);
  const SuspectCriteria criteria =
      FindSuspectCriteria(worker.allocations, lost, now);
  for (const auto& one : worker.allocations) {
    const auto& [task, run] = one.first;
    const Allocation& allocation = one.second;
    const absl::Duration ran = RunDurationUntil(allocation, lost);
    if (allocation.adopted || ran >= kSuspectCrashWindow ||
        !IsSuspectRun(allocation, lost, criteria, now))
      continue;
    const bool begun = allocation.start_answered <= now.mono;
    const CrashSuspect suspect{
        worker.record.id, run,
        ToMillis(now.wall - (now.mono - allocation.placed)),
        absl::ToInt64Milliseconds(ran), begun};
    VisitOpenTask(task, [&](const FoundTask& found) {
      if (found.task.run == suspect.run &&
          found.task.worker == worker.record.id)
        RecordCrashSuspect(found, suspect);
    });
  }
}

bool JobScheduler::IsSuspectTask(const ReadyStep& ready,
                                 const TaskState& task) {
  const TaskState& history =
      ready.spec->gang ? ready.state->tasks.front() : task;
  return !history.crashes.empty();
}

// If such a task could start while the store is unavailable, its latest crashes
// would be recorded nowhere, and a later leader would repeat the starts from an
// older record.
bool JobScheduler::MustBeDurable(const ReadyStep& ready,
                                 const TaskState& task) {
  const TaskState& history =
      ready.spec->gang ? ready.state->tasks.front() : task;
  return history.crashes.size() >= kCrashesBeforeDurableStart;
}

// A worker that crashed without closing its connections is noticed only when an
// observation fails. Therefore only an answer that the worker sent after
// `since`, not an order sent to it, shows that it is alive.
bool JobScheduler::AnsweredSince(Worker& worker, absl::Time since, Now now) {
  if (worker.last_answer >= since) return true;
  if (now.mono >= since && worker.last_observation_sent < since) {
    worker.observe_now = true;
    ScheduleCheck(worker);
  }
  return false;
}

bool JobScheduler::HasRunFor(const TaskState& task, const TaskId& id,
                             absl::Duration time, Now now) {
  if (task.phase == TaskPhase::kDone) return true;
  if (task.phase != TaskPhase::kRunning) return false;
  const auto worker = workers_.find(task.worker);
  if (worker == workers_.end()) return false;
  const auto run = worker->second->allocations.find({id, task.run});
  return run != worker->second->allocations.end() &&
         AnsweredSince(*worker->second, run->second.placed + time, now);
}

bool JobScheduler::IsOnProbation(const Worker& worker) {
  return worker.last_answer < worker.probation_until;
}

int32_t JobScheduler::SuspectStartLimit(ReadyStep& ready, Now now) {
  StepState& step = *ready.state;
  if (!step.suspected) return std::numeric_limits<int32_t>::max();
  if (step.probe_task >= 0) {
    const TaskState& task = step.tasks[static_cast<size_t>(step.probe_task)];
    if (HasRunFor(task, ready.IdOf(task), kProbationTime, now)) {
      step.suspected = false;
      step.probe_task = -1;
      return std::numeric_limits<int32_t>::max();
    }
    const bool open = task.phase != TaskPhase::kWaiting &&
                      now.mono < step.probe_ends_at + kProbeTimeout;
    if (open) return 0;
    step.probe_task = -1;
  }
  return 1;
}

// Without the quota a step whose tasks crash their workers could take down all
// workers before the first crash is detected.
WorkerQuota JobScheduler::ComputeWorkerQuota(ReadyStep& ready, Now now) {
  StepState& step = *ready.state;
  WorkerQuota quota;
  const int32_t max_workers = std::max(
      kMinUnprovenWorkers,
      static_cast<int32_t>(kMaxUnprovenWorkerShare * ready.pool_workers));
  if (step.proven || ready.spec->count <= max_workers) return quota;
  for (size_t i = 0; i < step.tasks.size() && !step.proven; ++i) {
    step.proven = HasRunFor(step.tasks[i], ready.IdAt(i), kProvingTime, now);
    if (!step.tasks[i].worker.empty()) quota.used.insert(step.tasks[i].worker);
  }
  if (step.proven) return WorkerQuota();
  quota.max_workers = max_workers;
  return quota;
}

double JobScheduler::ProbeScore(const Worker& worker, Now now) const {
  const Resources used = worker.record.capacity - worker.free;
  double score = DominantShare(used, worker.record.capacity);
  const auto is_long_running = [&](const auto& run) {
    const auto job = jobs_.find(run.first.first.job);
    return job != jobs_.end() && job->second->HasLongRunningStep();
  };
  if (std::any_of(worker.allocations.begin(), worker.allocations.end(),
                  is_long_running))
    score += kLongRunningPenalty;
  const auto is_recent = [&](const auto& run) {
    return now.mono - run.second.placed < kProbationTime;
  };
  if (std::any_of(worker.allocations.begin(), worker.allocations.end(),
                  is_recent))
    score += kRecentStartPenalty;
  const auto crashes =
      std::count_if(recent_crashes_.begin(), recent_crashes_.end(),
                    [&](const PastCrash& past) {
                      return past.machine == worker.record.machine;
                    });
  return score + kMachineCrashPenalty * static_cast<double>(crashes);
}

void JobScheduler::PutOnProbation(ReadyStep& ready, int32_t index,
                                  Worker& worker, Now now) {
  const FoundTask found = ready.TaskAt(static_cast<size_t>(index));
  worker.probation_until = now.mono + kProbationTime;
  if (ready.state->suspected && !ready.spec->gang) {
    ready.state->probe_task = index;
    ready.state->probe_ends_at = worker.probation_until;
  }
  RecordCrashSuspect(
      found, {worker.record.id, found.task.run, ToMillis(now.wall), -1, false});
  LogDecision("start_on_probation",
              {{"task", TaskIdText(found.id)},
               {"run", absl::StrCat(found.task.run)},
               {"worker", worker.record.id},
               {"beside", absl::StrCat(worker.allocations.size() - 1)}});
}

void JobScheduler::ClearUnresponsiveness(Worker& worker) {
  if (worker.failing_since == absl::InfiniteFuture()) return;
  worker.failing_since = absl::InfiniteFuture();
  failing_workers_.erase(&worker);
  for (const auto& one : worker.allocations) {
    VisitOpenTask(one.first.first, [&](const FoundTask& found) {
      CrashSuspect& suspect = found.task.crash_suspect;
      if (suspect.worker != worker.record.id || suspect.ran_ms < 0) return;
      suspect.ran_ms = -1;
      MarkDirty(found.job);
    });
  }
}

void JobScheduler::ExplainLostRun(const Worker& worker, const RunKey& key,
                                  const Allocation& allocation,
                                  size_t co_located_runs, absl::Time lost,
                                  Now now) {
  const bool begun = allocation.start_answered <= now.mono;
  LogDecision("run_lost", {{"task", TaskIdText(key.first)},
                           {"run", absl::StrCat(key.second)},
                           {"worker", worker.record.id},
                           {"began", begun ? "yes" : "not known"},
                           {"ran_ms", absl::StrCat(absl::ToInt64Milliseconds(
                                          RunDurationUntil(allocation, lost)))},
                           {"beside", absl::StrCat(co_located_runs)}});
}

}  // namespace keelbridge
