#include "testing/support/site_simulation.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/protocol/worker_incarnation.h"
#include "keelbridge/state/known_workers.h"

namespace keelbridge::testing {
namespace {

// Time that a run needs to restore its state from a checkpoint.
constexpr absl::Duration kRestoreDuration = absl::Milliseconds(600);
constexpr absl::Duration kStep = absl::Milliseconds(5);
constexpr absl::Duration kOrderTimeout = absl::Milliseconds(500);
constexpr absl::Duration kAppendRetry = absl::Milliseconds(60);
// How often a leader appends that has nothing to write.
constexpr absl::Duration kRenewInterval = absl::Milliseconds(1500);
constexpr absl::Duration kEarlierLeaderGrace =
    JobScheduler::Options().earlier_leader_grace;
constexpr absl::Duration kGangTimeout = absl::Seconds(3);
constexpr absl::Duration kRecordRemovalDelay = absl::Seconds(3);
constexpr absl::Duration kPollEarlierLeadersInterval = absl::Milliseconds(300);
// A leader that was suspended for longer than this starts nothing until the
// store accepts an append from it.
constexpr absl::Duration kMaxSuspension = absl::Milliseconds(1500);
// A crashing task crashes its worker this long after its start, and the
// worker's next incarnation starts `kCrashDownTime` after the crash.
constexpr absl::Duration kCrashAfter = absl::Milliseconds(10);
constexpr absl::Duration kCrashDownTime = absl::Seconds(3);
// After `kExcusedCrashes` crashes, `kEndlessRepeatStarts` further starts of a
// task count as endless repetition.
constexpr int kExcusedCrashes = 3;
constexpr int kEndlessRepeatStarts = 3;
// Time after which a reduced capacity is enforced, so that leaders can learn of
// it first. A worker reports the reduction within one heartbeat interval.
constexpr absl::Duration kCapacityGrace = absl::Milliseconds(3500);
// How late an order may arrive that the earlier configuration permitted.
constexpr absl::Duration kConfigurationGrace = absl::Milliseconds(500);
constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(500);
// How long ago an earlier leader reported its clock.
constexpr absl::Duration kClockReadingDelay = absl::Milliseconds(3);
constexpr absl::Duration kMaxLongRunningWork = absl::Seconds(8);

std::shared_ptr<SiteConfiguration> MakeConfiguration(
    const SiteSimulation::Options& options) {
  auto out = std::make_shared<SiteConfiguration>();
  out->version = 1;
  out->pools.push_back({SiteSimulation::kPool, false, false});
  out->accounts = options.accounts;
  out->has_accounts = !options.accounts.empty();
  out->queues = options.queues;
  if (!out->queues.empty()) return out;
  Queue queue;
  queue.name = SiteSimulation::kQueue;
  queue.pool = SiteSimulation::kPool;
  queue.max_attempts = options.max_attempts;
  queue.stretch = 2;
  queue.target_latency_ms = 1000;
  queue.advice.needed = options.advice;
  queue.advice.base_ms = 10;
  queue.advice.per_worker_ms = 1;
  queue.advice.validity_ms = 1500;
  out->queues.push_back(queue);
  return out;
}

}  // namespace

SiteSimulation::SiteSimulation(const Options& options)
    : options_(options),
      random_(options.seed),
      workers_(static_cast<size_t>(options.workers)),
      configuration_(MakeConfiguration(options)) {
  for (int i = 0; i < options_.workers; ++i) StartIncarnation(i);
  StartLeader();
}

Now SiteSimulation::CurrentTime() const { return Now{now_, now_}; }

absl::Duration SiteSimulation::Delay() {
  return absl::Milliseconds(0.5 + 3 * Draw());
}

void SiteSimulation::RecordViolation(const std::string& text) {
  violations_.push_back(absl::StrCat(
      absl::ToInt64Milliseconds(now_ - absl::UnixEpoch()), " ms: ", text));
}

void SiteSimulation::After(absl::Duration delay, std::function<void()> step) {
  queue_.emplace(now_ + delay, std::move(step));
}

void SiteSimulation::StartIncarnation(int index, bool keep_id) {
  WorkerSlot& slot = workers_[static_cast<size_t>(index)];
  if (!keep_id) slot.name = absl::StrCat("i-", index, "-", slot.name_count++);
  slot.start_time_ms =
      std::max(slot.start_time_ms + 1, absl::ToUnixMillis(now_));
  SiteWorker::Options options;
  options.record.id = WorkerIncarnationId(
      {slot.name, options_.reusable_names ? slot.start_time_ms : 0});
  options.record.machine = absl::StrCat("m-", index);
  options.record.pool = kPool;
  options.record.zone = absl::StrCat("zone-", index % 3);
  options.record.capacity = options_.capacity;
  slot.capacity_limit = options_.capacity;
  options.stop_time = absl::Milliseconds(200);
  options.clock_rate = 0.98 + 0.02 * Draw();
  slot.incarnation = std::make_unique<SiteWorker>(
      options, [this](const StartOrder& order) { return MakeRunPlan(order); },
      [this](const SiteRun& run, bool begins) { RecordRun(run, begins); },
      now_);
  // The platform lists an incarnation once its record is written.
  const std::string id = slot.incarnation->record().id;
  After(keep_id ? kHeartbeatInterval * Draw() : absl::ZeroDuration(),
        [this, index, id] {
          const SiteWorker& incarnation =
              *workers_[static_cast<size_t>(index)].incarnation;
          if (current_ != nullptr && incarnation.record().id == id &&
              incarnation.alive())
            current_->scheduler->OnWorkerRecord(incarnation.record(),
                                                CurrentTime());
        });
}

SiteRunPlan SiteSimulation::MakeRunPlan(const StartOrder& order) {
  const StepSpec& step =
      jobs_[order.task.job].spec.steps[static_cast<size_t>(order.task.step)];
  const double deviation = options_.estimate_error;
  SiteRunPlan plan;
  plan.need = step.requested;
  plan.work = absl::Milliseconds(step.estimated_ms) *
              (1 - deviation + 2 * deviation * Draw());
  const auto& true_work = jobs_[order.task.job].true_work;
  const auto set = true_work.find(static_cast<size_t>(order.task.step));
  if (set != true_work.end()) plan.work = set->second;
  plan.fails = Draw() < options_.failing_runs;
  plan.gang = step.gang ? step.count : 0;
  plan.writes_checkpoints = step.checkpoints;
  plan.done = std::min(CheckpointedWork(order.checkpoint), plan.work);
  if (!order.checkpoint.empty()) plan.restore_time = kRestoreDuration;
  plan.work += plan.restore_time - plan.done;
  if (step.long_running) {
    plan.fails = Draw() < options_.failing_long_running_runs;
    plan.work = plan.fails ? kMaxLongRunningWork * Draw() : absl::Hours(1);
  }
  return plan;
}

SiteWorker* SiteSimulation::FindWorker(const std::string& worker_id,
                                       bool* cut) {
  for (WorkerSlot& slot : workers_) {
    if (slot.incarnation->record().id != worker_id) continue;
    *cut = slot.cut_until > now_;
    return slot.incarnation.get();
  }
  return nullptr;
}

SiteWorker* SiteSimulation::FindReachableWorker(const std::string& worker_id,
                                                bool* cut) {
  const std::string name = ParseWorkerIncarnation(worker_id).name;
  for (WorkerSlot& slot : workers_) {
    if (slot.name != name) continue;
    *cut = slot.cut_until > now_;
    return slot.incarnation.get();
  }
  return nullptr;
}

TaskId SiteSimulation::FailureKey(const TaskId& task) {
  const StepSpec& step =
      jobs_[task.job].spec.steps[static_cast<size_t>(task.step)];
  TaskId failure_key = task;
  if (step.gang) failure_key.index = 0;
  return failure_key;
}

std::set<int32_t> SiteSimulation::FailedRunsInLease(const TaskId& task) {
  const TaskId key = FailureKey(task);
  std::set<int32_t> failed = failed_[key];
  for (const WorkerSlot& slot : workers_) {
    if (!slot.incarnation->LeaseLapsed(now_)) continue;
    for (const EndedTask& end : slot.incarnation->unacknowledged_ends()) {
      if (end.end == RunEnd::kFailed && FailureKey(end.task) == key)
        failed.erase(end.run);
    }
  }
  return failed;
}

void SiteSimulation::CheckStart(const SiteRun& run) {
  const std::string name =
      absl::StrCat(TaskIdText(run.task), " run ", run.run, " on ", run.worker);
  const JobFacts& facts = jobs_[run.task.job];
  Resources used;
  for (const WorkerSlot& slot : workers_) {
    for (const auto& [key, other] : slot.incarnation->running()) {
      const bool same_worker = other.worker == run.worker;
      if (same_worker) used += other.need;
      const bool same_task = key.first == run.task;
      if (same_task && (!same_worker || key.second != run.run))
        RecordViolation(absl::StrCat("TWICE: ", name, " started while run ",
                                     key.second, " runs on ", other.worker));
    }
  }
  const WorkerSlot* slot = FindSlot(run.worker);
  if (!run.late && slot != nullptr && !used.FitsIn(slot->capacity_limit))
    RecordViolation(absl::StrCat(
        "LIMIT: ", name,
        " exceeds the worker's capacity; CPU milli in use: ", used.cpu_milli));
  if (done_.count(run.task) > 0) {
    // A task may run again if no leader could learn of its end before the run's
    // lease expired.
    bool excused = false;
    for (const WorkerSlot& slot : workers_) {
      for (const EndedTask& end : slot.incarnation->unacknowledged_ends()) {
        if (end.task == run.task && slot.incarnation->LeaseLapsed(now_))
          excused = true;
      }
    }
    if (!excused)
      RecordViolation(
          absl::StrCat("TWICE: ", name, " started after it was done"));
  }
  const std::set<int32_t> failed = FailedRunsInLease(run.task);
  const bool long_running =
      facts.spec.steps[static_cast<size_t>(run.task.step)].long_running;
  if (!long_running &&
      static_cast<int>(failed.size()) >= options_.max_attempts &&
      failed.count(run.run) == 0)
    RecordViolation(absl::StrCat("BUDGET: ", name, " after ", failed.size(),
                                 " failed runs"));
  const StepSpec& step = facts.spec.steps[static_cast<size_t>(run.task.step)];
  for (const int32_t earlier_step : step.after) {
    const int32_t count =
        facts.spec.steps[static_cast<size_t>(earlier_step)].count;
    for (int32_t i = 0; i < count; ++i) {
      if (ever_done_.count({run.task.job, run.task.round, earlier_step, i}) ==
          0)
        RecordViolation(absl::StrCat(
            "ORDER: ", name, " started before the end of step ", earlier_step));
    }
  }
}

SiteSimulation::WorkerSlot* SiteSimulation::FindSlot(
    const std::string& worker_id) {
  for (WorkerSlot& slot : workers_) {
    if (slot.incarnation->record().id == worker_id) return &slot;
  }
  return nullptr;
}

void SiteSimulation::CheckCrashingRun(const SiteRun& run) {
  Crashes& crashes = crashes_[run.task];
  if (crashes.workers >= kExcusedCrashes && !run.late &&
      ++crashes.starts_after >= kEndlessRepeatStarts)
    RecordViolation(absl::StrCat("BUDGET: ", TaskIdText(run.task), " run ",
                                 run.run, " after ", crashes.workers,
                                 " crashes"));
  After(kCrashAfter, [this, run] {
    WorkerSlot* slot = FindSlot(run.worker);
    if (slot == nullptr || !slot->incarnation->alive() ||
        slot->incarnation->running().count({run.task, run.run}) == 0)
      return;
    ++crashes_[run.task].workers;
    EndIncarnation(static_cast<int>(slot - workers_.data()), kCrashDownTime,
                   options_.keep_id_after_crash);
  });
}

Resources SiteSimulation::MaximumInForce(const std::string& name) const {
  const auto maximum_by = [&name](const SiteConfiguration& configuration) {
    for (const ClientAccount& account : configuration.accounts) {
      if (account.name == name) return account.maximum;
    }
    return Resources();
  };
  const Resources now = maximum_by(*configuration_);
  if (now_ - configuration_changed_ > kConfigurationGrace) return now;
  // 0 means that the resource is not limited.
  const auto larger = [](int32_t a, int32_t b) {
    return a == 0 || b == 0 ? 0 : std::max(a, b);
  };
  const Resources earlier = maximum_by(*earlier_configuration_);
  return {larger(now.cpu_milli, earlier.cpu_milli),
          larger(now.memory_mib, earlier.memory_mib),
          larger(now.accelerators, earlier.accelerators)};
}

void SiteSimulation::CheckAccountMaximum(const SiteRun& run) {
  const std::string& name = jobs_[run.task.job].account;
  if (name.empty()) return;
  const Resources maximum = MaximumInForce(name);
  Resources used;
  for (const WorkerSlot& slot : workers_) {
    for (const auto& [key, other] : slot.incarnation->running()) {
      if (jobs_[key.first.job].account == name) used += other.need;
    }
  }
  const auto exceeds = [](int32_t amount, int32_t limit) {
    return limit > 0 && amount > limit;
  };
  if (exceeds(used.cpu_milli, maximum.cpu_milli) ||
      exceeds(used.memory_mib, maximum.memory_mib) ||
      exceeds(used.accelerators, maximum.accelerators))
    RecordViolation(absl::StrCat("QUOTA: ", TaskIdText(run.task), " run ",
                                 run.run, " on ", run.worker,
                                 " exceeds the maximum of ", name,
                                 "; CPU milli in use: ", used.cpu_milli,
                                 ", MiB in use: ", used.memory_mib));
}

void SiteSimulation::SetAccounts(std::vector<ClientAccount> accounts) {
  auto next = std::make_shared<SiteConfiguration>(*configuration_);
  ++next->version;
  next->accounts = std::move(accounts);
  earlier_configuration_ = std::exchange(configuration_, std::move(next));
  configuration_changed_ = now_;
  for (const auto& leader : leaders_) {
    if (!leader->dead) leader->scheduler->SetConfiguration(configuration_);
  }
}

void SiteSimulation::RecordRun(const SiteRun& run, bool begins) {
  if (begins) {
    runs_.push_back(run);
    CheckStart(run);
    CheckAccountMaximum(run);
    if (jobs_[run.task.job].crashes) CheckCrashingRun(run);
    return;
  }
  const auto begun =
      std::find_if(runs_.rbegin(), runs_.rend(), [&](const SiteRun& one) {
        return one.task == run.task && one.run == run.run &&
               one.worker == run.worker;
      });
  if (begun != runs_.rend()) *begun = run;
  if (run.end == RunEnd::kDone) {
    done_.insert(run.task);
    ever_done_.insert(run.task);
  }
  if (run.end == RunEnd::kFailed) failed_[FailureKey(run.task)].insert(run.run);
}

void SiteSimulation::AdvanceWorkers() {
  struct Gang {
    int32_t present = 0;
    int32_t size = 0;
    absl::Time first = absl::InfiniteFuture();
    absl::Time last = absl::InfinitePast();
  };
  std::map<std::pair<TaskId, int32_t>, Gang> gangs;
  for (WorkerSlot& slot : workers_) {
    slot.incarnation->Advance(now_);
    for (const auto& [key, run] : slot.incarnation->running()) {
      const StepSpec& step =
          jobs_[key.first.job].spec.steps[static_cast<size_t>(key.first.step)];
      if (!step.gang) continue;
      TaskId step_id = key.first;
      step_id.index = 0;
      Gang& gang = gangs[{step_id, key.second}];
      ++gang.present;
      gang.size = step.count;
      gang.first = std::min(gang.first, run.began);
      gang.last = std::max(gang.last, run.began);
    }
  }
  for (const auto& [key, gang] : gangs) {
    const StepSpec& step =
        jobs_[key.first.job].spec.steps[static_cast<size_t>(key.first.step)];
    const bool complete = gang.present == gang.size;
    const bool was_complete = gang_done_at_.count(key) > 0;
    if (complete && !was_complete) {
      const auto& true_work = jobs_[key.first.job].true_work;
      const auto set = true_work.find(static_cast<size_t>(key.first.step));
      gang_done_at_[key] = now_ + (set != true_work.end()
                                       ? set->second
                                       : absl::Milliseconds(step.estimated_ms));
    }
    const bool broken =
        !complete && (was_complete || now_ - gang.first > kGangTimeout);
    const bool done = complete && was_complete && now_ >= gang_done_at_[key];
    for (WorkerSlot& slot : workers_) {
      if (broken) slot.incarnation->BreakGang(key.first, key.second, now_);
      if (done) slot.incarnation->CompleteGang(key.first, key.second, now_);
    }
  }
}

void SiteSimulation::StartLeader() {
  if (now_ < store_down_until_) {
    After(absl::Milliseconds(100), [this] { StartLeader(); });
    return;
  }
  auto leader = std::make_shared<Leader>();
  leader->epoch = ++store_epoch_;
  JobScheduler::Options options;
  options.policy = options_.policy;
  options.lease = options_.lease;
  leader->scheduler =
      std::make_unique<JobScheduler>(options, leader->epoch, now_);
  JobRecords records;
  std::vector<KnownWorker> known;
  for (const auto& [key, value] : store_) {
    const Record record{key, value, -1};
    if (auto worker = ParseKnownWorker(record))
      known.push_back(*worker);
    else
      records.Add(record);
  }
  if (leader->epoch > 1) leader->scheduler->OnEarlierLeadersFenced(now_);
  for (const auto& [epoch, at] : leader_start_times_) {
    LeaderClock clock;
    clock.OnReading(now_ - kClockReadingDelay, now_);
    leader->scheduler->OnEarlierLeaderClock(epoch, clock);
  }
  leader->scheduler->Load(records.Build(), known, CurrentTime());
  if (options_.tells_appends) {
    if (last_append_) leader->scheduler->OnEarlierLeaderAppend(*last_append_);
    Confirm(*leader, now_);
  }
  for (const auto& [epoch, at] : leader_start_times_)
    leader->scheduler->OnEarlierLeaderSeen(epoch, at);
  leader_start_times_.emplace(leader->epoch, now_);
  leader->scheduler->SetConfiguration(configuration_);
  std::vector<AdviserNode> advisers;
  advisers.reserve(static_cast<size_t>(options_.advisers));
  for (int i = 0; i < options_.advisers; ++i)
    advisers.push_back({absl::StrCat("node-", i), ""});
  leader->scheduler->SetAdvisers(advisers, advisers.front().name);
  for (WorkerSlot& slot : workers_) {
    const WorkerRecord record = slot.incarnation->record();
    if (Draw() >= options_.unlisted_workers) {
      leader->scheduler->OnWorkerRecord(record, CurrentTime());
      continue;
    }
    After(absl::Seconds(3), [this, leader, record] {
      bool cut = false;
      if (!leader->dead && FindWorker(record.id, &cut) != nullptr)
        leader->scheduler->OnWorkerRecord(record, CurrentTime());
    });
  }
  current_ = leader;
  leaders_.push_back(leader);
  PollEarlierLeaders(leader);
  Tick(leader);
}

void SiteSimulation::PollEarlierLeaders(const std::shared_ptr<Leader>& leader) {
  if (leader->dead) return;
  absl::Time last_order = leader->epoch == 1 ? now_ : absl::InfinitePast();
  bool all = true;
  for (const auto& other : leaders_) {
    if (other->epoch >= leader->epoch) continue;
    // A frozen leader learns that it was replaced when it resumes. Any other
    // leader finds out by itself.
    const bool resumed = other->frozen_until > absl::InfinitePast() &&
                         other->frozen_until < now_;
    if (resumed) other->dead = true;
    HandOver(*other, *leader);
    all = all && other->dead;
    last_order = std::max(last_order, other->last_order);
  }
  if (all) return leader->scheduler->OnEarlierLeadersStopped(last_order);
  After(kPollEarlierLeadersInterval,
        [this, leader] { PollEarlierLeaders(leader); });
}

void SiteSimulation::HandOver(const Leader& from, Leader& to) {
  const bool done = to.handed_over.count(from.epoch) > 0;
  if (done || !from.dead || from.process_ended) return;
  to.handed_over.insert(from.epoch);
  to.scheduler->OnHandover(from.scheduler->Handover(now_), CurrentTime());
}

void SiteSimulation::RunOnLeader(const std::shared_ptr<Leader>& leader,
                                 const std::function<void()>& step) {
  if (leader->dead) return;
  if (leader->frozen_until <= now_) return step();
  After(leader->frozen_until - now_, [leader, step] {
    if (!leader->dead) step();
  });
}

void SiteSimulation::Tick(const std::shared_ptr<Leader>& leader) {
  if (leader->dead) return;
  if (leader->frozen_until > now_) {
    // Orders that were decided before the leader froze are sent late.
    return After(leader->frozen_until - now_, [this, leader] {
      ExecuteActions(leader);
      leader->scheduler->SetSuspended(leader->frozen_until - leader->frozen_at >
                                      kMaxSuspension);
      Tick(leader);
    });
  }
  if (options_.tells_appends)
    leader->scheduler->SetSuspended(IsUnconfirmed(*leader));
  leader->scheduler->Tick(CurrentTime());
  ExecuteActions(leader);
  Append(leader);
  if (leader->scheduler->fenced()) leader->dead = true;
  After(absl::Milliseconds(20), [this, leader] { Tick(leader); });
}

bool SiteSimulation::IsUnconfirmed(const Leader& leader) const {
  const bool stood_still =
      leader.frozen_until > absl::InfinitePast() &&
      leader.frozen_until - leader.frozen_at > kMaxSuspension &&
      leader.confirmed_at < leader.frozen_until;
  return stood_still ||
         now_ - leader.confirmed_at > MaxUnconfirmed(kEarlierLeaderGrace);
}

void SiteSimulation::Confirm(Leader& leader, absl::Time begun) {
  leader.confirmed_at = begun;
  leader.scheduler->OnConfirmed(begun);
}

void SiteSimulation::Append(const std::shared_ptr<Leader>& leader) {
  const bool renew =
      options_.tells_appends && now_ - leader->last_append > kRenewInterval;
  if (leader->appending || !(renew || leader->scheduler->HasBatch())) return;
  leader->appending = true;
  leader->last_append = now_;
  const LeaderAppend append{{leader->epoch, now_},
                            leader->scheduler->LeasesOver(now_)};
  const auto batch =
      std::make_shared<JobScheduler::Batch>(leader->scheduler->TakeBatch());
  const auto attempt = std::make_shared<std::function<void()>>();
  *attempt = [this, leader, batch, attempt, append] {
    if (leader->dead && Draw() < 0.5) return;  // The append was never sent.
    if (now_ < store_down_until_) {
      After(kAppendRetry, [attempt] { (*attempt)(); });
      return;
    }
    if (leader->epoch < store_epoch_) {
      leader->dead = true;
      return;
    }
    for (const Record& record : batch->records) {
      if (record.value)
        store_[record.key] = *record.value;
      else
        store_.erase(record.key);
    }
    last_append_ = append;
    After(options_.store_delay, [this, leader, batch, append] {
      RunOnLeader(leader, [this, leader, batch, append] {
        leader->appending = false;
        if (options_.tells_appends) Confirm(*leader, append.begun.at);
        leader->scheduler->OnDurable(batch->number);
        auto it = leader->on_durable.begin();
        while (it != leader->on_durable.end() && it->first <= batch->number) {
          for (const auto& done : it->second) done();
          it = leader->on_durable.erase(it);
        }
      });
    });
  };
  After(options_.store_delay, [attempt] { (*attempt)(); });
}

template <typename Order, typename Reply>
void SiteSimulation::Send(
    const std::shared_ptr<Leader>& leader, const std::string& worker,
    const Order& order,
    std::function<Reply(SiteWorker&, const Order&, bool late)> handle,
    std::function<void(const Reply&)> done, Reply lost,
    std::function<Reply(SiteWorker*)> other_incarnation) {
  const bool late = Draw() < options_.late_orders;
  const bool answer_lost = late || Draw() < options_.lost_answers;
  const absl::Duration arrival_delay =
      late ? absl::Seconds(2 + 10 * Draw()) : Delay();
  if (answer_lost)
    After(kOrderTimeout, [this, leader, done, lost] {
      RunOnLeader(leader, [done, lost] { done(lost); });
    });
  After(arrival_delay, [this, leader, worker, order, handle, done, lost,
                        other_incarnation, late, answer_lost] {
    bool cut = false;
    SiteWorker* found = FindReachableWorker(worker, &cut);
    const bool down = found != nullptr && !found->alive();
    if (cut || (down && restarting_.count(worker) > 0)) {
      if (!answer_lost)
        After(kOrderTimeout, [this, leader, done, lost] {
          RunOnLeader(leader, [done, lost] { done(lost); });
        });
      return;
    }
    const bool is_addressee = found != nullptr && found->record().id == worker;
    const Reply reply = found == nullptr || down ? other_incarnation(nullptr)
                        : is_addressee || !std::is_same_v<Order, ObserveOrder>
                            ? handle(*found, order, late)
                            : other_incarnation(found);
    if (answer_lost) return;
    After(Delay(), [this, leader, done, reply] {
      RunOnLeader(leader, [done, reply] { done(reply); });
    });
  });
}

void SiteSimulation::ExecuteActions(const std::shared_ptr<Leader>& leader) {
  const OrderReply lost{OrderResult::kUnknown, -1, "lost", ""};
  const auto gone = [](SiteWorker*) {
    return OrderReply{OrderResult::kOtherIncarnation, -1, "gone", ""};
  };
  for (const Action& action : leader->scheduler->TakeActions()) {
    if (const auto* start = std::get_if<StartAction>(&action)) {
      leader->last_order = now_;
      const auto long_running = long_running_tasks_.find(start->order.task);
      if (long_running != long_running_tasks_.end()) {
        long_running->second = DownTime();
        long_running->second.worker = start->worker.id;
      }
      Send<StartOrder, OrderReply>(
          leader, start->worker.id, start->order,
          [this](SiteWorker& w, const StartOrder& o, bool late) {
            return w.Start(o, now_, late);
          },
          [this, leader, start = *start](const OrderReply& reply) {
            leader->scheduler->OnStartReply(start, reply, CurrentTime());
          },
          lost, gone);
    } else if (const auto* stop = std::get_if<StopAction>(&action)) {
      Send<StopOrder, OrderReply>(
          leader, stop->worker.id, stop->order,
          [this](SiteWorker& w, const StopOrder& o, bool) {
            return w.Stop(o, now_);
          },
          [this, leader, stop = *stop](const OrderReply& reply) {
            leader->scheduler->OnStopReply(stop, reply, CurrentTime());
          },
          lost, gone);
    } else if (const auto* observe = std::get_if<ObserveAction>(&action)) {
      const absl::Time sent = now_;
      if (observe->order.lease_until_ms > 0) leader->last_order = sent;
      ObserveReply lost_observation;
      lost_observation.order = lost;
      // As in the platform adapter, an observation that reaches another
      // incarnation acknowledges none of that incarnation's ends, and its reply
      // contains the id of that incarnation.
      const auto observation_elsewhere =
          [this, gone, order = observe->order](SiteWorker* next) {
            ObserveReply reply;
            reply.order = gone(next);
            if (next == nullptr) return reply;
            ObserveOrder first = order;
            first.ends_acknowledged = 0;
            const ObserveReply seen = next->Observe(first, now_);
            if (seen.order.result == OrderResult::kFenced) return seen;
            reply.order.incarnation = next->record().id;
            return reply;
          };
      Send<ObserveOrder, ObserveReply>(
          leader, observe->worker.id, observe->order,
          [this](SiteWorker& w, const ObserveOrder& o, bool) {
            return w.Observe(o, now_);
          },
          [this, leader, observe = *observe, sent](const ObserveReply& reply) {
            leader->scheduler->OnObserveReply(observe, reply, sent,
                                              CurrentTime());
          },
          lost_observation, observation_elsewhere);
    } else if (const auto* ask = std::get_if<AskAdviceAction>(&action)) {
      AdviceReply reply;
      reply.answered = true;
      for (const std::string& worker : ask->request.workers) {
        const size_t draw = std::hash<std::string>()(absl::StrCat(
            worker, ".", ask->request.step.job, ask->request.step.step));
        if (draw % 2 == 0) reply.eligible.push_back({worker, "ticket"});
      }
      const Queue* queue =
          configuration_->FindQueueByName(jobs_[ask->request.step.job].queue);
      const double named = static_cast<double>(ask->request.workers.size());
      const absl::Duration duration = absl::Milliseconds(
          10 + queue->advice.base_ms + queue->advice.per_worker_ms * named);
      After(duration, [this, leader, ask = *ask, reply] {
        RunOnLeader(leader, [this, leader, ask, reply] {
          leader->scheduler->OnAdvice(ask, reply, CurrentTime());
        });
      });
    }
  }
}

JobId SiteSimulation::Submit(JobSpec spec, const std::string& queue,
                             const std::string& account) {
  const JobId id = next_job_++;
  jobs_[id].spec = std::move(spec);
  jobs_[id].queue = queue;
  jobs_[id].account = account;
  jobs_[id].submitted = now_;
  const std::vector<StepSpec>& steps = jobs_[id].spec.steps;
  for (size_t s = 0; s < steps.size(); ++s) {
    for (int32_t i = 0; steps[s].long_running && i < steps[s].count; ++i)
      long_running_tasks_[{id, 0, static_cast<int32_t>(s), i}];
  }
  const auto attempt = std::make_shared<std::function<void()>>();
  *attempt = [this, id, attempt] {
    const auto leader = current_;
    if (accepted_.count(id) > 0) return;
    if (leader == nullptr || leader->dead) {
      After(absl::Milliseconds(100), [attempt] { (*attempt)(); });
      return;
    }
    const int64_t batch = leader->scheduler->Submit(
        id, jobs_[id].queue, jobs_[id].spec, CurrentTime(), jobs_[id].account);
    if (batch == 0) {
      accepted_.insert(id);
      return;
    }
    leader->on_durable[batch].push_back([this, id] { accepted_.insert(id); });
    After(absl::Seconds(1), [attempt] { (*attempt)(); });
  };
  (*attempt)();
  return id;
}

JobId SiteSimulation::SubmitCrashing(JobSpec spec) {
  const JobId id = Submit(std::move(spec));
  jobs_[id].crashes = true;
  return id;
}

void SiteSimulation::Cancel(JobId id) {
  if (current_ == nullptr || current_->dead) return;
  if (current_->scheduler->Cancel(id, CurrentTime()))
    jobs_[id].cancelled = true;
}

void SiteSimulation::ReplaceLeader(absl::Duration pause, bool keep_old_leader) {
  if (current_ == nullptr) return;
  const auto old = current_;
  old->process_ended = !keep_old_leader;
  old->dead = old->dead || old->process_ended;
  current_ = nullptr;
  After(pause, [this] { StartLeader(); });
}

void SiteSimulation::FreezeLeader(absl::Duration pause, absl::Duration frozen) {
  if (current_ == nullptr || current_->dead) return;
  const auto old = current_;
  old->scheduler->Tick(CurrentTime());
  old->frozen_at = now_;
  old->frozen_until = now_ + frozen;
  current_ = nullptr;
  After(pause, [this] { StartLeader(); });
}

void SiteSimulation::CrashWorker(int index, absl::Duration down) {
  EndIncarnation(index, down, /*keep_id=*/false);
}

void SiteSimulation::RestartWorker(int index, absl::Duration down) {
  EndIncarnation(index, down, /*keep_id=*/true);
}

void SiteSimulation::EndIncarnation(int index, absl::Duration down,
                                    bool keep_id) {
  SiteWorker& incarnation = *workers_[static_cast<size_t>(index)].incarnation;
  if (!incarnation.alive()) return;
  // Ends that no leader has acknowledged are lost with the worker.
  incarnation.Advance(now_);
  for (const EndedTask& end : incarnation.unacknowledged_ends()) {
    if (end.end == RunEnd::kDone) done_.erase(end.task);
    if (end.end == RunEnd::kFailed)
      failed_[FailureKey(end.task)].erase(end.run);
  }
  incarnation.Crash(now_);
  if (keep_id) restarting_.insert(incarnation.record().id);
  After(down, [this, index, keep_id] { StartIncarnation(index, keep_id); });
}

void SiteSimulation::DrainWorker(int index, absl::Duration drain,
                                 absl::Duration down) {
  const auto slot = static_cast<size_t>(index);
  if (!workers_[slot].incarnation->alive()) return;
  workers_[slot].incarnation->record().draining = true;
  workers_[slot].incarnation->record().leaves_in_ms =
      absl::ToInt64Milliseconds(drain);
  if (current_ != nullptr)
    current_->scheduler->OnWorkerRecord(workers_[slot].incarnation->record(),
                                        CurrentTime());
  const std::string id = workers_[slot].incarnation->record().id;
  After(drain, [this, index, id, slot, down] {
    if (workers_[slot].incarnation->record().id != id ||
        !workers_[slot].incarnation->alive())
      return;
    CrashWorker(index, down);
    CutWorker(index, down);
    After(kRecordRemovalDelay, [this, id] {
      if (current_ != nullptr) current_->scheduler->OnWorkerRemoved(id);
    });
  });
}

void SiteSimulation::SetCapacity(int index, const Resources& capacity) {
  const WorkerSlot& slot = workers_[static_cast<size_t>(index)];
  slot.incarnation->record().capacity = capacity;
  const std::string id = slot.incarnation->record().id;
  After(kHeartbeatInterval * Draw(), [this, index, id] {
    const SiteWorker& incarnation =
        *workers_[static_cast<size_t>(index)].incarnation;
    if (current_ != nullptr && incarnation.record().id == id &&
        incarnation.alive())
      current_->scheduler->OnWorkerRecord(incarnation.record(), CurrentTime());
  });
}

void SiteSimulation::ShrinkWorker(int index, double share,
                                  absl::Duration time) {
  WorkerSlot& slot = workers_[static_cast<size_t>(index)];
  if (!slot.incarnation->alive()) return;
  Resources reduced = options_.capacity;
  reduced.cpu_milli = static_cast<int32_t>(reduced.cpu_milli * share);
  reduced.memory_mib = static_cast<int32_t>(reduced.memory_mib * share);
  SetCapacity(index, reduced);
  const std::string id = slot.incarnation->record().id;
  const auto same_incarnation = [this, index, id] {
    return workers_[static_cast<size_t>(index)].incarnation->record().id == id;
  };
  After(kCapacityGrace, [this, index, reduced, same_incarnation] {
    WorkerSlot& shrunk = workers_[static_cast<size_t>(index)];
    if (same_incarnation() && shrunk.incarnation->record().capacity == reduced)
      shrunk.capacity_limit = reduced;
  });
  After(time, [this, index, same_incarnation] {
    if (!same_incarnation()) return;
    workers_[static_cast<size_t>(index)].capacity_limit = options_.capacity;
    SetCapacity(index, options_.capacity);
  });
}

void SiteSimulation::CutWorker(int index, absl::Duration time) {
  workers_[static_cast<size_t>(index)].cut_until = now_ + time;
}

void SiteSimulation::StoreDown(absl::Duration time) {
  store_down_until_ = now_ + time;
}

void SiteSimulation::Run(absl::Duration time) {
  const absl::Time until = now_ + time;
  while (now_ < until) {
    const absl::Time next = now_ + kStep;
    while (!queue_.empty() && queue_.begin()->first <= next) {
      now_ = std::max(now_, queue_.begin()->first);
      const auto step = std::move(queue_.begin()->second);
      queue_.erase(queue_.begin());
      step();
    }
    now_ = next;
    AdvanceWorkers();
    RecordEndedJobs();
    RecordDownTime();
  }
}

void SiteSimulation::RecordDownTime() {
  for (auto& [task, down_time] : long_running_tasks_) {
    const bool accepted = accepted_.count(task.job) > 0;
    if (!accepted || jobs_[task.job].cancelled) continue;
    bool runs = false;
    bool cut = true;
    const SiteWorker* last = FindWorker(down_time.worker, &cut);
    const bool is_reachable =
        last != nullptr && last->alive() && !cut && !last->record().draining;
    down_time.worker_stayed_up = down_time.worker_stayed_up &&
                                 (is_reachable || down_time.worker.empty());
    for (const WorkerSlot& slot : workers_) {
      const auto& running = slot.incarnation->running();
      runs = runs || std::any_of(running.begin(), running.end(),
                                 [&, t = task](const auto& one) {
                                   return one.first.first == t;
                                 });
    }
    const bool has_leader =
        current_ != nullptr && !current_->dead && now_ >= store_down_until_;
    if (runs || !has_leader) {
      if (runs)
        down_time.time = down_time.time_while_worker_up = absl::ZeroDuration();
      continue;
    }
    down_time.time += kStep;
    max_down_time_ = std::max(max_down_time_, down_time.time);
    if (down_time.worker_stayed_up) down_time.time_while_worker_up += kStep;
    max_down_time_while_worker_up_ = std::max(max_down_time_while_worker_up_,
                                              down_time.time_while_worker_up);
  }
}

void SiteSimulation::RecordEndedJobs() {
  for (auto& [id, facts] : jobs_) {
    if (facts.ended <= now_) continue;
    const auto state = StatusOf(id);
    const bool ended =
        state && *state != JobState::kQueued && *state != JobState::kRunning;
    if (ended) facts.ended = now_;
  }
}

std::optional<absl::Duration> SiteSimulation::JobDuration(JobId id) const {
  const JobFacts& facts = jobs_.at(id);
  if (facts.ended == absl::InfiniteFuture()) return std::nullopt;
  return facts.ended - facts.submitted;
}

std::optional<JobState> SiteSimulation::StatusOf(JobId id) const {
  return current_ == nullptr ? std::nullopt : current_->scheduler->Status(id);
}

std::vector<TaskId> SiteSimulation::ExhaustedTasks() const {
  std::vector<TaskId> out;
  for (const auto& [task, runs] : failed_) {
    if (static_cast<int>(runs.size()) >= options_.max_attempts)
      out.push_back(task);
  }
  return out;
}

size_t SiteSimulation::CountRunning(JobId id) const {
  size_t count = 0;
  for (const WorkerSlot& slot : workers_) {
    for (const auto& [key, run] : slot.incarnation->running()) {
      if (key.first.job == id) ++count;
    }
  }
  return count;
}

}  // namespace keelbridge::testing
