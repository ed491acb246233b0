// The part of `ZoneScheduler` that synchronizes the zone's work with confirmed
// plans and with events from workers.

#include <algorithm>
#include <utility>

#include "keelbridge/coordination/zone_scheduler.h"

namespace keelbridge {
namespace {

// After a change of leader, tasks that may run twice wait this long to be found
// running.
constexpr absl::Duration kDiscoveryWait = absl::Seconds(2);

int64_t MonoMillis(Now now) { return ToMillis(now.mono); }

}  // namespace

// Synchronization with confirmed plans.

int32_t ZoneScheduler::GroupOf(const std::string& intent) {
  const auto [it, inserted] = groups_.emplace(intent, next_group_);
  if (inserted) ++next_group_;
  return it->second;
}

void ZoneScheduler::SyncWork(Now now) {
  synced_plan_ = replica_.state().last_plan();
  for (const auto& [id, record] : replica_.state().work())
    SyncIntent(record, now);
  RemoveUnwanted(now);
  workers_changed_ = true;
}

void ZoneScheduler::SyncIntent(const WorkRecord& record, Now now) {
  const Intent& intent = record.intent;
  const auto [it, inserted] = synced_.emplace(intent.id, intent);
  const int64_t known_tasks = inserted ? 0 : it->second.tasks;
  for (int64_t index = known_tasks; index < intent.tasks; ++index) {
    if (!record.ended.Contains(index)) AddTask(record, index, now);
  }
  if (!inserted && it->second.work_class != intent.work_class) {
    for (int64_t index = 0; index < intent.tasks; ++index) {
      const auto task = tasks_.find(TaskName(intent.id, index));
      if (task != tasks_.end() && task->second.id != kNoTask) {
        decider_->SetClass(task->second.id, intent.work_class, MonoMillis(now));
      }
    }
  }
  it->second = intent;
}

void ZoneScheduler::AddTask(const WorkRecord& record, int64_t index, Now now) {
  const std::string name = TaskName(record.intent.id, index);
  const auto [it, inserted] = tasks_.try_emplace(name);
  if (!inserted) return;
  TaskEntry& entry = it->second;
  entry.intent = record.intent.id;
  entry.index = index;
  entry.repeatable = record.intent.repeatable;
  entry.exclusive = record.intent.exclusive;
  if (record.confirmed_at > leader_offset_ &&
      !lease_tracker_.HasUnwantedOf(name)) {
    SubmitTask(name, entry, now);
  } else {
    entry.stage = Stage::kUnobserved;
    unobserved_.insert(name);
  }
}

void ZoneScheduler::SubmitTask(const std::string& name, TaskEntry& entry,
                               Now now) {
  const WorkRecord* record = FindWorkRecord(entry.intent);
  if (record == nullptr) return;
  const int16_t team = decider_->FindTeam(record->intent.team);
  TaskSpec spec = MakeTaskSpec(record->intent, GroupOf(entry.intent),
                               std::max<int16_t>(team, 0), now);
  spec.saved_progress_ms = entry.progress_ms;
  entry.id = decider_->Submit(spec, MonoMillis(now));
  entry.stage = Stage::kWaiting;
  names_[entry.id] = name;
}

void ZoneScheduler::Forget(const std::string& name, TaskEntry& entry, Now now) {
  if (entry.id != kNoTask) {
    decider_->OnEnded(entry.id, MonoMillis(now));
    names_.erase(entry.id);
    entry.id = kNoTask;
  }
  unobserved_.erase(name);
  claiming_.erase(name);
  ending_.erase(name);
}

bool ZoneScheduler::StopOrForget(const std::string& name, TaskEntry& entry,
                                 Now now) {
  if (entry.stage == Stage::kLeased) {
    entry.unwanted = true;
    lease_tracker_.RequestStop(name, StopMode::kStop, now.mono);
    return true;
  }
  Forget(name, entry, now);
  return false;
}

void ZoneScheduler::RemoveUnwanted(Now now) {
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    TaskEntry& entry = it->second;
    const bool stays =
        entry.stage == Stage::kEnding || entry.unwanted || IsWanted(entry);
    it = stays || StopOrForget(it->first, entry, now) ? std::next(it)
                                                      : tasks_.erase(it);
  }
  for (auto it = synced_.begin(); it != synced_.end();) {
    if (FindWorkRecord(it->first) != nullptr) {
      ++it;
      continue;
    }
    groups_.erase(it->first);
    it = synced_.erase(it);
  }
}

void ZoneScheduler::ResolveUnobserved(Now now) {
  const bool all_resolved = lease_tracker_.AllResolved();
  const bool waited = now.mono - leadership_.won_at() > kDiscoveryWait;
  if (!all_resolved && !waited) return;
  const std::set<std::string> unobserved = unobserved_;
  for (const std::string& name : unobserved) {
    TaskEntry& entry = tasks_[name];
    if (lease_tracker_.HasUnwantedOf(name)) continue;
    // The log shows whether the task may run at all.
    if (!entry.repeatable && !Authoritative()) continue;
    if (all_resolved || (!entry.exclusive && entry.repeatable)) {
      ResolveUnobservedTask(name, entry, now);
    }
  }
}

void ZoneScheduler::ResolveUnobservedTask(const std::string& name,
                                          TaskEntry& entry, Now now) {
  // An earlier leader recorded a start of the task, but the task is found
  // nowhere and its end was not recorded.
  if (!entry.repeatable && replica_.state().ClaimedAttempt(name) != 0) {
    RecordEnd(name, entry, "unknown", "", 0, now);
    return;
  }
  unobserved_.erase(name);
  SubmitTask(name, entry, now);
}

// Events from workers.

void ZoneScheduler::Handle(const LeaseEvent& event, Now now) {
  switch (event.kind) {
    case LeaseEventKind::kReconciled:
    case LeaseEventKind::kLapsed:
      workers_changed_ = true;
      return;
    case LeaseEventKind::kUnresponsive: {
      workers_changed_ = true;
      // Tasks that may run twice are started elsewhere without waiting until
      // their leases have certainly ended.
      std::vector<std::string> repeatable_tasks;
      for (const auto& [name, lease] : lease_tracker_.leases()) {
        const auto it = tasks_.find(name);
        if (lease.worker == event.worker && it != tasks_.end() &&
            !it->second.exclusive && it->second.repeatable) {
          repeatable_tasks.push_back(name);
        }
      }
      for (const std::string& name : repeatable_tasks) {
        lease_tracker_.Abandon(name);
        Requeue(name, tasks_[name], tasks_[name].progress_ms, false, now);
      }
      return;
    }
    case LeaseEventKind::kFound:
      HandleFound(event, now);
      return;
    case LeaseEventKind::kRunning:
      return;
    case LeaseEventKind::kNotStarted: {
      const auto it = tasks_.find(event.task);
      if (it == tasks_.end() || it->second.attempt != event.attempt) return;
      if (!it->second.repeatable)
        writer_.Add(StartReleaseEntry{led_epoch_, event.task, event.attempt});
      workers_changed_ = true;
      if (!event.refusal.empty())
        decider_->SetSchedulable(it->second.worker, false);
      Requeue(event.task, it->second, it->second.progress_ms, false, now);
      return;
    }
    case LeaseEventKind::kFinished:
    case LeaseEventKind::kStopped:
    case LeaseEventKind::kVanished:
      HandleEnded(event, now);
      return;
  }
}

void ZoneScheduler::HandleFound(const LeaseEvent& event, Now now) {
  if (Ready(now) && synced_plan_ != kNeverSynced && AdoptFound(event, now)) {
    return;
  }
  if (!Authoritative() || synced_plan_ == kNeverSynced) {
    // The task may be wanted although it is not known here yet.
    deferred_events_[{event.worker, event.attempt}] = event;
    return;
  }
  lease_tracker_.StopUnwanted(event.worker, event.row, now.mono);
  workers_changed_ = true;
}

bool ZoneScheduler::AdoptFound(const LeaseEvent& event, Now now) {
  const auto it = tasks_.find(event.task);
  if (it == tasks_.end()) return false;
  TaskEntry& entry = it->second;
  if (entry.stage != Stage::kUnobserved && entry.stage != Stage::kWaiting)
    return false;
  const WorkRecord* record = FindWorkRecord(entry.intent);
  const WorkerId worker = decider_->cell().Find(event.worker);
  if (record == nullptr || worker == kNoWorker) return false;
  Forget(event.task, entry, now);
  const int16_t team =
      std::max<int16_t>(decider_->FindTeam(record->intent.team), 0);
  TaskSpec spec =
      MakeTaskSpec(record->intent, GroupOf(entry.intent), team, now);
  spec.saved_progress_ms = event.row.progress_ms;
  const absl::Duration ran =
      std::max(absl::ZeroDuration(),
               now.wall - absl::FromUnixMillis(event.row.started_ms));
  entry.id =
      decider_->Adopt(spec, worker, ToMillis(now.mono - ran), MonoMillis(now));
  entry.stage = Stage::kLeased;
  entry.worker = worker;
  entry.attempt = event.attempt;
  entry.progress_ms = event.row.progress_ms;
  entry.starts = 1;
  names_[entry.id] = event.task;
  lease_tracker_.Adopt(event.worker, event.row, now.mono);
  return true;
}

void ZoneScheduler::HandleEnded(const LeaseEvent& event, Now now) {
  if (!Ready(now) || synced_plan_ == kNeverSynced) {
    if (event.kind != LeaseEventKind::kVanished) {
      deferred_events_[{event.worker, event.attempt}] = event;
    }
    return;
  }
  if (event.kind == LeaseEventKind::kVanished) ++counts_.vanished;
  const auto it = tasks_.find(event.task);
  if (it == tasks_.end())
    return lease_tracker_.Acknowledge(event.worker, event.attempt);
  TaskEntry& entry = it->second;
  if (entry.stage == Stage::kEnding) {
    if (!entry.end_queued) QueueEndRecord(event.task, entry);
    return;
  }
  const bool current =
      entry.stage == Stage::kLeased && entry.attempt == event.attempt;
  const bool not_started_here =
      entry.stage == Stage::kUnobserved || entry.stage == Stage::kWaiting;
  if (entry.unwanted && current) {
    lease_tracker_.Acknowledge(event.worker, event.attempt);
    const TaskEntry old = entry;
    Forget(event.task, entry, now);
    tasks_.erase(it);
    // The task may be wanted again meanwhile, for example after a second
    // resize.
    if (IsWanted(old)) AddTask(*FindWorkRecord(old.intent), old.index, now);
    return;
  }
  if (event.kind == LeaseEventKind::kFinished &&
      (current || not_started_here)) {
    RecordEnd(event.task, entry, event.failed ? "failed" : "finished",
              event.worker, event.attempt, now);
    return;
  }
  if (event.kind != LeaseEventKind::kVanished)
    lease_tracker_.Acknowledge(event.worker, event.attempt);
  if (not_started_here)
    entry.progress_ms = std::max(entry.progress_ms, event.progress_ms);
  if (current) {
    Requeue(event.task, entry, std::max(entry.progress_ms, event.progress_ms),
            event.kind == LeaseEventKind::kVanished, now);
  }
}

void ZoneScheduler::Requeue(const std::string& name, TaskEntry& entry,
                            int64_t progress_ms, bool may_have_run, Now now) {
  if (may_have_run && !entry.repeatable) {
    RecordEnd(name, entry, "unknown", "", entry.attempt, now);
    return;
  }
  entry.progress_ms = progress_ms;
  entry.stage = Stage::kWaiting;
  decider_->OnStopped(entry.id, progress_ms, MonoMillis(now));
}

void ZoneScheduler::RecordEnd(const std::string& name, TaskEntry& entry,
                              const std::string& outcome,
                              const std::string& worker, int64_t attempt,
                              Now now) {
  Forget(name, entry, now);
  entry.stage = Stage::kEnding;
  entry.outcome = outcome;
  entry.ending_worker = worker;
  entry.attempt = attempt;
  ending_.insert(name);
  QueueEndRecord(name, entry);
}

void ZoneScheduler::QueueEndRecord(const std::string& name, TaskEntry& entry) {
  // If the writer is full, the worker keeps the row and reports it again.
  entry.end_queued =
      writer_.Add(TaskEndedEntry{led_epoch_, name, entry.outcome});
}

void ZoneScheduler::OnEndRecorded(const std::string& name, Now now) {
  const auto it = tasks_.find(name);
  if (it == tasks_.end() || IsWanted(it->second)) return;
  TaskEntry& entry = it->second;
  if (entry.stage == Stage::kEnding) {
    lease_tracker_.Acknowledge(entry.ending_worker, entry.attempt);
  }
  if (!StopOrForget(name, entry, now)) tasks_.erase(it);
}

void ZoneScheduler::OnHoldReply(const SendHold& sent, absl::Time sent_at,
                                const std::optional<HoldReply>& reply,
                                Now now) {
  if (sent.request.mode != HoldMode::kRelease)
    holds_in_flight_.erase(sent.worker);
  leadership_.OnReply(sent.worker, sent.request.mode, sent.request.epoch,
                      sent_at, reply, now.mono);
  if (!leading_ || sent.request.mode == HoldMode::kRelease) return;
  if (sent.request.mode == HoldMode::kAcquire &&
      sent.request.epoch != led_epoch_)
    return;
  if (reply) counts_.hold_rows += static_cast<int64_t>(reply->rows.size());
  for (const LeaseEvent& event : lease_tracker_.OnHoldReply(
           sent.worker, sent.request.mode, sent_at, reply, now.mono)) {
    Handle(event, now);
  }
}

void ZoneScheduler::OnStartReply(const SendStart& sent,
                                 const std::optional<CommandReply>& reply,
                                 Now now) {
  if (!leading_ || sent.request.epoch != led_epoch_) return;
  const StartRequest& request = sent.request;
  for (const LeaseEvent& event : lease_tracker_.OnStartReply(
           request.task, request.attempt, reply, now.mono))
    Handle(event, now);
}

void ZoneScheduler::OnStopReply(const SendStop& sent,
                                const std::optional<CommandReply>& reply,
                                Now now) {
  if (!leading_ || sent.request.epoch != led_epoch_) return;
  for (const LeaseEvent& event : lease_tracker_.OnStopReply(
           sent.request.task, sent.request.attempt, reply))
    Handle(event, now);
}

}  // namespace keelbridge
