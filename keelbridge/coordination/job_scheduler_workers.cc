// What workers tell, and what their silence means.

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/coordination/job_scheduler.h"
#include "keelbridge/protocol/worker_incarnation.h"
#include "keelbridge/state/known_workers.h"

namespace keelbridge {
namespace {

// Between two looks at all workers, for what falls due by time alone.
constexpr absl::Duration kSweepEvery = absl::Milliseconds(50);
constexpr absl::Duration kObserveRetry = absl::Milliseconds(300);
constexpr absl::Duration kStopRetry = absl::Milliseconds(400);
// The same for both where answers get lost: what was lost is asked again.
constexpr absl::Duration kLossyRetry = absl::Milliseconds(30);
// How long the answer to a look waits for an end where answers get lost: a lost
// one leaves the worker's ends unheard for that long.
constexpr absl::Duration kLossyObserveWait = absl::Milliseconds(150);
// An unanswered order was lost if the worker answers another this soon after.
constexpr absl::Duration kLossSettled = absl::Seconds(1);
// Looks at one worker that may be under way at a time.
constexpr int kMostLooks = 3;
// A task of at most this estimate is checked on once its end is overdue, after
// so many times the estimate, and again after each pause.
constexpr int64_t kCheckedEstimateMs = 2000;
constexpr double kOverdueFactor = 1.3;
constexpr absl::Duration kCheckAgain = absl::Milliseconds(250);
// How long after a start without an answer a listing may still explain it.
constexpr absl::Duration kUncertainPatience = absl::Milliseconds(300);
constexpr absl::Duration kRetryAfterRefusal = absl::Milliseconds(100);
constexpr absl::Duration kSuspectAfterRefusal = absl::Seconds(2);
// A worker that answered nothing for this long gets no new work.
constexpr absl::Duration kSilentAfter = absl::Milliseconds(2500);
// Runs of one leader's epoch are numbered from here on, so that a later leader
// never gives a number again.
constexpr int32_t kRunsInEpoch = 1000;

}  // namespace

void JobScheduler::OnWorkerRecord(const WorkerRecord& record, Now now) {
  const std::string name = ParseWorkerLife(record.id).name;
  const auto unborn = workers_.find(name);
  if (unborn != workers_.end() && workers_.count(record.id) == 0)
    NameLife(*unborn->second, record.id);
  auto& slot = workers_[record.id];
  const bool fresh = slot == nullptr;
  if (fresh) {
    slot = std::make_unique<Worker>();
    slot->free = record.capacity;
    slot->record = record;
    slot->fence = NextFence(name);
    TellOf(*slot);
    // A machine runs one life at a time, but records do not tell which: that
    // of a life that is over may linger. The machine's answer tells.
    for (auto& [id, other] : workers_) {
      if (id == record.id || other == nullptr || record.machine.empty() ||
          other->record.machine != record.machine)
        continue;
      other->next_observe = now.mono;
      Attend(*other);
    }
    // The platform lists one life of a worker, and that is not these.
    for (Worker* other : LivesOf(name)) {
      if (other == slot.get()) continue;
      other->record_removed = true;
      other->next_observe = now.mono;
      Attend(*other);
      NoteRestart(*slot, now);
    }
    Explain("worker_found", {{"worker", record.id},
                             {"machine", record.machine},
                             {"zone", record.zone}});
  }
  Worker& worker = *slot;
  if (!fresh && record.draining && !worker.record.draining) {
    Explain("worker_draining",
            {{"worker", record.id},
             {"leaves_in_ms", absl::StrCat(record.leaves_in_ms)}});
  }
  if (!fresh && record.capacity != worker.record.capacity) {
    Explain(
        "worker_capacity",
        {{"worker", record.id},
         {"cpu_milli_before", absl::StrCat(worker.record.capacity.cpu_milli)},
         {"cpu_milli", absl::StrCat(record.capacity.cpu_milli)},
         {"memory_mib", absl::StrCat(record.capacity.memory_mib)},
         {"accelerators", absl::StrCat(record.capacity.accelerators)},
         {"runs", absl::StrCat(worker.occupants.size())}});
  }
  const bool closes = worker.closed || !worker.last_tasks.empty();
  if (closes && !record.draining) TellOf(worker);
  const Resources used = worker.record.capacity - worker.free;
  if (!fresh) worker.free = record.capacity - used;
  worker.record = record;
  worker.record_removed = false;
  if (fresh) Attend(worker);
  placement_wanted_ = true;
}

void JobScheduler::TellOf(Worker& worker) {
  worker.leased_by = epoch_;
  worker.closed = false;
  worker.last_tasks.clear();
  worker.known_at_batch = next_batch_;
  untold_workers_.insert(worker.record.id);
}

// A worker that has left does not answer the next leader, which then held back
// all work that it had not seen for that worker's lease: 15 s where leases are
// of 10 s, though nothing had run there for seconds. Not before its ends are
// kept: a batch may be kept in part, its workers first, and a leader that did
// not wait would start again what only this worker knows to be done.
void JobScheduler::CloseLeaving(Worker& worker) {
  if (worker.closed || !worker.record.draining || !worker.listed ||
      !worker.unnoted.empty())
    return;
  std::vector<TaskId> tasks;
  for (const auto& [key, occupant] : worker.occupants) {
    if (tasks.empty() || tasks.back() != key.first) tasks.push_back(key.first);
  }
  // What was told names all that is left: it need not be told again.
  const bool told =
      std::includes(worker.last_tasks.begin(), worker.last_tasks.end(),
                    tasks.begin(), tasks.end());
  if (told && !tasks.empty()) return;
  worker.closed = tasks.empty();
  worker.last_tasks = std::move(tasks);
  untold_workers_.insert(worker.record.id);
  Explain("worker_closed",
          {{"worker", worker.record.id},
           {"tasks_left", absl::StrCat(worker.last_tasks.size())}});
}

void JobScheduler::OnWorkerRemoved(const std::string& name) {
  for (Worker* worker : LivesOf(name)) {
    if (std::exchange(worker->record_removed, true)) continue;
    Explain("worker_record_removed",
            {{"worker", worker->record.id},
             {"runs", absl::StrCat(worker->occupants.size())}});
  }
}

void JobScheduler::TakeClock(Worker& worker, int64_t clock_ms, absl::Time at) {
  if (clock_ms < 0) return;
  // Answers on different connections may overtake each other.
  if (worker.clock_ms >= 0 && clock_ms < worker.clock_ms) return;
  // From its first answer on this leader may extend its lease.
  if (worker.leased_by != epoch_) TellOf(worker);
  worker.clock_ms = clock_ms;
  worker.clock_at = at;
}

int64_t JobScheduler::LeaseUntil(Worker& worker, absl::Time now) {
  if (worker.clock_ms < 0) return 0;
  const int64_t since = absl::ToInt64Milliseconds(now - worker.clock_at);
  const int64_t lease = absl::ToInt64Milliseconds(options_.lease);
  const int64_t until = worker.clock_ms + since + lease;
  const absl::Duration longest =
      absl::Milliseconds(static_cast<double>(since + lease) /
                         (1.0 - options_.clock_error)) +
      kLapseMargin;
  worker.lapse_at = std::max(worker.lapse_at, worker.clock_at + longest);
  return until;
}

JobScheduler::Occupant& JobScheduler::Occupy(Worker& worker, const TaskId& task,
                                             int32_t run, const Resources& need,
                                             Now now) {
  const auto [it, inserted] = worker.occupants.try_emplace({task, run});
  if (inserted) {
    it->second.need = need;
    it->second.placed = now.mono;
    it->second.percent_changed = now.mono;
    it->second.check_at = CheckTime(task, now.mono);
    worker.next_check = std::min(worker.next_check, it->second.check_at);
    NoteYield(it->second, task, now);
    worker.free -= need;
  }
  return it->second;
}

void JobScheduler::Release(Worker& worker, const RunKey& key) {
  const auto it = worker.occupants.find(key);
  if (it == worker.occupants.end()) return;
  worker.free += it->second.need;
  if (it->second.stop_wanted) worker.stopping -= it->second.need;
  if (it->second.unknown_size) --worker.unknown_sizes;
  worker.occupants.erase(it);
  placement_wanted_ = true;
}

void JobScheduler::Requeue(const TaskId& task_id, int32_t run,
                           const std::string& worker, absl::Time retry_at) {
  const auto job = jobs_.find(task_id.job);
  if (job == jobs_.end()) return;
  TaskState* task = job->second->FindTask(task_id);
  if (task == nullptr || task->run != run || task->worker != worker) return;
  if (task->phase == TaskPhase::kDone) return;
  task->phase = TaskPhase::kWaiting;
  task->worker.clear();
  task->retry_at = retry_at;
  if (!task->exposed.worker.empty()) MarkDirty(*job->second);
  task->exposed = ExposedRun();
  NotePlacement(*job->second, task_id, "");
  placement_wanted_ = true;
}

void JobScheduler::OnStartReply(const StartAction& action,
                                const OrderReply& reply, Now now) {
  const auto found = workers_.find(action.worker.id);
  if (found == workers_.end()) return;
  Worker& worker = *found->second;
  TakeClock(worker, reply.clock_ms, now.mono);
  const RunKey key{action.order.task, action.order.run};
  const auto occupant = worker.occupants.find(key);
  if (reply.result != OrderResult::kDone) {
    ++figures_.starts_refused;
    Explain("start_not_done", {{"task", TaskIdText(key.first)},
                               {"run", absl::StrCat(key.second)},
                               {"worker", action.worker.id},
                               {"result", OrderResultName(reply.result)},
                               {"detail", reply.message}});
  }
  if (occupant == worker.occupants.end()) return;
  Job* job =
      jobs_.count(key.first.job) > 0 ? jobs_[key.first.job].get() : nullptr;
  TaskState* task = job != nullptr ? job->FindTask(key.first) : nullptr;
  const bool current = task != nullptr && task->run == key.second &&
                       task->worker == action.worker.id;
  switch (reply.result) {
    case OrderResult::kDone:
      answer_times_.OnAnswer(now.mono - occupant->second.placed);
      NoteAnswered(worker, now);
      occupant->second.start_answered = now.mono;
      worker.last_answer = now.mono;
      if (current && task->phase == TaskPhase::kStarting)
        task->phase = TaskPhase::kRunning;
      if (job != nullptr) job->begun = true;
      return;
    case OrderResult::kUnknown:
      NoteUnanswered(worker, now);
      if (occupant->second.start_answered <= now.mono) return;  // It was seen.
      occupant->second.uncertain = true;
      occupant->second.uncertain_since = now.mono;
      worker.unsettled = true;
      if (current) task->phase = TaskPhase::kUncertain;
      NoteUnansweredStart(worker, key, occupant->second, now);
      worker.next_observe = now.mono;
      worker.look_wanted = options_.policy.settle_soon;
      Attend(worker);
      return;
    case OrderResult::kOtherLife:
      return OnOtherLife(worker, reply.life, now);
    case OrderResult::kFenced:
      HasSeenOwnFence(worker, action.order.fence, now);
      break;
    case OrderResult::kUnhealthy:
      worker.suspect_until = now.mono + kSuspectAfterRefusal;
      break;
    case OrderResult::kNotSent:
      worker.suspect_until = now.mono + kRetryAfterRefusal;
      break;
    case OrderResult::kBadTicket:
      if (StepState* step = job != nullptr ? job->FindStep(key.first) : nullptr)
        step->advice.tickets.erase(action.worker.id);
      break;
    case OrderResult::kNoRoom:
      worker.suspect_until = now.mono + kRetryAfterRefusal;
      break;
    default:
      break;
  }
  // It was not started there and will not be.
  Release(worker, key);
  Requeue(key.first, key.second, action.worker.id,
          reply.result == OrderResult::kBadTicket
              ? now.mono
              : now.mono + kRetryAfterRefusal);
}

void JobScheduler::MarkStopping(Worker& worker, Occupant& occupant) {
  if (occupant.stop_wanted) return;
  occupant.stop_wanted = true;
  worker.unsettled = true;
  worker.stopping += occupant.need;
}

void JobScheduler::WantStop(Worker& worker, const RunKey& key) {
  const auto it = worker.occupants.find(key);
  if (it == worker.occupants.end()) return;
  MarkStopping(worker, it->second);
  Attend(worker);
  const auto job = jobs_.find(key.first.job);
  if (job == jobs_.end()) return;
  TaskState* task = job->second->FindTask(key.first);
  const bool current = task != nullptr && task->run == key.second &&
                       task->worker == worker.record.id &&
                       task->phase != TaskPhase::kDone;
  if (current) task->phase = TaskPhase::kStopping;
}

void JobScheduler::SendStops(Worker& worker, Now now) {
  if (!std::exchange(worker.unsettled, false)) return;
  const absl::Duration retry =
      answer_times_.AnswersGetLost(now.mono) ? kLossyRetry : kStopRetry;
  for (auto& [key, occupant] : worker.occupants) {
    worker.unsettled =
        worker.unsettled || occupant.uncertain || occupant.stop_wanted;
    const bool unsettled = occupant.uncertain && !occupant.stop_wanted;
    // A listing from after it was given up does not show it: it may still come.
    const bool not_listed = options_.policy.settle_soon &&
                            worker.listing_sent >= occupant.uncertain_since;
    const bool overdue =
        now.mono - occupant.placed > kUncertainPatience &&
        worker.last_answer > occupant.placed + kUncertainPatience;
    if (unsettled && (not_listed || overdue)) MarkStopping(worker, occupant);
    const bool due = occupant.stop_wanted && !occupant.stop_in_flight &&
                     now.mono - occupant.stop_sent > retry;
    if (!due) continue;
    occupant.stop_sent = now.mono;
    occupant.stop_in_flight = true;
    StopAction action{worker.record, {key.first, key.second, worker.fence}};
    if (options_.policy.settle_soon)
      action.order.timeout = answer_times_.Patience();
    actions_.push_back(std::move(action));
    Explain("stop_sent", {{"task", TaskIdText(key.first)},
                          {"run", absl::StrCat(key.second)},
                          {"worker", worker.record.id}});
  }
}

void JobScheduler::OnStopReply(const StopAction& action,
                               const OrderReply& reply, Now now) {
  const auto found = workers_.find(action.worker.id);
  if (found == workers_.end()) return;
  Worker& worker = *found->second;
  TakeClock(worker, reply.clock_ms, now.mono);
  if (reply.result == OrderResult::kFenced)
    HasSeenOwnFence(worker, action.order.fence, now);
  if (reply.result == OrderResult::kOtherLife)
    return OnOtherLife(worker, reply.life, now);
  const auto it = worker.occupants.find({action.order.task, action.order.run});
  if (it == worker.occupants.end()) return;
  it->second.stop_in_flight = false;
  if (reply.result == OrderResult::kUnknown) NoteUnanswered(worker, now);
  if (reply.result == OrderResult::kDone) {
    it->second.stop_answered = std::min(it->second.stop_answered, now.mono);
    NoteAnswered(worker, now);
    worker.next_observe = now.mono;
    // A run that is there ends soon, and a look that waits hears of that.
    worker.look_wanted = options_.policy.settle_soon && it->second.uncertain;
    Attend(worker);
  }
}

void JobScheduler::OnObserveReply(const ObserveAction& action,
                                  const ObserveReply& reply, absl::Time sent,
                                  Now now) {
  const auto found = workers_.find(action.worker.id);
  if (found == workers_.end()) return;
  Worker& worker = *found->second;
  --worker.looks_open;
  if (reply.order.result == OrderResult::kOtherLife) {
    OnOtherLife(worker, reply.order.life, now);
    worker.next_observe = now.mono + kObserveRetry;
    return;
  }
  if (reply.order.result != OrderResult::kDone)
    return OnLookFailed(worker, action, reply.order, sent, now);
  if (!reply.order.life.empty()) {
    if (workers_.count(reply.order.life) > 0)
      return OnOtherLife(worker, reply.order.life, now);
    NameLife(worker, reply.order.life);
  }
  ForgetSilence(worker);
  if (worker.failed_observations > 0) {
    worker.failed_observations = 0;
    Explain("worker_back", {{"worker", worker.record.id}});
  }
  TakeClock(worker, reply.order.clock_ms, now.mono);
  worker.last_answer = now.mono;
  NoteAnswered(worker, now);
  HoldSilentLosses(worker, now);
  // A later listing was taken already: what this one shows as running may have
  // ended.
  if (reply.order.clock_ms < worker.listing_clock_ms) {
    ++figures_.listings_passed_over;
    return;
  }
  worker.listing_clock_ms = reply.order.clock_ms;
  worker.listing_sent = std::max(worker.listing_sent, sent);
  for (const EndedTask& end : reply.ended) {
    if (end.number <= worker.ends_processed) continue;
    OnEnd(worker, end, now);
    worker.ends_processed = end.number;
    if (worker.unnoted.empty()) unnoted_workers_.push_back(&worker);
    worker.unnoted.emplace_back(end.number, next_batch_);
    batch_wanted_ = true;
  }
  for (const RunningTask& running : reply.running)
    OnRunning(worker, running, now);
  OnMissing(worker, reply, sent, now);
  // While it holds more ends than it listed, not all that it ran is known.
  if (!worker.listed && !reply.more_ends) {
    worker.listed = true;
    placement_wanted_ = true;
    if (!std::exchange(worker.keeps_placements, true))
      untold_workers_.insert(worker.record.id);
    // An earlier leader may just have given the longest lease.
    worker.lapse_at = std::max(worker.lapse_at, now.mono + LongestLease());
  }
  // While ends wait to be kept for good, another look would only list them
  // again.
  worker.next_observe =
      worker.unnoted.empty() ? now.mono : now.mono + kObserveRetry;
  Attend(worker);
}

void JobScheduler::NoteUnanswered(Worker& worker, Now now) {
  worker.unanswered_since = std::min(worker.unanswered_since, now.mono);
}

void JobScheduler::NoteAnswered(Worker& worker, Now now) {
  const absl::Time since =
      std::exchange(worker.unanswered_since, absl::InfiniteFuture());
  // A worker that was out of reach for longer lost no single answers.
  if (since <= now.mono && now.mono - since < kLossSettled)
    answer_times_.OnLost(worker.record.id, now.mono);
}

void JobScheduler::OnLookFailed(Worker& worker, const ObserveAction& action,
                                const OrderReply& reply, absl::Time sent,
                                Now now) {
  if (reply.result == OrderResult::kFenced &&
      HasSeenOwnFence(worker, action.order.fence, now))
    return;
  if (reply.result == OrderResult::kUnknown) NoteUnanswered(worker, now);
  // Nobody listens there: a start would only come back.
  if (reply.result == OrderResult::kNotSent)
    worker.suspect_until = std::max(
        worker.suspect_until, now.mono + kObserveRetry + kRetryAfterRefusal);
  if (worker.lost_since == absl::InfiniteFuture()) {
    worker.lost_since = now.mono;
    NoteSilence(worker, now);
  }
  // Another look was answered meanwhile: it is not silent.
  if (worker.last_answer > sent) return;
  if (++worker.failed_observations == 1) {
    Explain("worker_silent",
            {{"worker", worker.record.id},
             {"result", OrderResultName(reply.result)},
             {"detail", reply.message}},
            Severity::kWarning);
  }
  const bool at_once =
      worker.failed_observations == 1 && answer_times_.AnswersGetLost(now.mono);
  worker.next_observe = now.mono + (at_once ? kLossyRetry : kObserveRetry);
}

void JobScheduler::NoteDurableEnds(Worker& worker) {
  bool noted = false;
  while (!worker.unnoted.empty() &&
         worker.unnoted.front().second <= durable_batch_) {
    worker.ends_noted = worker.unnoted.front().first;
    worker.unnoted.pop_front();
    noted = true;
  }
  if (!noted || !worker.unnoted.empty()) return;
  worker.next_observe = absl::InfinitePast();
  Attend(worker);
}

bool JobScheduler::Reachable(const Worker& worker, Now now) const {
  return now.mono - worker.last_answer < kSilentAfter;
}

void JobScheduler::Attend(Worker& worker) {
  if (worker.in_attention) return;
  worker.in_attention = true;
  attention_.push_back(&worker);
}

void JobScheduler::TickWorkers(Now now) {
  for (Worker* worker : std::exchange(attention_, {})) {
    worker->in_attention = false;
    TickWorker(*worker, now);
  }
  if (now.mono < next_sweep_) return;
  next_sweep_ = now.mono + kSweepEvery;
  std::vector<std::string> gone;
  for (auto& [id, worker] : workers_) {
    TickWorker(*worker, now);
    CloseLeaving(*worker);
    if (IsGone(*worker, now)) gone.push_back(id);
  }
  for (const std::string& id : gone) {
    const auto worker = workers_.find(id);
    const auto forget = [&](std::vector<Worker*>& list) {
      list.erase(std::remove(list.begin(), list.end(), worker->second.get()),
                 list.end());
    };
    forget(attention_);
    forget(unnoted_workers_);
    actions_.push_back(ForgetWorkerAction{id});
    dropped_keys_.push_back(KnownWorkerKey(id));
    // A task that was placed there would else wait for all other workers.
    MovePlacements(id, "");
    workers_.erase(worker);
  }
}

// Of one that was listed under this leader all runs are known: with none left
// nothing there is waited for, whatever lease it had. Kept for that long, 82
// workers that had left were still on record when all nodes lost power, and the
// next leader's recovered work waited 11 s for them.
bool JobScheduler::IsGone(const Worker& worker, Now now) const {
  if (!worker.record_removed || !worker.occupants.empty()) return false;
  // Its key is dropped in the first part of a batch that may be kept in part.
  if (!worker.unnoted.empty()) return false;
  if (worker.listed) return true;
  return now.mono > worker.lapse_at && AllAccountedFor(now);
}

void JobScheduler::TickWorker(Worker& worker, Now now) {
  const bool may_be_lost = worker.listed || worker.took_over;
  if (!worker.occupants.empty() && may_be_lost && !Reachable(worker, now) &&
      now.mono > worker.lapse_at)
    LoseAll(
        worker,
        AnotherLifeAnswered(worker) ? WorkerLoss::kCrash : WorkerLoss::kSilence,
        nullptr, now);
  if (options_.policy.settle_soon) CheckOverdue(worker, now);
  if (IsOnProbation(worker)) AnsweredSince(worker, worker.probation_until, now);
  SendStops(worker, now);
  if (LookIsDue(worker, now)) SendLook(worker, now);
}

bool JobScheduler::LookIsDue(const Worker& worker, Now now) const {
  if (worker.look_wanted) return worker.looks_open < kMostLooks;
  if (worker.looks_open == 0) return now.mono >= worker.next_observe;
  // The answer to the one under way may be lost.
  return options_.policy.settle_soon && worker.looks_open == 1 &&
         worker.failed_observations == 0 &&
         answer_times_.AnswersGetLost(now.mono) &&
         now.mono - worker.look_sent >
             kLossyObserveWait + answer_times_.Patience();
}

absl::Time JobScheduler::CheckTime(const TaskId& task, absl::Time now) const {
  const auto job = jobs_.find(task.job);
  if (job == jobs_.end()) return absl::InfiniteFuture();
  const std::vector<StepSpec>& steps = job->second->spec.steps;
  if (static_cast<size_t>(task.step) >= steps.size())
    return absl::InfiniteFuture();
  const StepSpec& step = steps[static_cast<size_t>(task.step)];
  if (step.lasting || step.estimated_ms > kCheckedEstimateMs)
    return absl::InfiniteFuture();
  return now + absl::Milliseconds(step.estimated_ms) * kOverdueFactor;
}

void JobScheduler::CheckOverdue(Worker& worker, Now now) {
  if (worker.next_check > now.mono || !answer_times_.AnswersGetLost(now.mono))
    return;
  worker.next_check = absl::InfiniteFuture();
  bool overdue = false;
  for (auto& [key, occupant] : worker.occupants) {
    if (occupant.check_at <= now.mono) {
      overdue = true;
      occupant.check_at = now.mono + kCheckAgain;
    }
    worker.next_check = std::min(worker.next_check, occupant.check_at);
  }
  // A busy worker's listings come all the time.
  const bool listed_lately = now.mono - worker.listing_sent < kCheckAgain;
  if (overdue && !listed_lately && worker.failed_observations == 0)
    worker.look_wanted = true;
}

void JobScheduler::SendLook(Worker& worker, Now now) {
  const bool lossy =
      options_.policy.settle_soon && answer_times_.AnswersGetLost(now.mono);
  ++worker.looks_open;
  worker.look_sent = now.mono;
  ObserveAction action;
  action.worker = worker.record;
  action.order.fence = worker.fence;
  action.order.ends_noted = worker.ends_noted;
  // A silent worker's lease is left alone: each try might extend it unseen, and
  // then nobody could tell when it has passed.
  // Nor is it extended before later leaders are told that it may be.
  const bool extend = !suspended_ && worker.failed_observations == 0 &&
                      worker.known_at_batch <= durable_batch_;
  action.order.lease_until_ms = extend ? LeaseUntil(worker, now.mono) : 0;
  const bool wait = worker.listed && worker.unnoted.empty() &&
                    worker.failed_observations == 0 && !worker.look_wanted;
  worker.look_wanted = false;
  const absl::Duration longest =
      lossy ? kLossyObserveWait : options_.observe_wait;
  action.order.wait_ms = wait ? absl::ToInt64Milliseconds(longest) : 0;
  if (lossy) action.order.timeout = 2 * answer_times_.Patience();
  actions_.push_back(std::move(action));
}

// The first run number of an epoch; see kRunsInEpoch.
int32_t FirstRunOfEpoch(int64_t epoch) {
  return static_cast<int32_t>(epoch - 1) * kRunsInEpoch + 1;
}

int64_t EpochOfRun(int32_t run) { return (run - 1) / kRunsInEpoch + 1; }

}  // namespace keelbridge
