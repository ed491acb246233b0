// Submission, records and ends of jobs, and the scheduler's periodic work.

#include "keelbridge/coordination/job_scheduler.h"

#include <algorithm>
#include <iterator>

#include "absl/strings/str_cat.h"
#include "keelbridge/state/known_workers.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kHousekeepingPeriod = absl::Seconds(1);
// How often all jobs are checked for rounds that are due.
constexpr absl::Duration kRoundsPeriod = absl::Milliseconds(20);
// The longest time between two placement passes. It bounds the delay of work
// that no event announces, such as a retry that becomes due.
constexpr absl::Duration kMaxPlacementInterval = absl::Milliseconds(100);
// The pause after a placement pass, as a multiple of the duration of the pass.
constexpr double kPlacementPauseFactor = 2.0;
// How far the clocks of two leaders may be apart. A run of a round that is due
// only later than this was not started by a leader of this site.
constexpr absl::Duration kMaxClockDifference = absl::Seconds(30);
// An upper bound for that pause, since a tick also takes long when the process
// was suspended during it.
constexpr absl::Duration kMaxPlacementPause = absl::Milliseconds(200);

}  // namespace

JobScheduler::JobScheduler(Options options, int64_t epoch, absl::Time started)
    : options_(options),
      epoch_(epoch),
      early_cancels_({options.ended_retention}),
      earlier_orders_(options.earlier_leader_grace, MaxLeaseDuration(), epoch,
                      started) {}

void JobScheduler::Load(JobTable jobs, const std::vector<KnownWorker>& workers,
                        Now now) {
  jobs_ = std::move(jobs);
  for (const auto& [id, job] : jobs_) {
    // An earlier leader may have had the switch on.
    job->excess = job->excess && options_.policy.share_over_time;
    job->accepted_at =
        now.mono - (now.wall - absl::FromUnixMillis(job->accepted_ms));
    if (!job->Ended()) {
      active_.emplace(id, job.get());
      continue;
    }
    // The recorded wall-clock time of the end is not used: it was taken on
    // another machine, and either clock may have jumped. Instead the retention
    // period of the job starts again, so no job is forgotten while leaders
    // change more often than that period.
    job->ended_at = now.mono;
  }
  for (const KnownWorker& known : workers) {
    OnWorkerRecord(known.worker, now);
    Worker& worker = *workers_[known.worker.id];
    worker.known_at_batch = 0;
    worker.leased_by_epoch = known.epoch;
    worker.known_to_earlier_leader = true;
    worker.retired_by_earlier = known.retired;
    worker.persists_placements = known.persists_placements;
    worker.last_tasks_of_earlier = known.last_tasks;
    worker.restarted = known.restarted;
    if (known.lease_over)
      worker.earlier_lease_end =
          earlier_orders_.LatestLocalTime(*known.lease_over);
    if (known.restarted) last_restart_seen_ = now.mono;
    // The worker gets no new tasks until the platform lists it.
    worker.record_removed = true;
  }
  if (options_.policy.share_over_time)
    accounts_.Rebuild(jobs_, SiteCapacity(), now.mono);
  unpersisted_workers_.clear();
  LoadUnansweredStarts();
  LoadCrashSuspects();
  placement_wanted_ = true;
  LogRecoveryWait(now);
}

void JobScheduler::LogDecision(std::string event, LogFields fields,
                               Severity severity) {
  actions_.push_back(LogAction{severity, std::move(event), std::move(fields)});
}

std::vector<Action> JobScheduler::TakeActions() {
  return std::exchange(actions_, {});
}

bool JobScheduler::HasBatch() const {
  return batch_needed_ || !unpersisted_workers_.empty() ||
         !undescribed_jobs_.empty() || !dirty_jobs_.empty() ||
         !keys_to_drop_.empty();
}

JobScheduler::Batch JobScheduler::TakeBatch() {
  Batch batch;
  batch.number = next_batch_++;
  // Drops come first, since a forgotten job may have been submitted again.
  for (std::string& key : keys_to_drop_)
    batch.records.push_back(DropRecord(std::move(key)));
  for (const std::string& id : unpersisted_workers_) {
    const auto found = workers_.find(id);
    if (found == workers_.end()) continue;
    batch.records.push_back(
        KnownWorkerRecord(DescribeWorker(*found->second, epoch_)));
  }
  unpersisted_workers_.clear();
  for (const JobId id : undescribed_jobs_) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end())
      batch.records.push_back(DescriptionRecord(*found->second));
  }
  for (const JobId id : dirty_jobs_) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) continue;
    AddProgress(*found->second, batch);
    if (found->second->Ended())
      batch.records.push_back(DropRecord(DescriptionKey(id)));
  }
  std::vector<Record> cancels = early_cancels_.TakeRecords();
  std::move(cancels.begin(), cancels.end(), std::back_inserter(batch.records));
  undescribed_jobs_.clear();
  dirty_jobs_.clear();
  keys_to_drop_.clear();
  batch_needed_ = false;
  return batch;
}

void JobScheduler::AddProgress(Job& job, Batch& batch) {
  ProgressUpdate update = ProgressRecords(job, options_.max_record_bytes);
  std::move(update.records.begin(), update.records.end(),
            std::back_inserter(batch.records));
  if (update.checkpoints_left_out == 0) return;
  LogDecision("checkpoints_not_kept",
              {{"job", JobIdText(job.id)},
               {"count", absl::StrCat(update.checkpoints_left_out)}},
              Severity::kWarning);
}

void JobScheduler::OnDurable(int64_t batch) {
  durable_batch_ = std::max(durable_batch_, batch);
  // Workers that still have ends to acknowledge stay in the list.
  std::vector<Worker*> waiting =
      std::exchange(workers_with_unacknowledged_ends_, {});
  for (Worker* worker : waiting) {
    AcknowledgeDurableEnds(*worker);
    if (!worker->unacknowledged_ends.empty())
      workers_with_unacknowledged_ends_.push_back(worker);
  }
  placement_wanted_ = true;
}

bool JobScheduler::VisitOpenTask(
    const TaskId& id, absl::FunctionRef<void(const FoundTask&)> visit) {
  const auto job = active_.find(id.job);
  return job != active_.end() && job->second->VisitTask(id, visit);
}

void JobScheduler::MarkDirty(Job& job) { dirty_jobs_.insert(job.id); }

int64_t JobScheduler::Submit(JobId id, const std::string& queue, JobSpec spec,
                             Now now, const std::string& account,
                             const Admission::Verdict& terms) {
  const auto found = jobs_.find(id);
  if (found != jobs_.end()) {
    const int64_t batch = found->second->description_batch;
    return batch <= durable_batch_ ? 0 : batch;
  }
  auto job = std::make_unique<Job>(id, queue, std::move(spec),
                                   ToMillis(now.wall - terms.age));
  job->account = account;
  job->accepted_epoch = epoch_;
  // The client counts from its first try.
  job->accepted_at = now.mono - terms.age;
  job->admitted_late = terms.late;
  if (options_.policy.share_over_time) accounts_.OnSubmitted(*job, now.mono);
  job->description_batch = next_batch_;
  if (job->spec.rounds == 0) job->AddRound(0);
  undescribed_jobs_.insert(id);
  job->placements_persisted = job->HasLongRunningStep();
  if (job->placements_persisted) MarkDirty(*job);
  const int64_t batch = next_batch_;
  LogDecision("job_taken", {{"job", JobIdText(id)},
                            {"queue", queue},
                            {"account", account},
                            {"steps", absl::StrCat(job->spec.steps.size())},
                            {"batch", absl::StrCat(batch)}});
  active_.emplace(id, job.get());
  jobs_.emplace(id, std::move(job));
  placement_wanted_ = true;
  return batch;
}

std::optional<Admission::Verdict> JobScheduler::Admit(
    const std::string& queue_name, const JobSpec& spec,
    const std::string& account_name, JobId id, Now now) {
  const Queue* queue = configuration_ != nullptr
                           ? configuration_->FindQueueByName(queue_name)
                           : nullptr;
  if (queue == nullptr) return std::nullopt;
  // Jobs with rounds, without steps or with long-running steps have no deadline
  // to miss, so they wait for as long as necessary.
  const bool waits =
      spec.rounds > 0 || spec.steps.empty() ||
      std::any_of(spec.steps.begin(), spec.steps.end(),
                  [](const StepSpec& s) { return s.long_running; });
  const AccountId account = accounts_.usage.FindId(account_name);
  Admission::Request request;
  request.priority = queue->priority;
  request.tasks = spec.steps.empty() ? 0 : spec.steps[0].count;
  request.exceeds_share = options_.policy.share_over_time
                              ? accounts_.JudgeShare(account, spec).exceeds
                              : accounts_.shares.Exceeds(account);
  const JobTiming times =
      ComputeJobTiming(spec, *queue, job_timings_.learner());
  request.patience =
      waits ? absl::InfiniteDuration()
            : times.objective * kMaxObjectiveFactor - times.work_from[0];
  request.account_wait =
      accounts_.WaitForMaximum(spec, account, queue->priority);
  if (!options_.policy.admit_by_work) return admission_.Decide(request);
  WorkAdmission::Request by_work;
  by_work.rank = {request.priority, request.exceeds_share};
  by_work.work = WorkOf(spec);
  by_work.tasks = request.tasks;
  by_work.objective = times.objective;
  by_work.chain = LongestChain(times);
  by_work.worth = request.patience;
  by_work.account_wait = request.account_wait;
  return work_admission_.Admit(id, by_work, next_batch_, now);
}

std::optional<int64_t> JobScheduler::Cancel(JobId id, Now now) {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return std::nullopt;
  Job& job = *found->second;
  if (!job.Ended()) EndJob(job, JobState::kCancelled, "cancelled", now);
  return job.end_batch <= durable_batch_ ? 0 : job.end_batch;
}

std::optional<JobState> JobScheduler::Status(JobId id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return std::nullopt;
  const Job& job = *found->second;
  if (job.Ended() && job.end_batch <= durable_batch_) return job.end;
  if (job.Ended() || job.begun) return JobState::kRunning;
  return JobState::kQueued;
}

std::optional<JobScheduler::PendingEnd> JobScheduler::FindPendingEnd(
    JobId id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return std::nullopt;
  const Job& job = *found->second;
  if (!job.Ended() || job.end_batch <= durable_batch_) return std::nullopt;
  return PendingEnd{job.end, job.end_batch};
}

std::optional<std::string> JobScheduler::AccountOf(JobId id) const {
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return std::nullopt;
  return found->second->account;
}

std::map<std::string, int64_t> JobScheduler::QueuedJobs() const {
  std::map<std::string, int64_t> waiting;
  for (const auto& [id, job] : active_) {
    if (job->begun) continue;
    if (job->description_batch > durable_batch_) continue;
    ++waiting[job->queue];
  }
  return waiting;
}

void JobScheduler::EndJob(Job& job, JobState end, std::string why, Now now) {
  job.end = end;
  job.ended_ms = ToMillis(now.wall);
  job.ended_at = now.mono;
  job.end_batch = next_batch_;
  job.end_reason = std::move(why);
  if (options_.policy.share_over_time) accounts_.OnEnded(job, now.mono);
  active_.erase(job.id);
  MarkDirty(job);
  StopRunsOf(job);
  LogFields fields = {{"job", JobIdText(job.id)},
                      {"queue", job.queue},
                      {"end", JobStateName(end)},
                      {"why", job.end_reason},
                      {"age_ms", absl::StrCat(job.ended_ms - job.accepted_ms)}};
  const Queue* queue = FindQueue(job);
  if (options_.policy.learn_durations && queue != nullptr)
    job_timings_.AddFields(job, *queue, now.mono, &fields);
  LogDecision("job_ended", std::move(fields));
  job_timings_.Forget(job.id);
  placement_wanted_ = true;
}

void JobScheduler::StopRunsOf(Job& job) {
  for (Round& round : job.rounds) {
    for (size_t s = 0; s < round.steps.size(); ++s) {
      StepState& step = round.steps[s];
      for (size_t i = 0; i < step.tasks.size(); ++i) {
        TaskState& task = step.tasks[i];
        if (task.worker.empty()) continue;
        const auto worker = workers_.find(task.worker);
        if (worker == workers_.end()) continue;
        const TaskId id{job.id, round.number, static_cast<int32_t>(s),
                        static_cast<int32_t>(i)};
        RequestStop(*worker->second, {id, task.run});
      }
    }
  }
}

void JobScheduler::AddDueRounds(Job& job, Now now) {
  if (job.spec.rounds == 0 || job.Ended()) return;
  const int64_t wall_ms = ToMillis(now.wall);
  for (Round& round : job.rounds) {
    if (round.due || wall_ms < job.DueTime(round.number)) continue;
    round.due = true;
    placement_wanted_ = true;
  }
  int32_t next = job.NextRound();
  while (next < job.spec.rounds && wall_ms >= job.DueTime(next)) {
    job.AddRound(next++);
    placement_wanted_ = true;
  }
}

void JobScheduler::AddRoundsOfRun(Job& job, const TaskId& task, Now now) {
  const bool missing = !job.Ended() && task.round < job.spec.rounds &&
                       task.round >= job.NextRound();
  if (!missing) return;
  const int64_t wall_ms = ToMillis(now.wall);
  if (job.DueTime(task.round) >
      wall_ms + absl::ToInt64Milliseconds(kMaxClockDifference))
    return;
  while (job.NextRound() <= task.round) {
    Round& round = job.AddRound(job.NextRound());
    round.due = wall_ms >= job.DueTime(round.number);
  }
  LogDecision("round_added_by_report", {{"task", TaskIdText(task)}});
}

void JobScheduler::DropEnded(Now now) {
  // Uses the monotonic clock, since the wall clock may jump.
  const absl::Time before = now.mono - options_.ended_retention;
  for (auto it = jobs_.begin(); it != jobs_.end();) {
    const Job& job = *it->second;
    const bool drop =
        job.Ended() && job.ended_at < before && job.end_batch <= durable_batch_;
    if (!drop) {
      ++it;
      continue;
    }
    // The description is dropped first: a job with a description but without
    // progress would run again.
    for (const auto& [key, hash] : job.stored_parts)
      keys_to_drop_.push_back(key);
    keys_to_drop_.push_back(DescriptionKey(job.id));
    keys_to_drop_.push_back(ProgressKey(job.id));
    LogDecision(
        "job_forgotten",
        {{"job", JobIdText(job.id)},
         {"end", JobStateName(job.end)},
         {"ended_ms_ago",
          absl::StrCat(absl::ToInt64Milliseconds(now.mono - job.ended_at))}});
    it = jobs_.erase(it);
  }
}

void JobScheduler::SetConfiguration(
    std::shared_ptr<const SiteConfiguration> configuration) {
  configuration_ = std::move(configuration);
  accounts_.usage.SetAccounts(configuration_->accounts);
  accounts_.history.UpdateWeights(accounts_.usage);
  job_timings_.Renew();
  attempts_unchecked_ = true;
  placement_wanted_ = true;
}

void JobScheduler::Tick(Now now) {
  if (now.mono >= next_housekeeping_) {
    next_housekeeping_ = now.mono + kHousekeepingPeriod;
    DropEnded(now);
    early_cancels_.DropExpired(now.mono);
    DropPastUnansweredStarts(now);
  }
  if (now.mono >= next_rounds_) {
    next_rounds_ = now.mono + kRoundsPeriod;
    for (auto& [id, job] : active_) {
      if (job->spec.rounds > 0) AddDueRounds(*job, now);
    }
  }
  SendPendingStarts(now);
  TickWorkers(now);
  ReviseAttributions();
  const bool due = (placement_wanted_ && now.mono >= no_placement_before_) ||
                   now.mono >= next_placement_;
  tick_had_placement_pass_ = due;
  if (due) {
    placement_wanted_ = false;
    next_placement_ = now.mono + kMaxPlacementInterval;
    PlaceAll(now);
  }
}

void JobScheduler::OnTickFinished(absl::Duration took, Now now) {
  if (!tick_had_placement_pass_) return;
  no_placement_before_ = std::max(
      no_placement_before_,
      now.mono + std::min(took * kPlacementPauseFactor, kMaxPlacementPause));
  next_placement_ = std::max(next_placement_, no_placement_before_);
}

JobScheduler::Figures JobScheduler::figures() const {
  Figures out = figures_;
  out.jobs = static_cast<int64_t>(jobs_.size());
  out.workers = static_cast<int64_t>(workers_.size());
  for (const auto& [id, worker] : workers_) {
    if (worker->reported) ++out.workers_reported;
    out.cpu_milli_total += worker->record.capacity.cpu_milli;
    out.cpu_milli_used +=
        worker->record.capacity.cpu_milli - worker->free.cpu_milli;
    out.running_tasks += static_cast<int64_t>(worker->allocations.size());
    out.cpu_milli_reserved += std::clamp(worker->reserved.amount().cpu_milli, 0,
                                         std::max(0, worker->free.cpu_milli));
  }
  const WaitingWork& waiting = work_admission_.waiting();
  out.timely_work_milli_s =
      static_cast<int64_t>(waiting.timely.total().cpu_milli_seconds);
  out.late_work_milli_s =
      static_cast<int64_t>(waiting.late.total().cpu_milli_seconds +
                           waiting.worthless.cpu_milli_seconds);
  return out;
}

}  // namespace keelbridge
