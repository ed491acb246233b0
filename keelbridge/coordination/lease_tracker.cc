#include "keelbridge/coordination/lease_tracker.h"

#include <algorithm>
#include <utility>

namespace keelbridge {
namespace {

constexpr absl::Duration kAskAgain = absl::Seconds(1);

LeaseEvent EventOf(LeaseEventKind kind, const Lease& lease) {
  LeaseEvent event;
  event.kind = kind;
  event.worker = lease.worker;
  event.task = lease.task;
  event.attempt = lease.attempt;
  return event;
}

LeaseEvent WorkerEvent(LeaseEventKind kind, const std::string& worker) {
  LeaseEvent event;
  event.kind = kind;
  event.worker = worker;
  return event;
}

}  // namespace

void LeaseBook::BeginLeadership(absl::Time now) {
  leases_.clear();
  stopping_.clear();
  for (auto& [name, view] : workers_) {
    view = WorkerView();
    // The leader before could send until its leadership ended, which was before
    // now; our own campaign renewed too.
    view.renewed_until = now + options_.command_validity;
  }
}

void LeaseBook::SetWorkers(const std::vector<std::string>& names) {
  for (const std::string& name : names) workers_.try_emplace(name);
  for (auto it = workers_.begin(); it != workers_.end();) {
    const bool listed =
        std::find(names.begin(), names.end(), it->first) != names.end();
    // A worker that is no longer configured is kept until nothing of ours can
    // run there.
    it = listed || !it->second.tasks.empty() ? std::next(it)
                                             : workers_.erase(it);
  }
}

void LeaseBook::Starting(const std::string& task, int64_t attempt,
                         const std::string& worker, const Resources& resources,
                         const std::string& decision, absl::Time now) {
  Lease lease;
  lease.task = task;
  lease.attempt = attempt;
  lease.worker = worker;
  lease.resources = resources;
  lease.known_since = now;
  lease.sent_at = now;
  lease.decision = decision;
  Drop(task);
  WorkerView& view = workers_[worker];
  lease.incarnation = view.incarnation;
  leases_[task] = std::move(lease);
  view.tasks.insert(task);
  view.renewed_until =
      std::max(view.renewed_until, now + options_.command_validity);
}

void LeaseBook::Adopt(const std::string& worker, const LeaseRow& row,
                      absl::Time now) {
  Lease lease;
  lease.task = row.task;
  lease.attempt = row.attempt;
  lease.worker = worker;
  lease.resources = row.resources;
  lease.phase = LeasePhase::kRunning;
  lease.known_since = now;
  lease.started_ms = row.started_ms;
  lease.decision = row.decision;
  Drop(row.task);
  leases_[row.task] = std::move(lease);
  workers_[worker].tasks.insert(row.task);
}

void LeaseBook::Stopping(const std::string& task, StopMode mode,
                         absl::Time now) {
  const auto it = leases_.find(task);
  if (it == leases_.end()) return;
  it->second.phase = LeasePhase::kStopping;
  stopping_.insert(task);
  it->second.known_since = now;
  it->second.stop_mode = mode;
  it->second.next_stop = now;
}

void LeaseBook::StopUnwanted(const std::string& worker, const LeaseRow& row,
                             absl::Time now) {
  // Under a name of its own, since the task may have a wanted lease elsewhere.
  LeaseRow renamed = row;
  renamed.task = row.task + "#" + std::to_string(row.attempt);
  Adopt(worker, renamed, now);
  Stopping(renamed.task, StopMode::kStop, now);
}

std::vector<Lease> LeaseBook::StopsDue(absl::Time now) {
  std::vector<Lease> out;
  for (const std::string& task : stopping_) {
    Lease& lease = leases_.at(task);
    if (now < lease.next_stop) continue;
    if (workers_[lease.worker].contact == Contact::kSilent) continue;
    lease.next_stop = now + kAskAgain;
    out.push_back(lease);
    out.back().task = task.substr(0, task.find('#'));
  }
  return out;
}

std::set<std::string> LeaseBook::WorkersStopping() const {
  std::set<std::string> workers;
  for (const std::string& task : stopping_) {
    workers.insert(leases_.at(task).worker);
  }
  return workers;
}

HoldMode LeaseBook::HoldModeFor(const std::string& worker) const {
  const auto it = workers_.find(worker);
  const bool silent =
      it != workers_.end() && (it->second.contact == Contact::kSilent ||
                               it->second.contact == Contact::kLapsed);
  return silent ? HoldMode::kQuery : HoldMode::kAcquire;
}

void LeaseBook::OnHoldSent(const std::string& worker, HoldMode mode,
                           absl::Time now) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || mode != HoldMode::kAcquire) return;
  it->second.renewed_until =
      std::max(it->second.renewed_until, now + options_.command_validity);
}

uint64_t LeaseBook::ExpectedDigest(const std::string& worker) const {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || it->second.relist ||
      it->second.contact != Contact::kSealed)
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

std::vector<int64_t> LeaseBook::Acknowledgements(
    const std::string& worker) const {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return {};
  return {it->second.acknowledged.begin(), it->second.acknowledged.end()};
}

void LeaseBook::Acknowledge(const std::string& worker, int64_t attempt) {
  const auto it = workers_.find(worker);
  if (it != workers_.end()) it->second.acknowledged.insert(attempt);
}

void LeaseBook::Drop(const std::string& task) {
  const auto it = leases_.find(task);
  if (it == leases_.end()) return;
  workers_[it->second.worker].tasks.erase(task);
  stopping_.erase(task);
  leases_.erase(it);
}

std::vector<LeaseEvent> LeaseBook::OnHoldReply(
    const std::string& worker, HoldMode mode, absl::Time sent_at,
    const std::optional<HoldReply>& reply, absl::Time now) {
  std::vector<LeaseEvent> events;
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return events;
  WorkerView& view = it->second;
  if (!reply) {
    OnMissed(view, worker, events);
    return events;
  }
  view.missed = 0;
  view.incarnation = reply->incarnation;
  if (view.contact == Contact::kSilent || view.contact == Contact::kLapsed) {
    view.contact = Contact::kUnsealed;
    view.relist = true;
    return events;
  }
  if (mode != HoldMode::kAcquire || !reply->granted) return events;
  if (view.contact == Contact::kUnsealed) {
    if (!reply->has_rows) return events;
    view.contact = Contact::kSealed;
    view.relist = true;
  }
  if (reply->has_rows) {
    TakeRows(view, worker, sent_at, *reply, now, events);
  } else {
    // The tables agree, so no row of an ended task is left there.
    view.acknowledged.clear();
    Settle(view, sent_at, now, events);
  }
  return events;
}

void LeaseBook::TakeRows(WorkerView& view, const std::string& worker,
                         absl::Time sent_at, const HoldReply& reply,
                         absl::Time now, std::vector<LeaseEvent>& events) {
  if (std::exchange(view.relist, false))
    events.push_back(WorkerEvent(LeaseEventKind::kSealed, worker));
  std::set<std::string> listed;
  std::set<int64_t> ended;
  for (const LeaseRow& row : reply.rows) {
    if (row.state != LeaseState::kRunning) {
      ended.insert(row.attempt);
      TakeEndedRow(view, worker, row, events);
      continue;
    }
    const std::string unwanted = row.task + "#" + std::to_string(row.attempt);
    if (leases_.count(unwanted) > 0) {
      listed.insert(unwanted);
      continue;
    }
    const auto it = leases_.find(row.task);
    if (it == leases_.end() || it->second.attempt != row.attempt ||
        it->second.worker != worker) {
      LeaseEvent event = WorkerEvent(LeaseEventKind::kFound, worker);
      event.task = row.task;
      event.attempt = row.attempt;
      event.row = row;
      events.push_back(std::move(event));
      continue;
    }
    listed.insert(row.task);
    Lease& lease = it->second;
    lease.started_ms = row.started_ms;
    if (lease.phase != LeasePhase::kStarting &&
        lease.phase != LeasePhase::kUnsettled)
      continue;
    lease.phase = LeasePhase::kRunning;
    lease.known_since = now;
    events.push_back(EventOf(LeaseEventKind::kRunning, lease));
  }
  // The worker has dropped the rows that it was told to drop.
  for (auto it = view.acknowledged.begin(); it != view.acknowledged.end();) {
    it = ended.count(*it) == 0 ? view.acknowledged.erase(it) : std::next(it);
  }
  const std::set<std::string> tasks = view.tasks;
  for (const std::string& task : tasks) {
    if (listed.count(task) > 0) continue;
    const Lease lease = leases_.at(task);
    const bool was_running = lease.phase == LeasePhase::kRunning ||
                             lease.phase == LeasePhase::kStopping;
    if (!was_running || sent_at <= lease.known_since) continue;
    Drop(task);
    const bool wanted = task.find('#') == std::string::npos;
    events.push_back(wanted ? EventOf(LeaseEventKind::kVanished, lease)
                            : WorkerEvent(LeaseEventKind::kSealed, worker));
  }
  Settle(view, sent_at, now, events);
}

void LeaseBook::TakeEndedRow(WorkerView& view, const std::string& worker,
                             const LeaseRow& row,
                             std::vector<LeaseEvent>& events) {
  if (view.acknowledged.count(row.attempt) > 0) return;
  const std::string unwanted = row.task + "#" + std::to_string(row.attempt);
  if (leases_.count(unwanted) > 0) {
    view.acknowledged.insert(row.attempt);
    Drop(unwanted);
    events.push_back(WorkerEvent(LeaseEventKind::kSealed, worker));
    return;
  }
  LeaseEvent event = WorkerEvent(LeaseEventKind::kStopped, worker);
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
    Drop(row.task);
  events.push_back(std::move(event));
}

// A listing, or a digest that agrees, was asked for at `sent_at` and does not
// hold the unsettled starts whose time is over. They never happened, unless the
// worker restarted or their leases lapsed meanwhile: both leave no row.
void LeaseBook::Settle(WorkerView& view, absl::Time sent_at, absl::Time now,
                       std::vector<LeaseEvent>& events) {
  const std::set<std::string> tasks = view.tasks;
  for (const std::string& task : tasks) {
    const Lease lease = leases_.at(task);
    if (lease.phase != LeasePhase::kUnsettled ||
        sent_at < lease.settles_after) {
      continue;
    }
    const bool forgotten =
        view.incarnation != lease.incarnation ||
        now > lease.sent_at + options_.lease_ttl - options_.margin;
    Drop(task);
    events.push_back(EventOf(
        forgotten ? LeaseEventKind::kVanished : LeaseEventKind::kNotStarted,
        lease));
  }
}

void LeaseBook::OnMissed(WorkerView& view, const std::string& worker,
                         std::vector<LeaseEvent>& events) {
  if (++view.missed < options_.silent_after ||
      view.contact != Contact::kSealed) {
    if (view.contact == Contact::kUnsealed &&
        view.missed >= options_.silent_after)
      view.contact = Contact::kSilent;
    return;
  }
  view.contact = Contact::kSilent;
  events.push_back(WorkerEvent(LeaseEventKind::kSilent, worker));
}

std::vector<LeaseEvent> LeaseBook::OnStartReply(
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
    lease.known_since = now;
    events.push_back(EventOf(LeaseEventKind::kRunning, lease));
    return events;
  }
  if (!reply && options_.wait_for_certainty) {
    lease.phase = LeasePhase::kUnsettled;
    lease.settles_after = now + options_.command_validity + Certainty();
    view.relist = true;
    return events;
  }
  LeaseEvent event = EventOf(LeaseEventKind::kNotStarted, lease);
  event.refusal = reply ? reply->refusal : "";
  // The worker's table is not what this book thinks.
  view.relist = true;
  Drop(task);
  events.push_back(std::move(event));
  return events;
}

std::vector<LeaseEvent> LeaseBook::OnStopReply(
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
  // Otherwise the table will tell; an answer that names no such task may be of
  // another incarnation.
  if (!reply || !reply->done || !reply->ended) return events;
  LeaseEvent event = EventOf(LeaseEventKind::kStopped, it->second);
  event.progress_ms = reply->progress_ms;
  view.acknowledged.insert(attempt);
  Drop(name);
  events.push_back(name == task
                       ? std::move(event)
                       : WorkerEvent(LeaseEventKind::kSealed, event.worker));
  return events;
}

std::vector<LeaseEvent> LeaseBook::Tick(absl::Time now) {
  std::vector<LeaseEvent> events;
  for (auto& [worker, view] : workers_) {
    if (view.contact != Contact::kSilent) continue;
    const absl::Time certain_end =
        view.renewed_until + options_.lease_ttl + Certainty();
    if (options_.wait_for_certainty && now < certain_end) continue;
    view.contact = Contact::kLapsed;
    const std::set<std::string> tasks = view.tasks;
    for (const std::string& task : tasks) {
      const Lease lease = leases_.at(task);
      Drop(task);
      if (task.find('#') == std::string::npos)
        events.push_back(EventOf(LeaseEventKind::kVanished, lease));
    }
    events.push_back(WorkerEvent(LeaseEventKind::kLapsed, worker));
  }
  return events;
}

bool LeaseBook::Sealed(const std::string& worker) const {
  const auto it = workers_.find(worker);
  return it != workers_.end() && it->second.contact == Contact::kSealed &&
         !it->second.relist;
}

bool LeaseBook::HasUnwanted(const std::string& worker) const {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return false;
  return std::any_of(it->second.tasks.begin(), it->second.tasks.end(),
                     [](const std::string& task) {
                       return task.find('#') != std::string::npos;
                     });
}

bool LeaseBook::HasUnwantedOf(const std::string& task) const {
  const std::string prefix = task + "#";
  const auto it = leases_.lower_bound(prefix);
  return it != leases_.end() &&
         it->first.compare(0, prefix.size(), prefix) == 0;
}

bool LeaseBook::AllSettled() const {
  return std::all_of(workers_.begin(), workers_.end(), [](const auto& entry) {
    return entry.second.contact == Contact::kSealed ||
           entry.second.contact == Contact::kLapsed;
  });
}

const Lease* LeaseBook::Find(const std::string& task) const {
  const auto it = leases_.find(task);
  return it == leases_.end() ? nullptr : &it->second;
}

}  // namespace keelbridge
