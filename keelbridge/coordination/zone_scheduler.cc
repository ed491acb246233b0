#include "keelbridge/coordination/zone_scheduler.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace keelbridge {
namespace {

// An attempt is unique for all time: the epoch in the high bits, a counter
// below.
constexpr int kAttemptBits = 31;
// No plan has this offset, and -1 stands for "none yet".
constexpr int64_t kNeverSynced = -2;
// After a change of leader, work that may run twice waits for this long to be
// found running.
constexpr absl::Duration kLookAround = absl::Seconds(2);

int64_t MonoMillis(Now now) { return ToMillis(now.mono); }

}  // namespace

ZoneScheduler::ZoneScheduler(Options options)
    : options_(std::move(options)),
      leadership_(options_.leadership, options_.seed),
      book_(options_.leases),
      writer_(options_.log),
      decider_(std::make_unique<Decider>(DeciderOptions())) {}

// Configuration and the zone's state.

void ZoneScheduler::OnConfiguration(const Configuration& configuration,
                                    Now now) {
  if (configuration.version <= configuration_.version) return;
  const bool new_policy = configuration.policy != configuration_.policy;
  configuration_ = configuration;
  std::vector<std::string> names;
  for (const WorkerConfig& worker : configuration_.workers) {
    if (worker.zone == options_.zone) names.push_back(worker.name);
  }
  leadership_.SetWorkers(names);
  book_.SetWorkers(names);
  workers_changed_ = true;
  if (!leading_ || new_policy) {
    // A changed policy needs a new decision core; its tasks are adopted from
    // the workers' tables as after a win.
    if (leading_) StopLeading();
    BuildDecider();
    return;
  }
  for (const TeamConfig& team : configuration_.teams)
    decider_->AddTeam(team.name, team.quota);
  SyncWorkers();
  (void)now;
}

void ZoneScheduler::BuildDecider() {
  decider_ = std::make_unique<Decider>(
      DeciderOptions::ForPolicy(configuration_.policy));
  for (const TeamConfig& team : configuration_.teams)
    decider_->AddTeam(team.name, team.quota);
  SyncWorkers();
}

void ZoneScheduler::SyncWorkers() {
  for (const WorkerConfig& worker : configuration_.workers) {
    if (worker.zone != options_.zone) continue;
    const WorkerId id = decider_->cell().Find(worker.name);
    if (id != kNoWorker) {
      decider_->SetTotal(id, worker.resources);
      continue;
    }
    decider_->SetSchedulable(
        decider_->AddWorker(worker.name, worker.rack, worker.resources), false);
  }
  workers_changed_ = true;
}

bool ZoneScheduler::Leaving(const std::string& worker) const {
  return leaving_.count(worker) > 0 ||
         replica_.state().drained_hosts().count(worker) > 0;
}

void ZoneScheduler::OnLeaving(const std::set<std::string>& names) {
  if (names == leaving_) return;
  leaving_ = names;
  workers_changed_ = true;
}

void ZoneScheduler::RefreshSchedulable() {
  std::set<std::string> configured;
  for (const WorkerConfig& worker : configuration_.workers)
    configured.insert(worker.name);
  for (WorkerId id = 0; id < static_cast<WorkerId>(decider_->cell().size());
       ++id) {
    const std::string& name = decider_->cell().Name(id);
    decider_->SetSchedulable(
        id, book_.Sealed(name) && !book_.HasUnwanted(name) && !Leaving(name) &&
                configured.count(name) > 0);
  }
}

void ZoneScheduler::OnLogBatch(const LogBatch& batch, Now now) {
  last_log_answer_ = now.mono;
  const std::set<std::string> drained = replica_.state().drained_hosts();
  const int gaps = replica_.gaps();
  replica_.OnBatch(batch);
  was_current_ = was_current_ || replica_.Current();
  leadership_.NoteEpoch(replica_.state().epoch());
  if (drained != replica_.state().drained_hosts()) workers_changed_ = true;
  const std::optional<EnvelopeId> unsettled = writer_.unsettled();
  if (unsettled && replica_.state().Applied(*unsettled)) {
    writer_.OnSeen(now.mono);
  }
  const std::vector<std::string> ended = replica_.TakeEnded();
  if (!leading_) return;
  if (leader_offset_ == INT64_MAX && Authoritative()) {
    leader_offset_ = replica_.next() - 1;
  }
  for (const std::string& name : ended) OnEndRecorded(name, now);
  // After a gap the ends that were dropped show only in the state.
  if (gaps != replica_.gaps()) {
    const std::set<std::string> ending = ending_;
    for (const std::string& name : ending) OnEndRecorded(name, now);
    synced_plan_ = kNeverSynced;
  }
}

void ZoneScheduler::OnAppendAnswer(std::optional<int64_t> offset, Now now) {
  if (offset) last_log_answer_ = now.mono;
  writer_.OnAnswer(offset, now.mono);
}

const WorkRecord* ZoneScheduler::RecordOf(const std::string& intent) const {
  const auto it = replica_.state().work().find(intent);
  return it == replica_.state().work().end() ? nullptr : &it->second;
}

bool ZoneScheduler::Wanted(const TaskEntry& entry) const {
  const WorkRecord* record = RecordOf(entry.intent);
  return record != nullptr && entry.index < record->intent.tasks &&
         !record->ended.Contains(entry.index);
}

// Leadership.

bool ZoneScheduler::Authoritative() const {
  // Everything that earlier leaders recorded is applied.
  return replica_.state().epoch() == led_epoch_;
}

bool ZoneScheduler::Ready(Now now) {
  // While the log is down, what was read before has to do; work that needs a
  // record waits. A scheduler that never read the log only renews leases. Once
  // tasks are in hand they stay so, also while the log is coming back.
  ready_ = ready_ || Authoritative() || (LogDown(now.mono) && was_current_);
  return ready_;
}

void ZoneScheduler::BeginLeading(Now now) {
  leading_ = true;
  ready_ = false;
  led_epoch_ = leadership_.epoch();
  next_attempt_ = led_epoch_ << kAttemptBits;
  leader_offset_ = INT64_MAX;
  synced_plan_ = kNeverSynced;
  synced_.clear();
  tasks_.clear();
  names_.clear();
  early_.clear();
  claiming_.clear();
  ending_.clear();
  maybe_.clear();
  snapshot_seen_ = replica_.last_snapshot_covers();
  snapshot_seen_at_ = now.mono;
  ++counts_.leaderships;
  BuildDecider();
  book_.BeginLeadership(now.mono);
  writer_.Add(LeaderEntry{led_epoch_, options_.name});
}

void ZoneScheduler::StopLeading() {
  leading_ = false;
  led_epoch_ = 0;
}

std::vector<Action> ZoneScheduler::HandOver(Now now) {
  std::vector<Action> actions;
  // The others get the time to take over before this one, should it not stop
  // after all, tries again.
  for (const HoldOrder& order :
       leadership_.Resign(now.mono, 10 * options_.leadership.hold_ttl)) {
    PushHold(order.worker, order.mode, order.epoch, now, actions);
  }
  StopLeading();
  return actions;
}

int64_t ZoneScheduler::NotAfter(Now now) const {
  absl::Duration validity = options_.leases.command_validity;
  if (leading_)
    validity = std::min(validity, leadership_.leads_until() - now.mono);
  return ToMillis(now.wall + validity);
}

void ZoneScheduler::PushHold(const std::string& worker, HoldMode mode,
                             int64_t epoch, Now now,
                             std::vector<Action>& actions) {
  if (mode != HoldMode::kRelease && !holds_in_flight_.insert(worker).second)
    return;
  SendHold hold;
  hold.worker = worker;
  hold.request.mode = mode;
  hold.request.holder = options_.leadership.holder;
  hold.request.epoch = epoch;
  hold.request.hold_ttl = options_.leadership.hold_ttl;
  hold.request.not_after_ms = NotAfter(now);
  if (leading_ && mode == HoldMode::kAcquire) {
    // Only a leader renews task leases: a candidate that did would keep alive
    // what the leader counts as lapsed.
    hold.request.lease_ttl = options_.leases.lease_ttl;
    hold.request.known_digest = book_.ExpectedDigest(worker);
    hold.request.acknowledged = book_.Acknowledgements(worker);
    book_.OnHoldSent(worker, mode, now.mono);
  }
  ++counts_.holds;
  actions.push_back(std::move(hold));
}

void ZoneScheduler::TickHolds(Now now, std::vector<Action>& actions) {
  for (const HoldOrder& order : leadership_.Tick(now)) {
    const bool renewal = leading_ && order.mode == HoldMode::kAcquire;
    PushHold(order.worker,
             renewal ? book_.HoldModeFor(order.worker) : order.mode,
             order.epoch, now, actions);
  }
  if (!leading_) return;
  for (const std::string& worker : book_.WorkersStopping()) {
    absl::Time& next = next_extra_hold_[worker];
    if (now.mono < next) continue;
    next = now.mono + options_.stops_poll;
    PushHold(worker, book_.HoldModeFor(worker), led_epoch_, now, actions);
  }
}

std::vector<Action> ZoneScheduler::Tick(Now now) {
  std::vector<Action> actions;
  const bool leads = leadership_.Leads(now.mono);
  if (leading_ && (!leads || led_epoch_ != leadership_.epoch())) StopLeading();
  if (leading_ && replica_.state().epoch() > led_epoch_) return HandOver(now);
  if (leads && !leading_) {
    BeginLeading(now);
    for (const WorkerConfig& worker : configuration_.workers) {
      if (worker.zone == options_.zone)
        PushHold(worker.name, HoldMode::kAcquire, led_epoch_, now, actions);
    }
  }
  TickHolds(now, actions);
  if (leading_) TickLeader(now, actions);
  if (std::optional<Envelope> envelope = writer_.Next(now.mono))
    actions.push_back(SendAppend{std::move(*envelope)});
  return actions;
}

void ZoneScheduler::TickLeader(Now now, std::vector<Action>& actions) {
  for (const LeaseEvent& event : book_.Tick(now.mono)) Handle(event, now);
  if (!Ready(now)) return;
  if (synced_plan_ != replica_.state().last_plan()) SyncWork(now);
  for (const auto& [key, event] : std::exchange(early_, {})) Handle(event, now);
  if (!maybe_.empty()) SettleMaybes(now);
  if (std::exchange(workers_changed_, false)) RefreshSchedulable();
  TickDrains(now);
  TickClaims(now, actions);
  for (const Order& order :
       decider_->Decide(MonoMillis(now), options_.decide_budget))
    CarryOut(order, now, actions);
  for (const Lease& lease : book_.StopsDue(now.mono)) {
    SendStop stop{lease.worker, {}};
    stop.request.holder = options_.leadership.holder;
    stop.request.epoch = led_epoch_;
    stop.request.not_after_ms = NotAfter(now);
    stop.request.task = lease.task;
    stop.request.attempt = lease.attempt;
    stop.request.mode = lease.stop_mode;
    actions.push_back(std::move(stop));
  }
  TickSnapshot(now);
}

void ZoneScheduler::TickSnapshot(Now now) {
  if (!replica_.Current() || !writer_.idle()) return;
  if (replica_.last_snapshot_covers() != snapshot_seen_) {
    snapshot_seen_ = replica_.last_snapshot_covers();
    snapshot_seen_at_ = now.mono;
  }
  const bool old = now.mono - snapshot_seen_at_ >= options_.snapshot_interval;
  const bool many = replica_.SinceSnapshot() > options_.snapshot_every;
  if (!old && !many) return;
  // Not again until this one can have been read back.
  snapshot_seen_at_ = now.mono;
  const std::string id =
      absl::StrFormat("%x-%d", options_.incarnation, replica_.next());
  for (SnapshotEntry& piece :
       CutSnapshot(replica_.state(), id, options_.snapshot_piece_bytes)) {
    writer_.Add(std::move(piece));
  }
}

// Work as it was confirmed.

int32_t ZoneScheduler::GroupOf(const std::string& intent) {
  return groups_.emplace(intent, static_cast<int32_t>(groups_.size()))
      .first->second;
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
  const auto [it, fresh] = synced_.emplace(intent.id, intent);
  const int64_t known_tasks = fresh ? 0 : it->second.tasks;
  for (int64_t index = known_tasks; index < intent.tasks; ++index) {
    if (!record.ended.Contains(index)) AddTask(record, index, now);
  }
  if (!fresh && it->second.work_class != intent.work_class) {
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
  const auto [it, fresh] = tasks_.try_emplace(name);
  if (!fresh) return;
  TaskEntry& entry = it->second;
  entry.intent = record.intent.id;
  entry.index = index;
  entry.repeatable = record.intent.repeatable;
  entry.exclusive = record.intent.exclusive;
  if (record.confirmed_at > leader_offset_ && !book_.HasUnwantedOf(name)) {
    SubmitTask(name, entry, now);
  } else {
    entry.stage = Stage::kMaybe;
    maybe_.insert(name);
  }
}

void ZoneScheduler::SubmitTask(const std::string& name, TaskEntry& entry,
                               Now now) {
  const WorkRecord* record = RecordOf(entry.intent);
  if (record == nullptr) return;
  const int16_t team = decider_->FindTeam(record->intent.team);
  TaskSpec spec = SpecOf(record->intent, GroupOf(entry.intent),
                         std::max<int16_t>(team, 0), now);
  spec.done_ms = entry.progress_ms;
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
  maybe_.erase(name);
  claiming_.erase(name);
  ending_.erase(name);
}

bool ZoneScheduler::Dismiss(const std::string& name, TaskEntry& entry,
                            Now now) {
  if (entry.stage == Stage::kLeased) {
    entry.unwanted = true;
    book_.Stopping(name, StopMode::kStop, now.mono);
    return true;
  }
  Forget(name, entry, now);
  return false;
}

void ZoneScheduler::RemoveUnwanted(Now now) {
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    TaskEntry& entry = it->second;
    const bool stays =
        entry.stage == Stage::kEnding || entry.unwanted || Wanted(entry);
    it = stays || Dismiss(it->first, entry, now) ? std::next(it)
                                                 : tasks_.erase(it);
  }
  for (auto it = synced_.begin(); it != synced_.end();) {
    it = RecordOf(it->first) == nullptr ? synced_.erase(it) : std::next(it);
  }
}

void ZoneScheduler::SettleMaybes(Now now) {
  const bool all = book_.AllSettled();
  const bool looked = now.mono - leadership_.won_at() > kLookAround;
  if (!all && !looked) return;
  const std::set<std::string> maybe = maybe_;
  for (const std::string& name : maybe) {
    TaskEntry& entry = tasks_[name];
    if (book_.HasUnwantedOf(name)) continue;
    // Whether it may run at all stands in the log.
    if (!entry.repeatable && !Authoritative()) continue;
    if (all || (!entry.exclusive && entry.repeatable)) {
      SettleMaybe(name, entry, now);
    }
  }
}

void ZoneScheduler::SettleMaybe(const std::string& name, TaskEntry& entry,
                                Now now) {
  // It was about to start, it is found nowhere, and its end was not recorded.
  if (!entry.repeatable && replica_.state().OnceAttempt(name) != 0) {
    RecordEnd(name, entry, "unknown", "", 0, now);
    return;
  }
  maybe_.erase(name);
  SubmitTask(name, entry, now);
}

// What happens on workers.

void ZoneScheduler::Handle(const LeaseEvent& event, Now now) {
  switch (event.kind) {
    case LeaseEventKind::kSealed:
    case LeaseEventKind::kLapsed:
      workers_changed_ = true;
      return;
    case LeaseEventKind::kSilent: {
      workers_changed_ = true;
      // Work that may run twice does not wait for certainty.
      std::vector<std::string> movable;
      for (const auto& [name, lease] : book_.leases()) {
        const auto it = tasks_.find(name);
        if (lease.worker == event.worker && it != tasks_.end() &&
            !it->second.exclusive && it->second.repeatable) {
          movable.push_back(name);
        }
      }
      for (const std::string& name : movable) {
        book_.Abandon(name);
        BackToQueue(name, tasks_[name], tasks_[name].progress_ms, false, now);
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
        writer_.Add(OnceReleaseEntry{led_epoch_, event.task, event.attempt});
      workers_changed_ = true;
      if (!event.refusal.empty())
        decider_->SetSchedulable(it->second.worker, false);
      BackToQueue(event.task, it->second, it->second.progress_ms, false, now);
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
    // Not known here does not mean not wanted.
    early_[{event.worker, event.attempt}] = event;
    return;
  }
  book_.StopUnwanted(event.worker, event.row, now.mono);
  workers_changed_ = true;
}

bool ZoneScheduler::AdoptFound(const LeaseEvent& event, Now now) {
  const auto it = tasks_.find(event.task);
  if (it == tasks_.end()) return false;
  TaskEntry& entry = it->second;
  if (entry.stage != Stage::kMaybe && entry.stage != Stage::kWaiting)
    return false;
  const WorkRecord* record = RecordOf(entry.intent);
  const WorkerId worker = decider_->cell().Find(event.worker);
  if (record == nullptr || worker == kNoWorker) return false;
  Forget(event.task, entry, now);
  const int16_t team =
      std::max<int16_t>(decider_->FindTeam(record->intent.team), 0);
  TaskSpec spec = SpecOf(record->intent, GroupOf(entry.intent), team, now);
  spec.done_ms = event.row.progress_ms;
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
  book_.Adopt(event.worker, event.row, now.mono);
  return true;
}

void ZoneScheduler::HandleEnded(const LeaseEvent& event, Now now) {
  if (!Ready(now) || synced_plan_ == kNeverSynced) {
    if (event.kind != LeaseEventKind::kVanished) {
      early_[{event.worker, event.attempt}] = event;
    }
    return;
  }
  if (event.kind == LeaseEventKind::kVanished) ++counts_.vanished;
  const auto it = tasks_.find(event.task);
  if (it == tasks_.end()) return book_.Acknowledge(event.worker, event.attempt);
  TaskEntry& entry = it->second;
  if (entry.stage == Stage::kEnding) {
    if (!entry.end_queued) QueueEnd(event.task, entry);
    return;
  }
  const bool current =
      entry.stage == Stage::kLeased && entry.attempt == event.attempt;
  const bool from_before =
      entry.stage == Stage::kMaybe || entry.stage == Stage::kWaiting;
  if (entry.unwanted && current) {
    book_.Acknowledge(event.worker, event.attempt);
    const TaskEntry old = entry;
    Forget(event.task, entry, now);
    tasks_.erase(it);
    // Wanted again meanwhile, for example by a second resize.
    if (Wanted(old)) AddTask(*RecordOf(old.intent), old.index, now);
    return;
  }
  if (event.kind == LeaseEventKind::kFinished && (current || from_before)) {
    RecordEnd(event.task, entry, event.failed ? "failed" : "finished",
              event.worker, event.attempt, now);
    return;
  }
  if (event.kind != LeaseEventKind::kVanished)
    book_.Acknowledge(event.worker, event.attempt);
  if (from_before)
    entry.progress_ms = std::max(entry.progress_ms, event.progress_ms);
  if (current) {
    BackToQueue(event.task, entry,
                std::max(entry.progress_ms, event.progress_ms),
                event.kind == LeaseEventKind::kVanished, now);
  }
}

void ZoneScheduler::BackToQueue(const std::string& name, TaskEntry& entry,
                                int64_t progress_ms, bool may_have_run,
                                Now now) {
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
  QueueEnd(name, entry);
}

void ZoneScheduler::QueueEnd(const std::string& name, TaskEntry& entry) {
  // When the writer is full the row stays with its worker, which tells of it
  // again.
  entry.end_queued =
      writer_.Add(TaskEndedEntry{led_epoch_, name, entry.outcome});
}

void ZoneScheduler::OnEndRecorded(const std::string& name, Now now) {
  const auto it = tasks_.find(name);
  if (it == tasks_.end() || Wanted(it->second)) return;
  TaskEntry& entry = it->second;
  if (entry.stage == Stage::kEnding) {
    book_.Acknowledge(entry.ending_worker, entry.attempt);
  }
  if (!Dismiss(name, entry, now)) tasks_.erase(it);
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
  for (const LeaseEvent& event : book_.OnHoldReply(
           sent.worker, sent.request.mode, sent_at, reply, now.mono)) {
    Handle(event, now);
  }
}

void ZoneScheduler::OnStartReply(const SendStart& sent,
                                 const std::optional<CommandReply>& reply,
                                 Now now) {
  if (!leading_ || sent.request.epoch != led_epoch_) return;
  const StartRequest& request = sent.request;
  for (const LeaseEvent& event :
       book_.OnStartReply(request.task, request.attempt, reply, now.mono))
    Handle(event, now);
}

void ZoneScheduler::OnStopReply(const SendStop& sent,
                                const std::optional<CommandReply>& reply,
                                Now now) {
  if (!leading_ || sent.request.epoch != led_epoch_) return;
  for (const LeaseEvent& event :
       book_.OnStopReply(sent.request.task, sent.request.attempt, reply))
    Handle(event, now);
}

// Orders of the decision core.

void ZoneScheduler::CarryOut(const Order& order, Now now,
                             std::vector<Action>& actions) {
  const std::string name = names_[order.task];
  const auto it = tasks_.find(name);
  if (it == tasks_.end()) return;
  if (order.kind == Order::Kind::kYield) {
    book_.Stopping(name,
                   order.checkpoint ? StopMode::kCheckpoint : StopMode::kStop,
                   now.mono);
    return;
  }
  TaskEntry& entry = it->second;
  entry.worker = order.worker;
  entry.attempt = ++next_attempt_;
  if (entry.repeatable) {
    StartTask(name, entry, now, actions);
    return;
  }
  entry.stage = Stage::kClaiming;
  claiming_.insert(name);
  writer_.Add(OnceStartEntry{led_epoch_, name, entry.attempt});
}

void ZoneScheduler::TickClaims(Now now, std::vector<Action>& actions) {
  for (auto it = claiming_.begin(); it != claiming_.end();) {
    const std::string name = *it;
    TaskEntry& entry = tasks_[name];
    const int64_t claimed = replica_.state().OnceAttempt(name);
    if (claimed == 0) {
      ++it;
      continue;
    }
    it = claiming_.erase(it);
    if (claimed == entry.attempt) {
      StartTask(name, entry, now, actions);
    } else {
      RecordEnd(name, entry, "unknown", "", entry.attempt, now);
    }
  }
}

void ZoneScheduler::StartTask(const std::string& name, TaskEntry& entry,
                              Now now, std::vector<Action>& actions) {
  const WorkRecord* record = RecordOf(entry.intent);
  if (record == nullptr) return;
  const std::string& worker = decider_->cell().Name(entry.worker);
  entry.stage = Stage::kLeased;
  ++counts_.starts;
  if (entry.starts++ > 0) ++counts_.restarts;
  SendStart start{worker, {}};
  start.request.holder = options_.leadership.holder;
  start.request.epoch = led_epoch_;
  start.request.not_after_ms = NotAfter(now);
  start.request.lease_ttl = options_.leases.lease_ttl;
  start.request.task = name;
  start.request.attempt = entry.attempt;
  start.request.resources = record->intent.resources;
  start.request.work = record->intent.task_duration;
  start.request.progress_ms = entry.progress_ms;
  start.request.decision = DecisionText(entry.id);
  book_.Starting(name, entry.attempt, worker, start.request.resources,
                 start.request.decision, now.mono);
  actions.push_back(std::move(start));
}

void ZoneScheduler::TickDrains(Now now) {
  if (leaving_.empty() && replica_.state().drained_hosts().empty()) return;
  const Cell& cell = decider_->cell();
  std::vector<std::string> to_stop;
  for (WorkerId id = 0; id < static_cast<WorkerId>(cell.size()); ++id) {
    if (decider_->TasksOn(id).empty() || !Leaving(cell.Name(id))) continue;
    for (const TaskId task : decider_->TasksOn(id)) {
      const TaskRow& row = decider_->task(task);
      if (row.state != TaskState::kPlaced || row.pinned) continue;
      const int64_t left_ms =
          row.started_ms + row.duration_ms - MonoMillis(now);
      if (!row.service &&
          left_ms < absl::ToInt64Milliseconds(options_.drain_patience))
        continue;
      to_stop.push_back(names_[task]);
    }
  }
  for (const std::string& name : to_stop) {
    const Lease* lease = book_.Find(name);
    if (lease == nullptr || lease->phase != LeasePhase::kRunning) continue;
    const WorkRecord* record = RecordOf(tasks_[name].intent);
    const bool checkpoint = record != nullptr && record->intent.checkpoints;
    book_.Stopping(name, checkpoint ? StopMode::kCheckpoint : StopMode::kStop,
                   now.mono);
  }
}

// Operators.

std::string ZoneScheduler::DecisionText(TaskId id) const {
  const std::optional<Decision> decision = decider_->LastDecision(id);
  return decision ? decision->ToText(decider_->cell())
                  : "the record of this decision is no longer kept";
}

Result<Plan> ZoneScheduler::Propose(const std::vector<Intent>& intents,
                                    Now now) {
  if (!leading_ || !Ready(now)) {
    return MakeError(ErrorCode::kUnavailable,
                     "this scheduler does not lead its zone", absl::Seconds(1));
  }
  if (synced_plan_ != replica_.state().last_plan()) SyncWork(now);
  if (std::exchange(workers_changed_, false)) RefreshSchedulable();
  PlanContext context{options_.zone, replica_.state(), *decider_,
                      [this](TaskId id) {
                        const auto it = names_.find(id);
                        return it == names_.end() ? std::string("new")
                                                  : it->second;
                      },
                      absl::StrFormat("%s-%x-%d", options_.zone,
                                      options_.incarnation, ++plans_made_)};
  return MakePlan(intents, context, now);
}

Result<void> ZoneScheduler::Confirm(const Plan& plan, Now now) {
  if (!leading_ || !Ready(now)) {
    return MakeError(ErrorCode::kUnavailable,
                     "this scheduler does not lead its zone", absl::Seconds(1));
  }
  if (LogDown(now.mono)) {
    return MakeError(ErrorCode::kUnavailable,
                     "the log does not answer, so nothing can be promised; "
                     "nothing was confirmed",
                     absl::Seconds(5));
  }
  if (FateOf(plan.id) == ZoneState::PlanFate::kConfirmed) return Success();
  if (plan.base != replica_.state().last_plan()) {
    return MakeError(ErrorCode::kStale,
                     "another plan was confirmed since this one was made; look "
                     "at the fresh plan");
  }
  if (!writer_.Add(PlanEntry{plan.id, plan.base, plan.intents})) {
    return MakeError(ErrorCode::kOverloaded, "too much waits for the log",
                     absl::Seconds(2));
  }
  return Success();
}

Result<std::string> ZoneScheduler::Explain(const std::string& task) const {
  const auto it = tasks_.find(task);
  if (it == tasks_.end()) {
    return MakeError(
        ErrorCode::kNotFound,
        absl::StrCat("no task ", task,
                     " is known here: it ended, was never confirmed, "
                     "or another zone has it; a task is named INTENT/NUMBER"));
  }
  const TaskEntry& entry = it->second;
  switch (entry.stage) {
    case Stage::kMaybe:
      return std::string(
          "not started by this leader: it may still run on a worker that has "
          "not answered since the leader "
          "changed; it starts when that worker answers or its leases have "
          "lapsed for certain");
    case Stage::kWaiting:
      return DecisionText(entry.id);
    case Stage::kClaiming:
      return absl::StrCat(DecisionText(entry.id),
                          "; it must not be repeated, and starts when the log "
                          "has taken that down");
    case Stage::kLeased: {
      const Lease* lease = book_.Find(task);
      return lease == nullptr ? DecisionText(entry.id)
                              : absl::StrCat("running ", lease->decision);
    }
    case Stage::kEnding:
      return absl::StrCat("ended (", entry.outcome,
                          "); the log is about to take that down");
  }
  return std::string();
}

std::vector<std::string> ZoneScheduler::Watch(int64_t after,
                                              int64_t* next) const {
  const auto& decisions = decider_->decisions();
  const int64_t total = decider_->counts().decisions;
  const int64_t first = total - static_cast<int64_t>(decisions.size());
  std::vector<std::string> out;
  const int64_t from = after > total ? first : std::max(after, first);
  for (int64_t i = from; i < total; ++i) {
    const Decision& decision = decisions[static_cast<size_t>(i - first)];
    const auto name = names_.find(decision.task);
    out.push_back(absl::StrCat("#", i, " ",
                               name == names_.end() ? "(ended)" : name->second,
                               ": ", decision.ToText(decider_->cell())));
  }
  *next = total;
  return out;
}

}  // namespace keelbridge
