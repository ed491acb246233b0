// Handles the runs that workers report as ended or running, and runs that are
// missing from a report.

#include <algorithm>
#include <set>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// A worker on which this many consecutive tasks fail at their first attempt is
// assigned no tasks for `kSuspectDuration`.
constexpr int kMaxConsecutiveFailures = 2;
constexpr absl::Duration kSuspectDuration = absl::Seconds(5);
// A long-running task that has run for less than this may end at once again.
constexpr absl::Duration kShortRun = absl::Seconds(1);
// Its first restart is immediate. The next ones wait, each twice as long, so
// that it costs its workers and this leader little. By the users' rule a task
// may be away for 6 s.
constexpr absl::Duration kMinRestartDelay = absl::Milliseconds(250);
constexpr absl::Duration kMaxRestartDelay = absl::Seconds(2);

}  // namespace

void JobScheduler::OnTaskDone(const FoundTask& found, const LearnedEnd& learned,
                              Now now) {
  const EndedTask& end = learned.end;
  Job& job = found.job;
  StepState& step = found.step;
  const StepSpec& spec = found.spec;
  const auto finish = [&](int32_t index) {
    TaskState& one = step.tasks[static_cast<size_t>(index)];
    if (one.phase == TaskPhase::kDone) return;
    if (!one.worker.empty()) {
      const auto worker = workers_.find(one.worker);
      const RunKey key{{job.id, end.task.round, end.task.step, index}, one.run};
      if (worker != workers_.end() &&
          (index != end.task.index || one.run != end.run)) {
        // Another copy of the task is stopped. The end of another member of a
        // gang will be reported by its own worker.
        if (!spec.gang) RequestStop(*worker->second, key);
      }
    }
    one.phase = TaskPhase::kDone;
    one.worker.clear();
    one.checkpoint.clear();
    ++step.done;
  };
  step.earlier_knowledge.OnEnd(spec, step.tasks, learned);
  if (spec.gang) {
    for (int32_t i = 0; i < spec.count; ++i) finish(i);
  } else {
    finish(end.task.index);
  }
  MarkDirty(job);
  placement_wanted_ = true;
  job.deferred_steps = 0;  // The next step may be in time.
  if (step.done == spec.count && job.recovered && unobserved_.any_task &&
      step.earlier_knowledge.MayTakeStepForDone())
    LogDecision("next_step_may_have_begun",
                {{"job", JobIdText(job.id)},
                 {"step_done", absl::StrCat(end.task.step)},
                 {"last_end", TaskIdText(end.task)},
                 {"worker", learned.worker}});
  Round* round = job.FindRound(end.task.round);
  if (round == nullptr || !job.RoundDone(*round)) return;
  if (job.spec.rounds == 0) {
    EndJob(job, JobState::kCompleted, "all tasks are done", now);
    return;
  }
  while (!job.rounds.empty() && job.RoundDone(job.rounds.front())) {
    job.rounds.pop_front();
    ++job.rounds_done;
  }
  if (job.rounds_done >= job.spec.rounds)
    EndJob(job, JobState::kCompleted, "all rounds are done", now);
}

void JobScheduler::OnTaskFailed(Worker& worker, const FoundTask& found,
                                const EndedTask& end, Now now) {
  Job& job = found.job;
  const StepSpec& spec = found.spec;
  std::vector<int32_t>& failed = found.history().failed_runs;
  if (std::find(failed.begin(), failed.end(), end.run) != failed.end()) return;
  found.task.failed_on = worker.record.id;
  if (!spec.long_running) failed.push_back(end.run);
  if (failed.size() <= 1 &&
      ++worker.failures_in_row >= kMaxConsecutiveFailures) {
    worker.suspect_until = now.mono + kSuspectDuration;
    LogDecision("worker_suspected",
                {{"worker", worker.record.id},
                 {"failures_in_row", absl::StrCat(worker.failures_in_row)}},
                Severity::kWarning);
  }
  const auto failures = static_cast<int32_t>(failed.size());
  MarkDirty(job);
  if (spec.long_running || job.Ended()) return;
  const Queue* queue = FindQueue(job);
  if (queue == nullptr || failures < queue->max_attempts) return;
  EndJob(job, JobState::kFailed,
         absl::StrCat("task ", TaskIdText(end.task), " failed ", failures,
                      " times, last on ", worker.record.id),
         now);
}

const Queue* JobScheduler::FindQueue(const Job& job) const {
  return configuration_ != nullptr ? configuration_->FindQueueByName(job.queue)
                                   : nullptr;
}

void JobScheduler::FailExhaustedJobs(Now now) {
  const auto is_exhausted = [this](const Job& job) {
    const Queue* queue = FindQueue(job);
    if (queue == nullptr) return false;
    const auto max_attempts = static_cast<size_t>(queue->max_attempts);
    for (const Round& round : job.rounds) {
      for (const StepState& step : round.steps) {
        for (const TaskState& task : step.tasks) {
          const bool open = task.phase != TaskPhase::kDone;
          // Long-running tasks record no failed runs, so they have no limit.
          if (open && !task.failed_runs.empty() &&
              task.failed_runs.size() >= max_attempts)
            return true;
        }
      }
    }
    return false;
  };
  std::vector<Job*> failed;
  for (const auto& [id, job] : active_) {
    if (is_exhausted(*job)) failed.push_back(job);
  }
  for (Job* job : failed) {
    EndJob(*job, JobState::kFailed,
           "a task has used up its attempts by the configuration in force",
           now);
  }
}

bool JobScheduler::ProcessEnd(Worker& worker, const EndedTask& end,
                              EndSource source, Now now) {
  if (end.number <= worker.ends_processed) return false;
  OnRunEnded(worker, end, source, now);
  worker.ends_processed = end.number;
  if (worker.unacknowledged_ends.empty())
    workers_with_unacknowledged_ends_.push_back(&worker);
  worker.unacknowledged_ends.push_back({end, next_batch_});
  batch_needed_ = true;
  return true;
}

void JobScheduler::OnRunEnded(Worker& worker, const EndedTask& end,
                              EndSource source, Now now) {
  const RunKey key{end.task, end.run};
  const auto found = jobs_.find(end.task.job);
  Job* job = found != jobs_.end() ? found->second.get() : nullptr;
  if (job != nullptr) AddRoundsOfRun(*job, end.task, now);
  TaskState* task = job != nullptr ? job->FindTask(end.task) : nullptr;
  LogDecision("run_ended", {{"task", TaskIdText(end.task)},
                            {"run", absl::StrCat(end.run)},
                            {"worker", worker.record.id},
                            {"how", RunEndName(end.end)}});
  const bool current = task != nullptr && task->run == end.run &&
                       task->worker == worker.record.id;
  if (task != nullptr && end.run > task->run) task->run = end.run;
  if (task != nullptr) ClearUnansweredStart(*job, *task, end.run);
  if (job != nullptr) job->begun = true;
  const bool open =
      task != nullptr && task->phase != TaskPhase::kDone && !job->Ended();
  // A long-running task is done only with its job.
  const bool long_running = job != nullptr && job->IsLongRunning(end.task);
  if (end.end == RunEnd::kDone) {
    ++figures_.ends_done;
    worker.failures_in_row = 0;
    const auto run = worker.allocations.find(key);
    if (run != worker.allocations.end() && !run->second.adopted &&
        !long_running)
      work_admission_.rate().OnRunDone(run->second.counted,
                                       now.mono - run->second.placed);
    if (open && !long_running) {
      job->VisitTask(end.task, [&](const FoundTask& found) {
        LearnDuration(worker, found, end, now);
        OnTaskDone(found, {end, worker.record.id, source}, now);
      });
    }
  } else if (end.end == RunEnd::kFailed) {
    ++figures_.ends_failed;
    if (open)
      job->VisitTask(end.task, [&](const FoundTask& found) {
        OnTaskFailed(worker, found, end, now);
      });
  } else {
    ++figures_.ends_other;
    if (end.end == RunEnd::kStopped) ++figures_.runs_stopped;
  }
  // The end of the last task of a round drops the round with its tasks.
  task = job != nullptr ? job->FindTask(end.task) : nullptr;
  if (task != nullptr && !end.checkpoint.empty() &&
      task->phase != TaskPhase::kDone)
    task->checkpoint = end.checkpoint;
  if (current && task != nullptr) {
    const absl::Time restart_at =
        long_running ? RestartTime(worker, *task, end, now) : now.mono;
    Requeue(end.task, end.run, worker.record.id, restart_at);
  }
  Release(worker, key);
}

absl::Time JobScheduler::RestartTime(const Worker& worker, TaskState& task,
                                     const EndedTask& end, Now now) {
  const bool ended_by_itself =
      end.end == RunEnd::kDone || end.end == RunEnd::kFailed;
  const auto run = worker.allocations.find({end.task, end.run});
  // How long a run lasted that this leader has not started is unknown.
  const bool measured = run != worker.allocations.end() && !run->second.adopted;
  if (!ended_by_itself || !measured) return now.mono;
  if (now.mono - run->second.placed >= kShortRun) {
    task.short_runs = 0;
    return now.mono;
  }
  if (++task.short_runs == 1) return now.mono;
  absl::Duration delay = kMinRestartDelay;
  for (int i = 2; i < task.short_runs && delay < kMaxRestartDelay; ++i)
    delay *= 2;
  LogDecision("restart_delayed",
              {{"task", TaskIdText(end.task)},
               {"short_runs", absl::StrCat(task.short_runs)},
               {"delay_ms", absl::StrCat(absl::ToInt64Milliseconds(delay))}});
  return now.mono + std::min(delay, kMaxRestartDelay);
}

void JobScheduler::OnRunReported(Worker& worker, const RunningTask& running,
                                 Now now) {
  const RunKey key{running.task, running.run};
  const auto found = jobs_.find(running.task.job);
  Job* job = found != jobs_.end() ? found->second.get() : nullptr;
  if (job != nullptr) AddRoundsOfRun(*job, running.task, now);
  TaskState* task = job != nullptr ? job->FindTask(running.task) : nullptr;
  const auto allocation = worker.allocations.find(key);
  if (allocation != worker.allocations.end()) {
    Allocation& known = allocation->second;
    if (known.percent != running.percent) {
      known.percent = running.percent;
      known.percent_changed = now.mono;
    }
    known.start_answered = std::min(known.start_answered, now.mono);
    known.uncertain = false;
    known.reported = true;
    known.stop.OnListed(worker.report_requested_at);
    if (job != nullptr) job->begun = true;
    if (task != nullptr && task->run == running.run &&
        task->worker == worker.record.id) {
      if (!running.checkpoint.empty()) task->checkpoint = running.checkpoint;
      ClearUnansweredStart(*job, *task, running.run);
      const bool was_starting = task->phase == TaskPhase::kStarting ||
                                task->phase == TaskPhase::kUncertain;
      if (was_starting) task->phase = TaskPhase::kRunning;
    }
    return;
  }
  Allocation& added = Allocate(worker, running.task, running.run, now);
  added.start_answered = now.mono;
  added.adopted = true;
  added.reported = true;
  added.percent = running.percent;
  bool adopted = false;
  VisitOpenTask(running.task, [&](const FoundTask& found) {
    adopted = AdoptRun(worker, found, running, now);
  });
  if (adopted) return;
  added.unwanted = true;
  MarkStopping(worker, added);
  ScheduleCheck(worker);
  LogDecision("run_unwanted", {{"task", TaskIdText(running.task)},
                               {"run", absl::StrCat(running.run)},
                               {"worker", worker.record.id},
                               {"job_known", job != nullptr ? "yes" : "no"}});
}

bool JobScheduler::AdoptRun(const Worker& worker, const FoundTask& found,
                            const RunningTask& running, Now now) {
  auto& [id, job, step, task, spec] = found;
  if (task.phase != TaskPhase::kWaiting || running.run < task.run) return false;
  ClearUnansweredStart(job, task, running.run);
  task.phase = TaskPhase::kRunning;
  task.worker = worker.record.id;
  task.run = running.run;
  task.observed = true;
  if (EpochOfRun(running.run) < epoch_) {
    int32_t& adopted_run = found.history().adopted_run;
    adopted_run = std::max(adopted_run, running.run);
  }
  if (!running.checkpoint.empty()) task.checkpoint = running.checkpoint;
  job.begun = true;
  RecordPlacement(job, id, worker.record.id);
  if (step.gang_started == absl::InfinitePast()) step.gang_started = now.mono;
  LogDecision("run_adopted", {{"task", TaskIdText(id)},
                              {"run", absl::StrCat(running.run)},
                              {"worker", worker.record.id}});
  return true;
}

void JobScheduler::GiveUpMissingRuns(Worker& worker, const ObserveReply& reply,
                                     absl::Time sent, Now now) {
  std::set<RunKey> reported;
  for (const RunningTask& running : reply.running)
    reported.insert({running.task, running.run});
  std::vector<RunKey> missing;
  for (const auto& [key, allocation] : worker.allocations) {
    if (reported.count(key) > 0) continue;
    // The run is known to be absent only if the report was requested after the
    // start was answered, or after the answer to a stop, which prevents a
    // delayed start.
    const bool is_conclusive = allocation.start_answered < sent ||
                               allocation.stop.accepted_at() < sent;
    // The end of the run may be among the ends that did not fit into the
    // report.
    if (is_conclusive && !reply.more_ends) missing.push_back(key);
  }
  for (const RunKey& key : missing) {
    LogDecision("run_missing", {{"task", TaskIdText(key.first)},
                                {"run", absl::StrCat(key.second)},
                                {"worker", worker.record.id}});
    AbandonRun(worker, key, worker.allocations.at(key), now);
    Release(worker, key);
  }
}

}  // namespace keelbridge
