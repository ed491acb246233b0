#include "keelbridge/coordination/zone_scheduler.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_format.h"

namespace keelbridge {
namespace {

// Attempt numbers are never reused: the epoch is in the high bits and a counter
// in the low bits.
constexpr int kAttemptBits = 31;

int64_t MonoMillis(Now now) { return ToMillis(now.mono); }

}  // namespace

ZoneScheduler::ZoneScheduler(Options options)
    : options_(std::move(options)),
      leadership_(options_.leadership, options_.seed),
      lease_tracker_(options_.leases),
      writer_(options_.log),
      decider_(std::make_unique<Decider>(DeciderOptions())) {}

// Configuration and the zone's state.

void ZoneScheduler::OnConfiguration(const Configuration& configuration) {
  if (configuration.version <= configuration_.version) return;
  const bool new_policy = configuration.policy != configuration_.policy;
  configuration_ = configuration;
  std::vector<std::string> names;
  for (const WorkerConfig& worker : configuration_.workers) {
    if (worker.zone == options_.zone) names.push_back(worker.name);
  }
  leadership_.SetWorkers(names);
  lease_tracker_.SetWorkers(names);
  workers_changed_ = true;
  if (!leading_ || new_policy) {
    // A changed policy needs a new decision core. Its tasks are adopted from
    // the workers' tables, as after an election.
    if (leading_) StopLeading();
    BuildDecider();
    return;
  }
  for (const TeamConfig& team : configuration_.teams)
    decider_->AddTeam(team.name, team.quota);
  SyncWorkers();
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

bool ZoneScheduler::IsLeaving(const std::string& worker) const {
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
    decider_->SetSchedulable(id, lease_tracker_.IsReconciled(name) &&
                                     !lease_tracker_.HasUnwanted(name) &&
                                     !IsLeaving(name) &&
                                     configured.count(name) > 0);
  }
}

void ZoneScheduler::OnLogBatch(const LogBatch& batch, Now now) {
  last_log_answer_ = now.mono;
  const std::set<std::string> drained = replica_.state().drained_hosts();
  const int gaps = replica_.gaps();
  replica_.OnBatch(batch);
  was_current_ = was_current_ || replica_.Current();
  leadership_.RecordEpoch(replica_.state().epoch());
  if (drained != replica_.state().drained_hosts()) workers_changed_ = true;
  const std::optional<EnvelopeId> unacknowledged = writer_.unacknowledged();
  if (unacknowledged && replica_.state().Applied(*unacknowledged)) {
    writer_.OnSeenInLog(now.mono);
  }
  const std::vector<std::string> ended = replica_.TakeEnded();
  if (!leading_) return;
  if (leader_offset_ == INT64_MAX && Authoritative()) {
    leader_offset_ = replica_.next() - 1;
  }
  for (const std::string& name : ended) OnEndRecorded(name, now);
  // After a gap in the log, the ends in the missing records show only in the
  // state.
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

const WorkRecord* ZoneScheduler::FindWorkRecord(
    const std::string& intent) const {
  const auto it = replica_.state().work().find(intent);
  return it == replica_.state().work().end() ? nullptr : &it->second;
}

bool ZoneScheduler::IsWanted(const TaskEntry& entry) const {
  const WorkRecord* record = FindWorkRecord(entry.intent);
  return record != nullptr && entry.index < record->intent.tasks &&
         !record->ended.Contains(entry.index);
}

// Leadership.

bool ZoneScheduler::Authoritative() const {
  // All records of earlier leaders have been applied.
  return replica_.state().epoch() == led_epoch_;
}

bool ZoneScheduler::Ready(Now now) {
  // While the log is down, the records read before must suffice, and work that
  // needs a new record waits. A scheduler that has never read the log only
  // renews leases. Once ready, the scheduler stays ready for the rest of its
  // leadership, even while the log recovers.
  ready_ = ready_ || Authoritative() || (LogDown(now.mono) && was_current_);
  return ready_;
}

void ZoneScheduler::BeginLeading(Now now) {
  leading_ = true;
  ready_ = false;
  led_epoch_ = leadership_.epoch();
  // If only the policy changed, the epoch stays the same. The counter then
  // continues, because attempt numbers are never reused.
  next_attempt_ = std::max(next_attempt_, led_epoch_ << kAttemptBits);
  leader_offset_ = INT64_MAX;
  synced_plan_ = kNeverSynced;
  synced_.clear();
  tasks_.clear();
  names_.clear();
  deferred_events_.clear();
  claiming_.clear();
  ending_.clear();
  unobserved_.clear();
  snapshot_seen_ = replica_.last_snapshot_covers();
  snapshot_seen_at_ = now.mono;
  ++counts_.leaderships;
  BuildDecider();
  lease_tracker_.BeginLeadership(now.mono);
  writer_.Add(LeaderEntry{led_epoch_, options_.name});
}

void ZoneScheduler::StopLeading() {
  leading_ = false;
  led_epoch_ = 0;
}

std::vector<Action> ZoneScheduler::HandOver(Now now) {
  std::vector<Action> actions;
  // If this scheduler does not stop after all, it campaigns again only after
  // the others have had time to take over.
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
    // Only a leader renews task leases. A candidate that did so would keep
    // leases alive that the leader counts as lapsed.
    hold.request.lease_ttl = options_.leases.lease_ttl;
    hold.request.known_digest = lease_tracker_.ExpectedDigest(worker);
    hold.request.acknowledged = lease_tracker_.Acknowledgements(worker);
    lease_tracker_.OnHoldSent(worker, mode, now.mono);
  }
  ++counts_.holds;
  actions.push_back(std::move(hold));
}

void ZoneScheduler::TickHolds(Now now, std::vector<Action>& actions) {
  for (const HoldOrder& order : leadership_.Tick(now)) {
    const bool renewal = leading_ && order.mode == HoldMode::kAcquire;
    PushHold(order.worker,
             renewal ? lease_tracker_.HoldModeFor(order.worker) : order.mode,
             order.epoch, now, actions);
  }
  if (!leading_) return;
  for (const std::string& worker : lease_tracker_.WorkersWithPendingStops()) {
    absl::Time& next = next_extra_hold_[worker];
    if (now.mono < next) continue;
    next = now.mono + options_.stopping_poll_interval;
    PushHold(worker, lease_tracker_.HoldModeFor(worker), led_epoch_, now,
             actions);
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
  for (const LeaseEvent& event : lease_tracker_.Tick(now.mono))
    Handle(event, now);
  if (!Ready(now)) return;
  if (synced_plan_ != replica_.state().last_plan()) SyncWork(now);
  for (const auto& [key, event] : std::exchange(deferred_events_, {}))
    Handle(event, now);
  if (!unobserved_.empty()) ResolveUnobserved(now);
  if (std::exchange(workers_changed_, false)) RefreshSchedulable();
  TickDrains(now);
  TickClaims(now, actions);
  for (const Order& order :
       decider_->Decide(MonoMillis(now), options_.decide_budget))
    CarryOut(order, now, actions);
  for (const Lease& lease : lease_tracker_.TakeDueStops(now.mono)) {
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
  const bool overdue =
      now.mono - snapshot_seen_at_ >= options_.snapshot_interval;
  const bool many_records =
      replica_.OffsetsSinceSnapshot() > options_.records_per_snapshot;
  if (!overdue && !many_records) return;
  // Prevents another snapshot before this one can have been read back.
  snapshot_seen_at_ = now.mono;
  const std::string id =
      absl::StrFormat("%x-%d", options_.incarnation, replica_.next());
  for (SnapshotEntry& piece :
       SplitSnapshot(replica_.state(), id, options_.snapshot_piece_bytes)) {
    writer_.Add(std::move(piece));
  }
}

// Orders of the decision core.

void ZoneScheduler::CarryOut(const Order& order, Now now,
                             std::vector<Action>& actions) {
  const std::string name = names_[order.task];
  const auto it = tasks_.find(name);
  if (it == tasks_.end()) return;
  if (order.kind == Order::Kind::kPreempt) {
    lease_tracker_.RequestStop(
        name, order.checkpoint ? StopMode::kCheckpoint : StopMode::kStop,
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
  writer_.Add(StartClaimEntry{led_epoch_, name, entry.attempt});
}

void ZoneScheduler::TickClaims(Now now, std::vector<Action>& actions) {
  for (auto it = claiming_.begin(); it != claiming_.end();) {
    const std::string name = *it;
    TaskEntry& entry = tasks_[name];
    const int64_t claimed = replica_.state().ClaimedAttempt(name);
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
  const WorkRecord* record = FindWorkRecord(entry.intent);
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
  lease_tracker_.OnStartSent(name, entry.attempt, worker,
                             start.request.resources, start.request.decision,
                             now.mono);
  actions.push_back(std::move(start));
}

void ZoneScheduler::TickDrains(Now now) {
  if (leaving_.empty() && replica_.state().drained_hosts().empty()) return;
  const Cell& cell = decider_->cell();
  std::vector<std::string> to_stop;
  for (WorkerId id = 0; id < static_cast<WorkerId>(cell.size()); ++id) {
    if (decider_->TasksOn(id).empty() || !IsLeaving(cell.Name(id))) continue;
    for (const TaskHandle task : decider_->TasksOn(id)) {
      const TaskRow& row = decider_->task(task);
      if (row.state != TaskState::kPlaced || row.non_preemptible) continue;
      const int64_t left_ms =
          row.started_ms + row.duration_ms - MonoMillis(now);
      if (!row.service &&
          left_ms < absl::ToInt64Milliseconds(options_.drain_grace))
        continue;
      to_stop.push_back(names_[task]);
    }
  }
  for (const std::string& name : to_stop) {
    const Lease* lease = lease_tracker_.Find(name);
    if (lease == nullptr || lease->phase != LeasePhase::kRunning) continue;
    const WorkRecord* record = FindWorkRecord(tasks_[name].intent);
    const bool checkpoint = record != nullptr && record->intent.checkpoints;
    lease_tracker_.RequestStop(
        name, checkpoint ? StopMode::kCheckpoint : StopMode::kStop, now.mono);
  }
}

}  // namespace keelbridge
