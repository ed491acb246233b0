#include "testing/support/zone_harness.h"

#include <algorithm>
#include <iostream>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"

namespace keelbridge::testing {
namespace {

constexpr char kZone[] = "z";
constexpr absl::Duration kReplyTimeout = absl::Seconds(1);
constexpr absl::Duration kReadInterval = absl::Milliseconds(200);
constexpr size_t kMaxReadEntries = 1000;

}  // namespace

ZoneHarness::ZoneHarness(Options options)
    : options_(options), random_(options.seed), log_(options.log_retention) {
  const double error_ms = absl::ToDoubleMilliseconds(options_.clock_error);
  std::uniform_real_distribution<double> error(-error_ms, error_ms);
  for (int i = 0; i < options_.workers; ++i) {
    FakeWorker::Options worker;
    worker.name = absl::StrCat("w", i);
    worker.total = options_.worker_size;
    worker.check_not_after = options_.mechanisms.not_after;
    worker.check_epoch = options_.mechanisms.epochs;
    Worker& slot = workers_.emplace_back();
    slot.wall_clock_error = absl::Milliseconds(error(random_));
    slot.fake = std::make_unique<FakeWorker>(
        worker, next_incarnation_++, now_ - absl::Hours(1),
        [this](const RunEvent& run_event) {
          run_events_.push_back(run_event);
          Trace(absl::StrCat(
              run_event.worker, run_event.begins ? " begins " : " ends ",
              run_event.task, "#", run_event.attempt, " ", run_event.how));
        });
  }
  nodes_.resize(static_cast<size_t>(options_.schedulers));
  for (int i = 0; i < options_.schedulers; ++i) {
    nodes_[i].wall_clock_error = absl::Milliseconds(error(random_));
    Start(i);
  }
}

Configuration ZoneHarness::MakeConfiguration() const {
  Configuration configuration;
  configuration.version = version_;
  configuration.policy = policy_;
  configuration.teams = {{"a", 0.5}, {"b", 0.5}};
  for (size_t i = 0; i < workers_.size(); ++i) {
    configuration.workers.push_back({absl::StrCat("w", i), kZone,
                                     absl::StrCat("rack", i / 4), "127.0.0.1:1",
                                     options_.worker_size});
  }
  return configuration;
}

void ZoneHarness::Start(int i) {
  Trace(absl::StrCat("start s", i));
  Node& node = nodes_[i];
  ZoneScheduler::Options options;
  options.name = absl::StrCat("s", i);
  options.zone = kZone;
  options.incarnation = next_incarnation_++;
  options.seed = random_();
  options.leadership.holder =
      absl::StrCat(options.name, "/", options.incarnation);
  options.leases.clock_error = options_.clock_error;
  options.leases.wait_for_certainty = options_.mechanisms.wait_for_certainty;
  options.log.incarnation = options.incarnation;
  options.log.seed = options.seed;
  options.records_per_snapshot = options_.records_per_snapshot;
  node.incarnation = options.incarnation;
  node.paused = false;
  node.queued_events.clear();
  node.zone_scheduler = std::make_unique<ZoneScheduler>(options);
  node.zone_scheduler->OnConfiguration(MakeConfiguration());
}

void ZoneHarness::Trace(const std::string& line) const {
  if (options_.trace) std::cout << ToMillis(now_) << " " << line << "\n";
}

void ZoneHarness::Kill(int i) {
  Trace(absl::StrCat("kill s", i));
  nodes_[i].zone_scheduler.reset();
  nodes_[i].incarnation = 0;
}

void ZoneHarness::SetPolicy(PolicyKind policy) {
  policy_ = policy;
  ++version_;
  for (Node& node : nodes_) {
    if (node.zone_scheduler)
      node.zone_scheduler->OnConfiguration(MakeConfiguration());
  }
}

void ZoneHarness::HandOver(int i) {
  const std::vector<Action> actions =
      nodes_[i].zone_scheduler->HandOver(NodeNow(nodes_[i]));
  for (const Action& action : actions) ExecuteAction(i, action);
  Kill(i);
}

void ZoneHarness::Pause(int i) {
  Trace(absl::StrCat("pause s", i));
  nodes_[i].paused = true;
}

void ZoneHarness::PauseBeforeNextStart(int i) {
  nodes_[i].pause_before_start = true;
}

void ZoneHarness::Resume(int i) {
  Trace(absl::StrCat("resume s", i));
  Node& node = nodes_[i];
  node.paused = false;
  for (const auto& event : std::exchange(node.queued_events, {})) event();
}

void ZoneHarness::PauseWorker(int i) {
  Trace(absl::StrCat("pause w", i));
  workers_[i].paused = true;
}

void ZoneHarness::ResumeWorker(int i) {
  Trace(absl::StrCat("resume w", i));
  workers_[i].paused = false;
  // The messages arrived over several connections, so their order is random.
  auto queued_events = std::exchange(workers_[i].queued_events, {});
  std::shuffle(queued_events.begin(), queued_events.end(), random_);
  for (const auto& event : queued_events) event();
}

void ZoneHarness::RestartWorker(int i) {
  workers_[i].fake->Restart(next_incarnation_++, now_);
}

void ZoneHarness::Cut(int scheduler, int worker, bool one_way) {
  Trace(absl::StrCat("cut s", scheduler, " w", worker,
                     one_way ? " one way" : ""));
  cuts_[{scheduler, worker}] = one_way;
}
void ZoneHarness::Heal() { cuts_.clear(); }

absl::Duration ZoneHarness::Delay() {
  return absl::Milliseconds(
      std::uniform_real_distribution<double>(0.5, 6)(random_));
}

void ZoneHarness::RunOnNode(int i, uint64_t incarnation,
                            std::function<void()> event) {
  Node& node = nodes_[i];
  if (node.incarnation != incarnation) return;
  if (node.paused) {
    node.queued_events.push_back(
        [this, i, incarnation, event = std::move(event)] {
          RunOnNode(i, incarnation, event);
        });
  } else {
    event();
  }
}

template <typename Reply>
void ZoneHarness::Exchange(
    int i, const std::string& name,
    std::function<Reply(FakeWorker&, Now)> handle,
    std::function<void(ZoneScheduler&, const std::optional<Reply>&, Now)>
        deliver) {
  const int w = std::stoi(name.substr(1));
  const uint64_t incarnation = nodes_[i].incarnation;
  // Either the reply or the timeout reaches the scheduler, exactly once.
  auto completed = std::make_shared<bool>(false);
  const auto settle = [this, i, incarnation, completed,
                       deliver](const std::optional<Reply>& reply) {
    RunOnNode(i, incarnation, [this, i, completed, deliver, reply] {
      if (std::exchange(*completed, true)) return;
      deliver(*nodes_[i].zone_scheduler, reply, NodeNow(nodes_[i]));
    });
  };
  ScheduleAt(now_ + kReplyTimeout, [settle] { settle(std::nullopt); });
  const auto cut = cuts_.find({i, w});
  const bool delivered = (cut == cuts_.end() || cut->second) && !Lost();
  if (!delivered) return;
  const auto arrive = [this, i, w, handle, settle] {
    const Reply reply = handle(*workers_[w].fake, WorkerNow(workers_[w]));
    if (cuts_.count({i, w}) > 0 || Lost()) return;
    ScheduleAt(now_ + Delay(), [settle, reply] { settle(reply); });
  };
  ScheduleAt(now_ + Delay(), [this, w, arrive] {
    if (workers_[w].paused) {
      workers_[w].queued_events.push_back(arrive);
    } else {
      arrive();
    }
  });
}

void ZoneHarness::SendAppend(int i, const keelbridge::SendAppend& append) {
  const uint64_t incarnation = nodes_[i].incarnation;
  const auto answer = [this, i, incarnation](std::optional<int64_t> offset) {
    RunOnNode(i, incarnation, [this, i, offset] {
      nodes_[i].zone_scheduler->OnAppendAnswer(offset, NodeNow(nodes_[i]));
    });
  };
  ScheduleAt(now_ + Delay(), [this, append, answer] {
    if (log_down_) {
      ScheduleAt(now_ + kReplyTimeout, [answer] { answer(std::nullopt); });
      return;
    }
    const int64_t offset =
        log_.Append(ZoneStream(kZone), EnvelopeToText(append.envelope), now_);
    Trace(absl::StrCat("log ", offset, ": ", EnvelopeToText(append.envelope)));
    if (log_loses_answers_ || Lost()) {
      ScheduleAt(now_ + kReplyTimeout, [answer] { answer(std::nullopt); });
    } else {
      ScheduleAt(now_ + Delay(), [answer, offset] { answer(offset); });
    }
  });
}

void ZoneHarness::ExecuteAction(int i, const Action& action) {
  if (const auto* append = std::get_if<keelbridge::SendAppend>(&action))
    return SendAppend(i, *append);
  const absl::Time sent_at = now_;
  if (const auto* hold = std::get_if<SendHold>(&action)) {
    Exchange<HoldReply>(
        i, hold->worker,
        [hold = *hold](FakeWorker& worker, Now now) {
          return worker.Hold(hold.request, now);
        },
        [hold = *hold, sent_at](ZoneScheduler& zone_scheduler,
                                const std::optional<HoldReply>& reply,
                                Now now) {
          zone_scheduler.OnHoldReply(hold, sent_at, reply, now);
        });
  } else if (const auto* start = std::get_if<SendStart>(&action)) {
    Exchange<CommandReply>(
        i, start->worker,
        [start = *start](FakeWorker& worker, Now now) {
          return worker.Start(start.request, now);
        },
        [start = *start](ZoneScheduler& zone_scheduler,
                         const std::optional<CommandReply>& reply, Now now) {
          zone_scheduler.OnStartReply(start, reply, now);
        });
  } else if (const auto* stop = std::get_if<SendStop>(&action)) {
    Exchange<CommandReply>(
        i, stop->worker,
        [stop = *stop](FakeWorker& worker, Now now) {
          return worker.Stop(stop.request, now);
        },
        [stop = *stop](ZoneScheduler& zone_scheduler,
                       const std::optional<CommandReply>& reply, Now now) {
          zone_scheduler.OnStopReply(stop, reply, now);
        });
  }
}

void ZoneHarness::Step() {
  const absl::Time end = now_ + options_.step;
  for (int i = 0; i < schedulers(); ++i) {
    Node& node = nodes_[i];
    if (!node.zone_scheduler || node.paused) continue;
    if (now_ >= node.next_read && !log_down_) {
      node.next_read = now_ + kReadInterval;
      const LogBatch batch =
          log_.Read(ZoneStream(kZone), node.zone_scheduler->replica().next(),
                    kMaxReadEntries, now_);
      node.zone_scheduler->OnLogBatch(batch, NodeNow(node));
    }
    if (node.zone_scheduler->Leads(now_) != node.was_leading) {
      node.was_leading = !node.was_leading;
      Trace(absl::StrCat("s", i,
                         node.was_leading ? " leads" : " has lost leadership"));
    }
    const std::vector<Action> actions =
        node.zone_scheduler->Tick(NodeNow(node));
    const bool starts =
        std::any_of(actions.begin(), actions.end(), [](const Action& action) {
          return std::holds_alternative<SendStart>(action);
        });
    if (starts && std::exchange(node.pause_before_start, false)) Pause(i);
    for (const Action& action : actions) {
      if (node.paused) {
        const uint64_t incarnation = node.incarnation;
        node.queued_events.push_back([this, i, incarnation, action] {
          if (nodes_[i].incarnation == incarnation) ExecuteAction(i, action);
        });
      } else {
        ExecuteAction(i, action);
      }
    }
  }
  while (!events_.empty() && events_.begin()->first <= end) {
    now_ = std::max(now_, events_.begin()->first);
    const std::function<void()> event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  now_ = end;
  for (Worker& worker : workers_) {
    if (!worker.paused) worker.fake->Advance(now_);
  }
}

void ZoneHarness::RunFor(absl::Duration time) {
  const absl::Time end = now_ + time;
  while (now_ < end) Step();
}

bool ZoneHarness::RunUntil(const std::function<bool()>& done,
                           absl::Duration timeout) {
  const absl::Time end = now_ + timeout;
  while (now_ < end && !done()) Step();
  return done();
}

int ZoneHarness::Leader() const {
  for (int i = 0; i < schedulers(); ++i) {
    if (nodes_[i].zone_scheduler && !nodes_[i].paused &&
        nodes_[i].zone_scheduler->Leads(now_))
      return i;
  }
  return -1;
}

int ZoneHarness::AwaitLeader() {
  const auto completed = [this] {
    return Leader() >= 0 && scheduler(Leader()).replica().state().epoch() ==
                                scheduler(Leader()).epoch();
  };
  const auto stays = [&] {
    RunUntil(completed, absl::Seconds(20));
    const int leader = Leader();
    RunFor(absl::Seconds(1));
    return leader >= 0 && Leader() == leader;
  };
  for (int i = 0; i < 10; ++i) {
    if (stays()) return Leader();
  }
  return -1;
}

bool ZoneHarness::Confirm(const std::vector<Intent>& intents) {
  for (const Intent& intent : intents) {
    if (!intent.exclusive) may_overlap_.insert(intent.id);
    if (!intent.repeatable) non_repeatable_.insert(intent.id);
  }
  const absl::Time end = now_ + absl::Seconds(30);
  while (now_ < end) {
    RunUntil([this] { return Leader() >= 0; }, absl::Seconds(20));
    const int leader = Leader();
    if (leader < 0) return false;
    Node& node = nodes_[leader];
    Result<Plan> plan = node.zone_scheduler->Propose(intents, NodeNow(node));
    if (!plan && plan.error().code == ErrorCode::kInvalid) return false;
    if (plan && node.zone_scheduler->Confirm(plan.value(), NodeNow(node))) {
      const std::string id = plan.value().id;
      const auto confirmed = [&] {
        return nodes_[leader].zone_scheduler &&
               nodes_[leader].zone_scheduler->GetPlanOutcome(id) ==
                   ZoneState::PlanOutcome::kConfirmed;
      };
      if (RunUntil(confirmed, absl::Seconds(5))) return true;
    }
    RunFor(absl::Milliseconds(200));
  }
  return false;
}

Intent ZoneHarness::Batch(const std::string& id, int64_t tasks,
                          absl::Duration duration) {
  Intent intent;
  intent.id = id;
  intent.kind = IntentKind::kBatch;
  intent.zone = kZone;
  intent.team = "a";
  intent.tasks = tasks;
  intent.resources = {4000, 4096, 0};
  intent.task_duration = duration;
  return intent;
}

Intent ZoneHarness::Service(const std::string& id, int64_t tasks) {
  Intent intent = Batch(id, tasks, absl::ZeroDuration());
  intent.kind = IntentKind::kService;
  intent.work_class = WorkClass::kInteractive;
  return intent;
}

size_t ZoneHarness::Running() const {
  size_t running = 0;
  for (const Worker& worker : workers_) running += worker.fake->running();
  return running;
}

RunRules ZoneHarness::Rules() const {
  RunRules rules;
  for (const Worker& worker : workers_)
    rules.totals[worker.fake->name()] = options_.worker_size;
  rules.may_overlap = may_overlap_;
  rules.non_repeatable = non_repeatable_;
  return rules;
}

std::vector<std::string> ZoneHarness::FindViolations() {
  for (Worker& worker : workers_) worker.fake->Advance(now_);
  return CheckRuns(run_events_, Rules());
}

}  // namespace keelbridge::testing
