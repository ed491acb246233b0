// Runs that are lost with their worker, what ended it, and what of that is held
// against their tasks.
//
// Only a crash is: another life at the machine of a worker that had not said
// that it leaves. A worker that is silent may be cut off or suspended: when its
// lease has passed, nothing is held against anyone until its machine answers.

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/crash_verdict.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// Lines for the log about runs lost with one worker, at most.
constexpr size_t kMostRunLines = 32;
// A task under suspicion that has been at work for this long did not crash its
// worker by its start: until then nothing else starts there.
constexpr absl::Duration kProbation = absl::Milliseconds(500);
// The same for the first tasks of a wide step, of which nothing is known.
constexpr absl::Duration kProving = absl::Milliseconds(300);
// A crashed worker's next life comes after some seconds. One that stays away
// does not keep the step's other tasks for longer than this.
constexpr absl::Duration kProbePatience = absl::Seconds(4);
// Of the pool's workers, what a step may take before one of its tasks was at
// work for a while, and at least so many: if they crash what they start on,
// most workers are left.
constexpr double kUnprovenShare = 0.25;
constexpr int32_t kFewestUnproven = 2;
// After so many crashes the next start waits until they are on record.
constexpr size_t kCrashesByMemory = 2;
// Starts of recovered work that one leader puts on record so, at most.
constexpr int kMostUnseenNoted = 200;
// What is added to the used share of a worker, which is at most 1, when a task
// under suspicion might go there.
constexpr double kLastingBeside = 10;
constexpr double kWornMachine = 2;
constexpr double kFreshBeside = 1;
// Workers that are lost within this of each other are lost at once.
constexpr absl::Duration kAtOnce = absl::Seconds(1);
// Tasks of one step of which crashes, or runs that may crash, are on record at
// most: some are enough to end its job, and a record stays small.
constexpr int kMostAccounts = 64;

TaskId StepOf(TaskId task) {
  task.index = 0;
  return task;
}

bool IsOfStep(const TaskId& task, const TaskId& step) {
  return task.job == step.job && task.round == step.round &&
         task.step == step.step;
}

template <typename Counted>
bool AccountsFull(const StepState& step, Counted counted) {
  return std::count_if(step.tasks.begin(), step.tasks.end(), counted) >=
         kMostAccounts;
}

}  // namespace

const char* WorkerLossName(WorkerLoss loss) {
  switch (loss) {
    case WorkerLoss::kCrash:
      return "it crashed: another life answered";
    case WorkerLoss::kLeft:
      return "it left: another life answered";
    case WorkerLoss::kSilence:
      return "its lease has passed without an answer";
  }
  return "";
}

// A leader that stood still finds both at once, that the lease has passed and
// that another life answers.
bool JobScheduler::AnotherLifeAnswered(const Worker& worker) const {
  if (worker.record.draining || worker.record.machine.empty()) return false;
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const Worker& other = *entry.second;
    return other.record.machine == worker.record.machine &&
           other.record.id != worker.record.id &&
           other.last_answer > worker.last_answer;
  });
}

absl::Time JobScheduler::LostSince(const Worker& worker, Now now) {
  return std::min({now.mono, worker.lost_since, worker.unanswered_since});
}

void JobScheduler::LoseAll(Worker& worker, WorkerLoss loss, Worker* next,
                           Now now) {
  Crash crash;
  crash.lost = LostSince(worker, now);
  const bool crashed =
      loss == WorkerLoss::kCrash && (worker.listed || worker.known_to_earlier);
  if (crashed) {
    crash.earlier_on_machine =
        RememberCrash(worker, worker.occupants, crash.lost);
    HoldUnseenCrash(worker, now);
    ReviseCharges(crash.lost);
  }
  if (worker.occupants.empty()) return;
  crash.suspicion = SuspicionOf(worker.occupants, crash.lost, now);
  Explain("runs_lost",
          {{"worker", worker.record.id},
           {"machine", worker.record.machine},
           {"why", WorkerLossName(loss)},
           {"runs", absl::StrCat(worker.occupants.size())},
           {"lost_ms_ago",
            absl::StrCat(absl::ToInt64Milliseconds(now.mono - crash.lost))}},
          Severity::kWarning);
  const auto occupants = std::move(worker.occupants);
  worker.occupants.clear();
  worker.unknown_sizes = 0;
  worker.stopping = Resources();
  size_t lines = 0;
  for (const auto& [key, occupant] : occupants) {
    if (lines++ < kMostRunLines)
      ExplainLostRun(worker, key, occupant, occupants.size() - 1, crash.lost,
                     now);
    worker.free += occupant.need;
  }
  if (loss == WorkerLoss::kSilence)
    RememberSilentLoss(worker, occupants, crash, now);
  for (const auto& [key, occupant] : occupants) {
    if (crashed) HoldCrash(worker, key, occupants, crash, now);
  }
  for (const auto& [key, occupant] : occupants) {
    if (next != nullptr && MayBeOnNextLife(worker, occupant))
      MoveToNextLife(worker, *next, key, occupant, now);
    else
      GiveUpRun(worker, key, occupant, now);
  }
}

// Whether it crashed is known once another life answers at its machine.
void JobScheduler::RememberSilentLoss(const Worker& worker,
                                      const Occupants& runs, const Crash& crash,
                                      Now now) {
  if (worker.record.draining || worker.record.machine.empty()) return;
  SilentLoss loss;
  loss.worker = worker.record.id;
  for (const auto& [key, occupant] : runs) {
    const absl::Duration ran = RanUntil(occupant, crash.lost);
    if (occupant.adopted || ran >= kSuspectWithin ||
        !IsSuspected(occupant, crash.lost, crash.suspicion, now))
      continue;
    loss.runs.push_back({key.first,
                         {key.second, absl::ToInt64Milliseconds(ran),
                          ChanceOfCrash(ran, CrashSurroundings()),
                          occupant.start_answered <= now.mono}});
  }
  silent_losses_[worker.record.machine] = std::move(loss);
}

void JobScheduler::HoldSilentLosses(const Worker& answers, Now now) {
  const auto found = silent_losses_.find(answers.record.machine);
  if (found == silent_losses_.end()) return;
  const SilentLoss loss = std::move(found->second);
  silent_losses_.erase(found);
  // It was silent and is back: nothing crashed.
  if (loss.worker == answers.record.id) return;
  for (const auto& [id, crash] : loss.runs) {
    const auto job = jobs_.find(id.job);
    if (job == jobs_.end() || job->second->Ended()) continue;
    const TaskState* task = job->second->FindTask(id);
    if (task != nullptr && task->phase != TaskPhase::kDone)
      AddCrash(*job->second, id, crash, loss.worker, now);
  }
}

absl::Duration JobScheduler::RanUntil(const Occupant& occupant,
                                      absl::Time lost) {
  return std::max(absl::ZeroDuration(), lost - occupant.placed);
}

// A task under suspicion had just been started there: that the worker was lost
// tells of that task, not of the machine or of a bad day.
bool JobScheduler::IsExplained(const Worker& worker, absl::Time lost) {
  return worker.probation_until > absl::InfinitePast() &&
         lost - (worker.probation_until - kProbation) < kSuspectWithin;
}

int JobScheduler::RememberCrash(const Worker& worker, const Occupants& runs,
                                absl::Time lost) {
  const bool explained = IsExplained(worker, lost);
  while (!crashes_.empty() && crashes_.front().lost < lost - kCrashesRemembered)
    crashes_.pop_front();
  const auto earlier = std::count_if(
      crashes_.begin(), crashes_.end(), [&](const PastCrash& past) {
        return past.machine == worker.record.machine && !past.explained;
      });
  PastCrash past{lost, worker.record.id, worker.record.machine, explained, {},
                 {}};
  for (const auto& [key, occupant] : runs) past.steps.insert(StepOf(key.first));
  const auto exposed = exposed_.find(worker.record.id);
  if (exposed != exposed_.end()) {
    for (const TaskId& task : exposed->second) past.steps.insert(StepOf(task));
  }
  crashes_.push_back(std::move(past));
  return static_cast<int>(earlier);
}

// A worker counts that crashed, or that is silent and may have.
int JobScheduler::LostAtOnce(const TaskId& step, const std::string& worker_id,
                             absl::Time lost) const {
  const auto at_once = [&](absl::Time other) {
    return absl::AbsDuration(other - lost) < kAtOnce;
  };
  std::set<std::string> others;
  for (const PastCrash& past : crashes_) {
    if (at_once(past.lost) && !past.explained && past.steps.count(step) == 0)
      others.insert(past.worker);
  }
  for (const auto& [id, other] : workers_) {
    if (other->lost_since == absl::InfiniteFuture() ||
        !at_once(other->lost_since) || IsExplained(*other, other->lost_since))
      continue;
    const bool ran_it = std::any_of(
        other->occupants.begin(), other->occupants.end(),
        [&](const auto& run) { return IsOfStep(run.first.first, step); });
    if (!ran_it) others.insert(id);
  }
  others.erase(worker_id);
  return static_cast<int>(others.size());
}

// What began just before the crash is the better suspect by far: what had been
// at work for longer is not charged with it. Without this, sound tasks that
// serve beside ones that crash their workers gathered crash after crash.
JobScheduler::Suspicion JobScheduler::SuspicionOf(const Occupants& runs,
                                                  absl::Time lost, Now now) {
  absl::Duration latest = absl::InfiniteDuration();
  for (const auto& [key, run] : runs) {
    if (run.start_answered <= now.mono && !run.adopted)
      latest = std::min(latest, RanUntil(run, lost));
  }
  Suspicion out;
  if (latest >= kSuspectWithin) return out;
  out.begun_only = true;
  out.within = latest + kProbation;
  return out;
}

bool JobScheduler::IsSuspected(const Occupant& occupant, absl::Time lost,
                               const Suspicion& suspicion, Now now) {
  const bool begun = occupant.start_answered <= now.mono;
  // Ordered when the worker was gone already, it never began; and with a better
  // suspect there it most likely did not.
  if (!begun && (occupant.placed >= lost || suspicion.begun_only)) return false;
  return RanUntil(occupant, lost) < suspicion.within;
}

void JobScheduler::HoldCrash(const Worker& worker, const RunKey& key,
                             const Occupants& runs, const Crash& crash,
                             Now now) {
  const auto found = jobs_.find(key.first.job);
  if (found == jobs_.end() || found->second->Ended()) return;
  Job& job = *found->second;
  const TaskState* task = job.FindTask(key.first);
  const bool current = task != nullptr && task->run == key.second &&
                       task->worker == worker.record.id &&
                       task->phase != TaskPhase::kDone;
  if (!current) return;
  const Occupant& occupant = runs.at(key);
  const ExposedRun& exposed = task->exposed;
  const bool told_before =
      exposed.worker == worker.record.id && exposed.run == key.second;
  // It has outlived a change of the leader, by which nobody knows how long.
  if (occupant.adopted && !told_before) return;
  CrashedRun one;
  one.run = key.second;
  one.begun = occupant.start_answered <= now.mono;
  if (!IsSuspected(occupant, crash.lost, crash.suspicion, now)) return;
  one.ran_ms = occupant.adopted
                   ? std::max<int64_t>(0, ToMillis(now.wall) - exposed.since_ms)
                   : absl::ToInt64Milliseconds(RanUntil(occupant, crash.lost));
  const TaskId step = StepOf(key.first);
  CrashSurroundings around;
  around.earlier_on_machine = crash.earlier_on_machine;
  around.others_lately = static_cast<int>(std::count_if(
      crashes_.begin(), crashes_.end(), [&](const PastCrash& past) {
        return past.lost > crash.lost - kCrashesLately && !past.explained &&
               past.worker != worker.record.id && past.steps.count(step) == 0;
      }));
  around.others_at_once = LostAtOnce(step, worker.record.id, crash.lost);
  around.site_workers = static_cast<int>(workers_.size());
  one.chance = ChanceOfCrash(absl::Milliseconds(one.ran_ms), around);
  crashes_.back().charges.push_back(
      {key.first, one.run, absl::Milliseconds(one.ran_ms), around});
  AddCrash(job, key.first, one, worker.record.id, now);
}

void JobScheduler::ReviseCharges(absl::Time lost) {
  for (const PastCrash& past : crashes_) {
    if (absl::AbsDuration(past.lost - lost) >= kAtOnce) continue;
    for (const CrashCharge& charge : past.charges) {
      const auto job = jobs_.find(charge.task.job);
      if (job == jobs_.end() || job->second->Ended()) continue;
      StepState& step = *job->second->FindStep(charge.task);
      const StepSpec& spec =
          job->second->spec.steps[static_cast<size_t>(charge.task.step)];
      std::vector<CrashedRun>& account =
          spec.gang ? step.tasks.front().crashes
                    : job->second->FindTask(charge.task)->crashes;
      CrashSurroundings around = charge.around;
      around.others_at_once =
          LostAtOnce(StepOf(charge.task), past.worker, past.lost);
      const double chance = ChanceOfCrash(charge.ran, around);
      for (CrashedRun& crash : account) {
        if (crash.run != charge.run || crash.chance >= chance) continue;
        crash.chance = chance;
        MarkDirty(*job->second);
      }
    }
  }
}

void JobScheduler::AddCrash(Job& job, const TaskId& id, CrashedRun crash,
                            const std::string& worker, Now now) {
  StepState& step = *job.FindStep(id);
  TaskState& task = *job.FindTask(id);
  const StepSpec& spec = job.spec.steps[static_cast<size_t>(id.step)];
  TaskState& account = spec.gang ? step.tasks.front() : task;
  if (task.exposed.run == crash.run) task.exposed = ExposedRun();
  MarkDirty(job);
  if (absl::Milliseconds(crash.ran_ms) >= kSoundRun) {
    account.crashes.clear();
    return;
  }
  const auto same =
      std::find_if(account.crashes.begin(), account.crashes.end(),
                   [&](const CrashedRun& c) { return c.run == crash.run; });
  if (same != account.crashes.end()) {
    // Several workers of one run of a gang count as one: another gang may have
    // been on all of them, too.
    same->begun = same->begun || crash.begun;
  } else if (!account.crashes.empty() ||
             !AccountsFull(
                 step, [](const TaskState& t) { return !t.crashes.empty(); })) {
    account.crashes.push_back(crash);
    step.crashed = true;
  }
  if (absl::Milliseconds(crash.ran_ms) < kSuspectWithin) {
    step.suspected = true;
    step.proven = false;
  }
  const bool given_up = GivesUpAfter(account.crashes);
  Explain("crash_held_against_task",
          {{"task", TaskIdText(id)},
           {"run", absl::StrCat(crash.run)},
           {"worker", worker},
           {"ran_ms", absl::StrCat(crash.ran_ms)},
           {"evidence", CrashEvidence(account.crashes)},
           {"verdict", given_up ? "given up" : "to be tried again"}},
          Severity::kWarning);
  if (!given_up) return;
  EndJob(job, JobState::kFailed,
         absl::StrCat("task ", TaskIdText(id),
                      " crashes the workers that start it: ",
                      CrashEvidence(account.crashes), ", last on ", worker),
         now);
}

// A leader that is replaced before another life answers cannot hold the crash
// against its task: its successor does, by what is on record.
void JobScheduler::HoldUnseenCrash(const Worker& worker, Now now) {
  const auto exposed = exposed_.find(worker.record.id);
  if (exposed == exposed_.end()) return;
  const std::vector<TaskId> tasks = std::move(exposed->second);
  exposed_.erase(exposed);
  for (const TaskId& id : tasks) {
    const auto found = jobs_.find(id.job);
    if (found == jobs_.end() || found->second->Ended()) continue;
    TaskState* task = found->second->FindTask(id);
    if (task == nullptr || task->phase != TaskPhase::kWaiting || task->seen ||
        task->exposed.worker != worker.record.id)
      continue;
    const ExposedRun& run = task->exposed;
    CrashedRun crash;
    crash.run = run.run;
    crash.begun = run.begun;
    crash.ran_ms = run.ran_ms >= 0 ? run.ran_ms
                                   : std::max<int64_t>(
                                         0, ToMillis(now.wall) - run.since_ms);
    CrashSurroundings around;
    around.site_workers = static_cast<int>(workers_.size());
    around.others_at_once =
        LostAtOnce(StepOf(id), worker.record.id, crashes_.back().lost);
    crash.chance = ChanceOfCrash(absl::Milliseconds(crash.ran_ms), around);
    crashes_.back().charges.push_back(
        {id, crash.run, absl::Milliseconds(crash.ran_ms), around});
    AddCrash(*found->second, id, crash, worker.record.id, now);
  }
}

void JobScheduler::LoadExposed() {
  for (const auto& [id, job] : active_) {
    for (Round& round : job->rounds) {
      for (size_t s = 0; s < round.steps.size(); ++s) {
        StepState& step = round.steps[s];
        for (size_t i = 0; i < step.tasks.size(); ++i) {
          const TaskState& task = step.tasks[i];
          step.crashed = step.crashed || !task.crashes.empty();
          step.suspected = step.crashed;
          if (task.exposed.worker.empty()) continue;
          exposed_[task.exposed.worker].push_back({id, round.number,
                                                   static_cast<int32_t>(s),
                                                   static_cast<int32_t>(i)});
        }
      }
    }
  }
}

void JobScheduler::NoteExposed(Job& job, const TaskId& id, ExposedRun run) {
  TaskState& task = *job.FindTask(id);
  const bool full = task.exposed.worker.empty() &&
                    AccountsFull(*job.FindStep(id), [](const TaskState& t) {
                      return !t.exposed.worker.empty();
                    });
  if (full) return;
  task.exposed = std::move(run);
  MarkDirty(job);
}

// A leader that is lost with the worker, before anything shows, leaves no
// record. Its successor cannot tell which task did it; what it starts again of
// the work that it has not seen goes on record, so that the next one can.
void JobScheduler::NoteStartOfUnseen(const ReadyStep& ready, const TaskId& task,
                                     const StartAction& action, Now now) {
  if (!crashed_unseen_ || unseen_noted_ >= kMostUnseenNoted) return;
  ++unseen_noted_;
  NoteExposed(
      *ready.job, task,
      {action.worker.id, action.order.run, ToMillis(now.wall), -1, false});
}

// Another leader may have to tell by then what crashed the worker: what began
// there lately goes on record.
void JobScheduler::NoteSilence(Worker& worker, Now now) {
  if (worker.record.draining) return;
  const absl::Time lost = LostSince(worker, now);
  const Suspicion suspicion = SuspicionOf(worker.occupants, lost, now);
  for (const auto& [key, occupant] : worker.occupants) {
    const auto job = jobs_.find(key.first.job);
    const absl::Duration ran = RanUntil(occupant, lost);
    if (job == jobs_.end() || job->second->Ended() || occupant.adopted ||
        ran >= kSuspectWithin || !IsSuspected(occupant, lost, suspicion, now))
      continue;
    const TaskState* task = job->second->FindTask(key.first);
    if (task == nullptr || task->run != key.second ||
        task->worker != worker.record.id)
      continue;
    const bool begun = occupant.start_answered <= now.mono;
    NoteExposed(*job->second, key.first,
                {worker.record.id, key.second,
                 ToMillis(now.wall - (now.mono - occupant.placed)),
                 absl::ToInt64Milliseconds(ran), begun});
  }
}

bool JobScheduler::IsSuspect(const ReadyStep& ready, const TaskState& task) {
  const TaskState& account =
      ready.spec->gang ? ready.state->tasks.front() : task;
  return !account.crashes.empty();
}

// With the store away, a leader that goes on by memory alone would leave its
// successor to start again from the account that it found.
bool JobScheduler::MustBeOnRecord(const ReadyStep& ready,
                                  const TaskState& task) {
  const TaskState& account =
      ready.spec->gang ? ready.state->tasks.front() : task;
  return account.crashes.size() >= kCrashesByMemory;
}

// A worker that crashed without closing its connections is silent, and that
// shows only once a look has had no answer: not what was sent, but what was
// answered since tells that it is there.
bool JobScheduler::AnsweredSince(Worker& worker, absl::Time since, Now now) {
  if (worker.last_answer >= since) return true;
  if (now.mono >= since && worker.look_sent < since) {
    worker.look_wanted = true;
    Attend(worker);
  }
  return false;
}

bool JobScheduler::WorkedFor(const TaskState& task, const TaskId& id,
                             absl::Duration time, Now now) {
  if (task.phase == TaskPhase::kDone) return true;
  if (task.phase != TaskPhase::kRunning) return false;
  const auto worker = workers_.find(task.worker);
  if (worker == workers_.end()) return false;
  const auto run = worker->second->occupants.find({id, task.run});
  return run != worker->second->occupants.end() &&
         AnsweredSince(*worker->second, run->second.placed + time, now);
}

bool JobScheduler::IsOnProbation(const Worker& worker) {
  return worker.last_answer < worker.probation_until;
}

int32_t JobScheduler::MayStartOfSuspected(ReadyStep& ready, Now now) {
  StepState& step = *ready.state;
  if (!step.suspected) return std::numeric_limits<int32_t>::max();
  if (step.probed >= 0) {
    const TaskState& task = step.tasks[static_cast<size_t>(step.probed)];
    const TaskId id{ready.job->id, ready.round->number, ready.number,
                    step.probed};
    if (WorkedFor(task, id, kProbation, now)) {
      step.suspected = false;
      step.probed = -1;
      return std::numeric_limits<int32_t>::max();
    }
    const bool open = task.phase != TaskPhase::kWaiting &&
                      now.mono < step.probed_until + kProbePatience;
    if (open) return 0;
    step.probed = -1;
  }
  return 1;
}

// A step of tasks that crash what starts them would else take all workers down
// before the first crash is heard of.
JobScheduler::WorkerQuota JobScheduler::QuotaOf(ReadyStep& ready, Now now) {
  StepState& step = *ready.state;
  WorkerQuota quota;
  const int32_t most =
      std::max(kFewestUnproven,
               static_cast<int32_t>(kUnprovenShare * ready.pool_workers));
  if (step.proven || ready.spec->count <= most) return quota;
  for (size_t i = 0; i < step.tasks.size() && !step.proven; ++i) {
    const TaskId id{ready.job->id, ready.round->number, ready.number,
                    static_cast<int32_t>(i)};
    step.proven = WorkedFor(step.tasks[i], id, kProving, now);
    if (!step.tasks[i].worker.empty()) quota.used.insert(step.tasks[i].worker);
  }
  if (step.proven) return WorkerQuota();
  quota.most = most;
  return quota;
}

double JobScheduler::ProbeScore(const Worker& worker, Now now) const {
  const Resources used = worker.record.capacity - worker.free;
  double score = DominantShare(used, worker.record.capacity);
  const auto lasts = [&](const auto& run) {
    const auto job = jobs_.find(run.first.first.job);
    return job != jobs_.end() && job->second->Lasts();
  };
  if (std::any_of(worker.occupants.begin(), worker.occupants.end(), lasts))
    score += kLastingBeside;
  const auto fresh = [&](const auto& run) {
    return now.mono - run.second.placed < kProbation;
  };
  if (std::any_of(worker.occupants.begin(), worker.occupants.end(), fresh))
    score += kFreshBeside;
  const auto crashes = std::count_if(
      crashes_.begin(), crashes_.end(), [&](const PastCrash& past) {
        return past.machine == worker.record.machine;
      });
  return score + kWornMachine * static_cast<double>(crashes);
}

void JobScheduler::PutOnProbation(ReadyStep& ready, int32_t index,
                                  Worker& worker, Now now) {
  const TaskState& task = ready.state->tasks[static_cast<size_t>(index)];
  const TaskId id{ready.job->id, ready.round->number, ready.number, index};
  worker.probation_until = now.mono + kProbation;
  if (ready.state->suspected && !ready.spec->gang) {
    ready.state->probed = index;
    ready.state->probed_until = worker.probation_until;
  }
  NoteExposed(*ready.job, id,
              {worker.record.id, task.run, ToMillis(now.wall), -1, false});
  Explain("start_on_probation",
          {{"task", TaskIdText(id)},
           {"run", absl::StrCat(task.run)},
           {"worker", worker.record.id},
           {"beside", absl::StrCat(worker.occupants.size() - 1)}});
}

void JobScheduler::ForgetSilence(Worker& worker) {
  if (worker.lost_since == absl::InfiniteFuture()) return;
  worker.lost_since = absl::InfiniteFuture();
  for (const auto& [key, occupant] : worker.occupants) {
    const auto job = jobs_.find(key.first.job);
    if (job == jobs_.end()) continue;
    TaskState* task = job->second->FindTask(key.first);
    if (task == nullptr || task->exposed.worker != worker.record.id ||
        task->exposed.ran_ms < 0)
      continue;
    task->exposed.ran_ms = -1;
    MarkDirty(*job->second);
  }
}

void JobScheduler::ExplainLostRun(const Worker& worker, const RunKey& key,
                                  const Occupant& occupant, size_t beside,
                                  absl::Time lost, Now now) {
  const bool begun = occupant.start_answered <= now.mono;
  Explain("run_lost",
          {{"task", TaskIdText(key.first)},
           {"run", absl::StrCat(key.second)},
           {"worker", worker.record.id},
           {"began", begun ? "yes" : "not known"},
           {"ran_ms",
            absl::StrCat(absl::ToInt64Milliseconds(RanUntil(occupant, lost)))},
           {"beside", absl::StrCat(beside)}});
}

}  // namespace keelbridge
