#include "keelbridge/coordination/lease_tracker.h"

#include <algorithm>
#include <utility>

namespace keelbridge {
namespace {

constexpr absl::Duration kStopRetryInterval = absl::Seconds(1);

LeaseEvent MakeLeaseEvent(LeaseEventKind kind, const Lease& lease) {
  LeaseEvent event;
  event.kind = kind;
  event.worker = lease.worker;
  event.task = lease.task;
  event.attempt = lease.attempt;
  return event;
}

LeaseEvent MakeWorkerEvent(LeaseEventKind kind, const std::string& worker) {
  LeaseEvent event;
  event.kind = kind;
  event.worker = worker;
  return event;
}

}  // namespace

void LeaseTracker::BeginLeadership(absl::Time now) {
  leases_.clear();
  stopping_.clear();
  for (auto& [name, view] : workers_) {
    view = WorkerView();
    // The previous leader could send until its leadership ended, which was
    // before `now`. The election campaign of this node sent renewals too.
    view.renewed_until = now + options_.command_validity;
  }
}

void LeaseTracker::SetWorkers(const std::vector<std::string>& names) {
  for (const std::string& name : names) workers_.try_emplace(name);
  for (auto it = workers_.begin(); it != workers_.end();) {
    const bool present =
        std::find(names.begin(), names.end(), it->first) != names.end();
    // A worker that is no longer configured is kept until no task of this
    // leader can run there.
    it = present || !it->second.tasks.empty() ? std::next(it)
                                              : workers_.erase(it);
  }
}

void LeaseTracker::OnStartSent(const std::string& task, int64_t attempt,
                               const std::string& worker,
                               const Resources& resources,
                               const std::string& decision, absl::Time now) {
  Lease lease;
  lease.task = task;
  lease.attempt = attempt;
  lease.worker = worker;
  lease.resources = resources;
  lease.phase_since = now;
  lease.sent_at = now;
  lease.decision = decision;
  Remove(task);
  WorkerView& view = workers_[worker];
  lease.incarnation = view.incarnation;
  leases_[task] = std::move(lease);
  view.tasks.insert(task);
  view.renewed_until =
      std::max(view.renewed_until, now + options_.command_validity);
}

void LeaseTracker::Adopt(const std::string& worker, const LeaseRow& row,
                         absl::Time now) {
  Lease lease;
  lease.task = row.task;
  lease.attempt = row.attempt;
  lease.worker = worker;
  lease.resources = row.resources;
  lease.phase = LeasePhase::kRunning;
  lease.phase_since = now;
  lease.started_ms = row.started_ms;
  lease.decision = row.decision;
  Remove(row.task);
  leases_[row.task] = std::move(lease);
  workers_[worker].tasks.insert(row.task);
}

void LeaseTracker::RequestStop(const std::string& task, StopMode mode,
                               absl::Time now) {
  const auto it = leases_.find(task);
  if (it == leases_.end()) return;
  it->second.phase = LeasePhase::kStopping;
  stopping_.insert(task);
  it->second.phase_since = now;
  it->second.stop_mode = mode;
  it->second.next_stop = now;
}

void LeaseTracker::StopUnwanted(const std::string& worker, const LeaseRow& row,
                                absl::Time now) {
  // Tracked under a name of its own, because the task may have a wanted lease
  // elsewhere.
  LeaseRow renamed = row;
  renamed.task = row.task + "#" + std::to_string(row.attempt);
  Adopt(worker, renamed, now);
  RequestStop(renamed.task, StopMode::kStop, now);
}

std::vector<Lease> LeaseTracker::TakeDueStops(absl::Time now) {
  std::vector<Lease> out;
  for (const std::string& task : stopping_) {
    Lease& lease = leases_.at(task);
    if (now < lease.next_stop) continue;
    if (workers_[lease.worker].contact == ContactState::kUnresponsive) continue;
    lease.next_stop = now + kStopRetryInterval;
    out.push_back(lease);
    out.back().task = task.substr(0, task.find('#'));
  }
  return out;
}

std::set<std::string> LeaseTracker::WorkersWithPendingStops() const {
  std::set<std::string> workers;
  for (const std::string& task : stopping_) {
    workers.insert(leases_.at(task).worker);
  }
  return workers;
}

HoldMode LeaseTracker::HoldModeFor(const std::string& worker) const {
  const auto it = workers_.find(worker);
  const bool unresponsive =
      it != workers_.end() &&
      (it->second.contact == ContactState::kUnresponsive ||
       it->second.contact == ContactState::kLapsed);
  return unresponsive ? HoldMode::kQuery : HoldMode::kAcquire;
}

void LeaseTracker::OnHoldSent(const std::string& worker, HoldMode mode,
                              absl::Time now) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || mode != HoldMode::kAcquire) return;
  it->second.renewed_until =
      std::max(it->second.renewed_until, now + options_.command_validity);
}

uint64_t LeaseTracker::ExpectedDigest(const std::string& worker) const {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || it->second.needs_report ||
      it->second.contact != ContactState::kReconciled)
    return 0;
  std::vector<LeaseRow> rows;
  for (const std::string& task : it->second.tasks) {
    const Lease& lease = leases_.at(task);
    if (lease.phase != LeasePhase::kRunning &&
        lease.phase != LeasePhase::kStopping)
      continue;
    LeaseRow row;
    row.task = task.substr(0, task.find('#'));
    row.attempt = lease.attempt;
    rows.push_back(std::move(row));
  }
  return LeaseDigest(rows);
}

std::vector<int64_t> LeaseTracker::Acknowledgements(
    const std::string& worker) const {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return {};
  return {it->second.acknowledged.begin(), it->second.acknowledged.end()};
}

void LeaseTracker::Acknowledge(const std::string& worker, int64_t attempt) {
  const auto it = workers_.find(worker);
  if (it != workers_.end()) it->second.acknowledged.insert(attempt);
}

void LeaseTracker::Remove(const std::string& task) {
  const auto it = leases_.find(task);
  if (it == leases_.end()) return;
  workers_[it->second.worker].tasks.erase(task);
  stopping_.erase(task);
  leases_.erase(it);
}

std::vector<LeaseEvent> LeaseTracker::OnHoldReply(
    const std::string& worker, HoldMode mode, absl::Time sent_at,
    const std::optional<HoldReply>& reply, absl::Time now) {
  std::vector<LeaseEvent> events;
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return events;
  WorkerView& view = it->second;
  if (!reply) {
    OnMissedReply(view, worker, events);
    return events;
  }
  view.missed_replies = 0;
  view.incarnation = reply->incarnation;
  if (view.contact == ContactState::kUnresponsive ||
      view.contact == ContactState::kLapsed) {
    view.contact = ContactState::kUnreconciled;
    view.needs_report = true;
    return events;
  }
  if (mode != HoldMode::kAcquire || !reply->granted) return events;
  if (view.contact == ContactState::kUnreconciled) {
    if (!reply->has_rows) return events;
    view.contact = ContactState::kReconciled;
    view.needs_report = true;
  }
  if (reply->has_rows) {
    ApplyRows(view, worker, sent_at, *reply, now, events);
  } else {
    // The tables agree, so the worker has no row of an ended task left.
    view.acknowledged.clear();
    ResolveStarts(view, sent_at, now, events);
  }
  return events;
}

void LeaseTracker::ApplyRows(WorkerView& view, const std::string& worker,
                             absl::Time sent_at, const HoldReply& reply,
                             absl::Time now, std::vector<LeaseEvent>& events) {
  if (std::exchange(view.needs_report, false))
    events.push_back(MakeWorkerEvent(LeaseEventKind::kReconciled, worker));
  std::set<std::string> present;
  std::set<int64_t> ended;
  for (const LeaseRow& row : reply.rows) {
    if (row.state != LeaseState::kRunning) {
      ended.insert(row.attempt);
      ApplyEndedRow(view, worker, row, events);
      continue;
    }
    const std::string unwanted = row.task + "#" + std::to_string(row.attempt);
    if (leases_.count(unwanted) > 0) {
      present.insert(unwanted);
      continue;
    }
    const auto it = leases_.find(row.task);
    if (it == leases_.end() || it->second.attempt != row.attempt ||
        it->second.worker != worker) {
      LeaseEvent event = MakeWorkerEvent(LeaseEventKind::kFound, worker);
      event.task = row.task;
      event.attempt = row.attempt;
      event.row = row;
      events.push_back(std::move(event));
      continue;
    }
    present.insert(row.task);
    Lease& lease = it->second;
    lease.started_ms = row.started_ms;
    if (lease.phase != LeasePhase::kStarting &&
        lease.phase != LeasePhase::kUnresolved)
      continue;
    lease.phase = LeasePhase::kRunning;
    lease.phase_since = now;
    events.push_back(MakeLeaseEvent(LeaseEventKind::kRunning, lease));
  }
  // The worker has removed an acknowledged attempt that has no row, so the
  // attempt need not be acknowledged again.
  for (auto it = view.acknowledged.begin(); it != view.acknowledged.end();) {
    it = ended.count(*it) == 0 ? view.acknowledged.erase(it) : std::next(it);
  }
  const std::set<std::string> tasks = view.tasks;
  for (const std::string& task : tasks) {
    if (present.count(task) > 0) continue;
    const Lease lease = leases_.at(task);
    const bool was_running = lease.phase == LeasePhase::kRunning ||
                             lease.phase == LeasePhase::kStopping;
    if (!was_running || sent_at <= lease.phase_since) continue;
    Remove(task);
    const bool wanted = task.find('#') == std::string::npos;
    events.push_back(
        wanted ? MakeLeaseEvent(LeaseEventKind::kVanished, lease)
               : MakeWorkerEvent(LeaseEventKind::kReconciled, worker));
  }
  ResolveStarts(view, sent_at, now, events);
}

void LeaseTracker::ApplyEndedRow(WorkerView& view, const std::string& worker,
                                 const LeaseRow& row,
                                 std::vector<LeaseEvent>& events) {
  if (view.acknowledged.count(row.attempt) > 0) return;
  const std::string unwanted = row.task + "#" + std::to_string(row.attempt);
  if (leases_.count(unwanted) > 0) {
    view.acknowledged.insert(row.attempt);
    Remove(unwanted);
    events.push_back(MakeWorkerEvent(LeaseEventKind::kReconciled, worker));
    return;
  }
  LeaseEvent event = MakeWorkerEvent(LeaseEventKind::kStopped, worker);
  event.task = row.task;
  event.attempt = row.attempt;
  event.progress_ms = row.progress_ms;
  event.failed = row.state == LeaseState::kFailed;
  event.row = row;
  if (row.state == LeaseState::kFinished || row.state == LeaseState::kFailed) {
    event.kind = LeaseEventKind::kFinished;
  }
  const auto it = leases_.find(row.task);
  if (it != leases_.end() && it->second.attempt == row.attempt &&
      it->second.worker == worker)
    Remove(row.task);
  events.push_back(std::move(event));
}

// Resolves starts after a worker report, or a matching digest, that was
// requested at `sent_at` and lacks them. An unresolved start whose command has
// expired by `sent_at` never happened, unless the worker restarted or the lease
// lapsed meanwhile. Both leave no row.
void LeaseTracker::ResolveStarts(WorkerView& view, absl::Time sent_at,
                                 absl::Time now,
                                 std::vector<LeaseEvent>& events) {
  const std::set<std::string> tasks = view.tasks;
  for (const std::string& task : tasks) {
    const Lease lease = leases_.at(task);
    if (lease.phase != LeasePhase::kUnresolved ||
        sent_at < lease.resolvable_after) {
      continue;
    }
    const bool row_may_be_gone =
        view.incarnation != lease.incarnation ||
        now > lease.sent_at + options_.lease_ttl - options_.margin;
    Remove(task);
    events.push_back(MakeLeaseEvent(row_may_be_gone
                                        ? LeaseEventKind::kVanished
                                        : LeaseEventKind::kNotStarted,
                                    lease));
  }
}

void LeaseTracker::OnMissedReply(WorkerView& view, const std::string& worker,
                                 std::vector<LeaseEvent>& events) {
  if (++view.missed_replies < options_.unresponsive_after ||
      view.contact != ContactState::kReconciled) {
    if (view.contact == ContactState::kUnreconciled &&
        view.missed_replies >= options_.unresponsive_after)
      view.contact = ContactState::kUnresponsive;
    return;
  }
  view.contact = ContactState::kUnresponsive;
  events.push_back(MakeWorkerEvent(LeaseEventKind::kUnresponsive, worker));
}

std::vector<LeaseEvent> LeaseTracker::OnStartReply(
    const std::string& task, int64_t attempt,
    const std::optional<CommandReply>& reply, absl::Time now) {
  std::vector<LeaseEvent> events;
  const auto it = leases_.find(task);
  if (it == leases_.end() || it->second.attempt != attempt ||
      it->second.phase != LeasePhase::kStarting)
    return events;
  Lease& lease = it->second;
  WorkerView& view = workers_[lease.worker];
  const bool running = reply && (reply->done || reply->refusal == "duplicate");
  if (running) {
    lease.phase = LeasePhase::kRunning;
    lease.phase_since = now;
    events.push_back(MakeLeaseEvent(LeaseEventKind::kRunning, lease));
    return events;
  }
  if (!reply && options_.wait_for_certainty) {
    lease.phase = LeasePhase::kUnresolved;
    lease.resolvable_after = now + options_.command_validity + SafetyMargin();
    view.needs_report = true;
    return events;
  }
  LeaseEvent event = MakeLeaseEvent(LeaseEventKind::kNotStarted, lease);
  event.refusal = reply ? reply->refusal : "";
  // The worker's table differs from what this tracker assumed.
  view.needs_report = true;
  Remove(task);
  events.push_back(std::move(event));
  return events;
}

std::vector<LeaseEvent> LeaseTracker::OnStopReply(
    const std::string& task, int64_t attempt,
    const std::optional<CommandReply>& reply) {
  std::vector<LeaseEvent> events;
  const std::string unwanted = task + "#" + std::to_string(attempt);
  const std::string& name = leases_.count(unwanted) > 0 ? unwanted : task;
  const auto it = leases_.find(name);
  if (it == leases_.end() || it->second.attempt != attempt ||
      it->second.phase != LeasePhase::kStopping)
    return events;
  WorkerView& view = workers_[it->second.worker];
  // Unless the reply confirms the end, the worker's next report decides. An
  // answer that the task is unknown may come from another incarnation.
  if (!reply || !reply->done || !reply->ended) return events;
  LeaseEvent event = MakeLeaseEvent(LeaseEventKind::kStopped, it->second);
  event.progress_ms = reply->progress_ms;
  view.acknowledged.insert(attempt);
  Remove(name);
  events.push_back(name == task ? std::move(event)
                                : MakeWorkerEvent(LeaseEventKind::kReconciled,
                                                  event.worker));
  return events;
}

std::vector<LeaseEvent> LeaseTracker::Tick(absl::Time now) {
  std::vector<LeaseEvent> events;
  for (auto& [worker, view] : workers_) {
    if (view.contact != ContactState::kUnresponsive) continue;
    const absl::Time certain_end =
        view.renewed_until + options_.lease_ttl + SafetyMargin();
    if (options_.wait_for_certainty && now < certain_end) continue;
    view.contact = ContactState::kLapsed;
    const std::set<std::string> tasks = view.tasks;
    for (const std::string& task : tasks) {
      const Lease lease = leases_.at(task);
      Remove(task);
      if (task.find('#') == std::string::npos)
        events.push_back(MakeLeaseEvent(LeaseEventKind::kVanished, lease));
    }
    events.push_back(MakeWorkerEvent(LeaseEventKind::kLapsed, worker));
  }
  return events;
}

bool LeaseTracker::IsReconciled(const std::string& worker) const {
  const auto it = workers_.find(worker);
  return it != workers_.end() &&
         it->second.contact == ContactState::kReconciled &&
         !it->second.needs_report;
}

bool LeaseTracker::HasUnwanted(const std::string& worker) const {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return false;
  return std::any_of(it->second.tasks.begin(), it->second.tasks.end(),
                     [](const std::string& task) {
                       return task.find('#') != std::string::npos;
                     });
}

bool LeaseTracker::HasUnwantedOf(const std::string& task) const {
  const std::string prefix = task + "#";
  const auto it = leases_.lower_bound(prefix);
  return it != leases_.end() &&
         it->first.compare(0, prefix.size(), prefix) == 0;
}

bool LeaseTracker::AllResolved() const {
  return std::all_of(workers_.begin(), workers_.end(), [](const auto& entry) {
    return entry.second.contact == ContactState::kReconciled ||
           entry.second.contact == ContactState::kLapsed;
  });
}

const Lease* LeaseTracker::Find(const std::string& task) const {
  const auto it = leases_.find(task);
  return it == leases_.end() ? nullptr : &it->second;
}

}  // namespace keelbridge
