#include "keelbridge/daemon/leader_session.h"

#include <algorithm>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/transport/event_timer.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kTickEvery = absl::Milliseconds(50);
constexpr absl::Duration kPumpDelay = absl::Milliseconds(3);
// A count of waiting jobs is told while the store confirmed this leader so
// lately; a count may be 2 s old.
constexpr absl::Duration kWaitingMayBeOld = absl::Seconds(2);
// New jobs are refused once appends have failed for this long.
constexpr absl::Duration kFailingTolerated = absl::Milliseconds(400);
constexpr absl::Duration kFiguresEvery = absl::Seconds(1);
// A gap between two ticks this long means that this process stood still.
constexpr absl::Duration kStandstill = absl::Milliseconds(1500);
// Leases and starts stop this much before other leaders count on it.
constexpr absl::Duration kBoundMargin = absl::Milliseconds(1500);
constexpr absl::Duration kRetryAfter = absl::Seconds(1);
// Calls that come before the term is active wait this long, so many at most.
constexpr absl::Duration kEarlyPatience = absl::Milliseconds(700);
constexpr size_t kMostEarlyCalls = 2000;
constexpr absl::Duration kEarlySweepEvery = absl::Milliseconds(100);

ClientReply Reply(ClientAnswer answer, std::string message = "") {
  ClientReply reply;
  reply.answer = answer;
  reply.message = std::move(message);
  return reply;
}

ClientReply NotTaken(std::string message) {
  ClientReply reply = Reply(ClientAnswer::kNotTaken, std::move(message));
  reply.retry_after = kRetryAfter;
  return reply;
}

}  // namespace

LeaderSession::LeaderSession(boost::asio::io_context& loop, NodePorts ports,
                             Options options, int64_t epoch, Metrics& metrics)
    : loop_(loop),
      ports_(ports),
      options_(std::move(options)),
      epoch_(epoch),
      metrics_(metrics),
      scheduler_(options_.scheduler, epoch, SystemNow().mono),
      tick_timer_(loop),
      pump_timer_(loop) {}

void LeaderSession::Start() {
  LogEvent(Severity::kInfo, "term_begins", {{"epoch", absl::StrCat(epoch_)}});
  Fence();
}

void LeaderSession::After(absl::Duration delay, std::function<void()> step) {
  RunAfter(loop_, delay, [self = shared_from_this(), step = std::move(step)] {
    if (!self->ended()) step();
  });
}

void LeaderSession::End(const std::string& why) {
  if (ended()) return;
  phase_ = Phase::kEnded;
  LogEvent(Severity::kWarning, "term_ended",
           {{"epoch", absl::StrCat(epoch_)}, {"why", why}});
  tick_timer_.cancel();
  pump_timer_.cancel();
  DropEarlyCalls(absl::InfiniteFuture());
  const auto waiters = std::move(waiters_);
  waiters_.clear();
  for (const auto& [batch, waiter] : waiters)
    waiter.reply(Reply(ClientAnswer::kUnknown, "the leader was replaced"));
  options_.on_ended(why);
}

void LeaderSession::Activate() {
  phase_ = Phase::kActive;
  LogEvent(Severity::kInfo, "term_active",
           {{"epoch", absl::StrCat(epoch_)},
            {"workers", absl::StrCat(worker_list_.figures().used)}});
  last_tick_ = SystemNow().mono;
  const auto early = std::exchange(early_calls_, {});
  for (const EarlyCall& waiting : early) Handle(waiting.call, waiting.reply);
  Pump();
  ArmTick();
}

void LeaderSession::ArmTick() {
  tick_timer_.expires_after(absl::ToChronoNanoseconds(kTickEvery));
  tick_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (error || self->ended()) return;
        self->TakeLag(self->tick_timer_.expiry());
        // Also when this turn throws: the next one is due all the same.
        const auto next_tick = absl::MakeCleanup([&self] {
          if (!self->ended()) self->ArmTick();
        });
        self->Pump();
      });
}

void LeaderSession::PumpSoon() {
  if (pump_armed_ || phase_ != Phase::kActive) return;
  pump_armed_ = true;
  pump_timer_.expires_after(absl::ToChronoNanoseconds(kPumpDelay));
  pump_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        self->pump_armed_ = false;
        if (error || self->ended()) return;
        self->TakeLag(self->pump_timer_.expiry());
        self->Pump();
      });
}

void LeaderSession::TakeLag(BootClock::time_point due) {
  const absl::Duration lag = absl::FromChrono(BootClock::now() - due);
  scheduler_.SetLag(lag);
  longest_lag_ = std::max(longest_lag_, lag);
}

void LeaderSession::Pump() {
  const Now now = SystemNow();
  if (now.mono - last_tick_ > kStandstill) {
    LogEvent(Severity::kWarning, "stood_still",
             {{"ms", absl::StrCat(
                         absl::ToInt64Milliseconds(now.mono - last_tick_))}});
    // Until the store confirms this leader by an append that is sent now.
    stood_still_ = true;
    stood_still_until_ = now.mono;
  }
  last_tick_ = now.mono;
  const bool bound_passed =
      now.mono - last_append_sent_ >
      options_.scheduler.earlier_leader_bound - kBoundMargin;
  scheduler_.SetSuspended(stood_still_ || bound_passed);
  scheduler_.Tick(now);
  const Now decided = SystemNow();
  scheduler_.OnTickTook(decided.mono - now.mono, decided);
  decided_for_ += decided.mono - now.mono;
  CarryOut(scheduler_.TakeActions());
  if (scheduler_.fenced()) return End("a worker has seen a higher fence");
  MaybeFlush();
  PollWorkers();
  if (now.mono >= next_figures_) {
    next_figures_ = now.mono + kFiguresEvery;
    PublishFigures();
  }
}

void LeaderSession::CarryOut(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartAction>(&action)) {
      last_order_ = SystemNow().mono;
      ports_.workers->Start(
          start->worker, start->order,
          [self = shared_from_this(), start = *start](const OrderReply& reply) {
            if (self->ended()) return;
            self->scheduler_.OnStartReply(start, reply, SystemNow());
            self->PumpSoon();
          });
    } else if (const auto* stop = std::get_if<StopAction>(&action)) {
      ports_.workers->Stop(
          stop->worker, stop->order,
          [self = shared_from_this(), stop = *stop](const OrderReply& reply) {
            if (self->ended()) return;
            self->scheduler_.OnStopReply(stop, reply, SystemNow());
            self->PumpSoon();
          });
    } else if (const auto* observe = std::get_if<ObserveAction>(&action)) {
      const absl::Time sent = SystemNow().mono;
      if (observe->order.lease_until_ms > 0) last_order_ = sent;
      ports_.workers->Observe(observe->worker, observe->order,
                              [self = shared_from_this(), observe = *observe,
                               sent](const ObserveReply& reply) {
                                if (self->ended()) return;
                                self->scheduler_.OnObserveReply(
                                    observe, reply, sent, SystemNow());
                                self->PumpSoon();
                              });
    } else if (const auto* ask = std::get_if<AskAdviceAction>(&action)) {
      options_.ask_advice(
          *ask, [self = shared_from_this(), ask = *ask](const AdviceReply& r) {
            if (self->ended()) return;
            self->scheduler_.OnAdvice(ask, r, SystemNow());
            self->PumpSoon();
          });
    } else if (const auto* forget = std::get_if<ForgetWorkerAction>(&action)) {
      ports_.workers->Forget(forget->worker_id);
    } else if (const auto* explain = std::get_if<ExplainAction>(&action)) {
      LogEvent(explain->severity, explain->event, explain->fields);
    }
  }
}

bool LeaderSession::CanAccept() const {
  return active() && SystemNow().mono - failing_since_ < kFailingTolerated;
}

void LeaderSession::DenyOnceConfirmed(const ClientCall& call,
                                      std::function<void(ClientReply)> reply) {
  const absl::Duration confirmed = SystemNow().mono - last_append_sent_;
  LogEvent(
      Severity::kInfo, "job_unknown",
      {{"job", JobIdText(call.job)},
       {"kind", call.kind == ClientCallKind::kCancel ? "cancel" : "status"},
       {"epoch", absl::StrCat(epoch_)},
       {"confirmed_ms_ago", absl::StrCat(absl::ToInt64Milliseconds(confirmed))},
       {"store_lost", failing_since_ == absl::InfiniteFuture() ? "no" : "yes"},
       {"stood_still", stood_still_ ? "yes" : "no"},
       {"jobs", absl::StrCat(scheduler_.figures().jobs)}});
  if (!CanAccept()) return reply(NotTaken("the store confirms no leader now"));
  // A successor that this leader has not heard of may know the job. The store
  // tells: it takes an append of this term only while nobody else leads.
  confirm_wanted_ = true;
  Await(scheduler_.NextBatch(), Reply(ClientAnswer::kNoSuchJob),
        std::move(reply));
}

void LeaderSession::Await(int64_t batch, ClientReply answer,
                          std::function<void(ClientReply)> reply) {
  if (batch == 0) return reply(std::move(answer));
  waiters_.emplace(batch, Waiter{std::move(reply), std::move(answer)});
  PumpSoon();
}

void LeaderSession::HandleOnceActive(const ClientCall& call,
                                     std::function<void(ClientReply)> reply,
                                     std::function<void()> dropped) {
  if (active()) return Handle(call, std::move(reply));
  if (ended() || early_calls_.size() >= kMostEarlyCalls) return dropped();
  const bool sweeping = !early_calls_.empty();
  early_calls_.push_back({call, std::move(reply), std::move(dropped),
                          SystemNow().mono + kEarlyPatience});
  if (!sweeping) SweepEarlyCalls();
}

void LeaderSession::SweepEarlyCalls() {
  DropEarlyCalls(SystemNow().mono);
  if (early_calls_.empty()) return;
  After(kEarlySweepEvery,
        [self = shared_from_this()] { self->SweepEarlyCalls(); });
}

void LeaderSession::DropEarlyCalls(absl::Time until) {
  while (!early_calls_.empty() && early_calls_.front().until <= until) {
    const EarlyCall late = std::move(early_calls_.front());
    early_calls_.pop_front();
    late.dropped();
  }
}

ClientReply LeaderSession::AnswerOfUnreadable(const ClientCall& call) const {
  LogEvent(Severity::kError, "job_unreadable",
           {{"job", JobIdText(call.job)}, {"epoch", absl::StrCat(epoch_)}});
  const char* why = "the records of this job cannot be read";
  // It was accepted once, so that it may have run.
  return call.kind == ClientCallKind::kSubmit
             ? Reply(ClientAnswer::kUnknown, why)
             : NotTaken(why);
}

bool LeaderSession::RefuseOverload(
    const ClientCall& call, const std::function<void(ClientReply)>& reply) {
  const auto verdict = scheduler_.Admit(call.queue, call.spec);
  if (!verdict || verdict->accept) return false;
  const auto ms = [](absl::Duration time) {
    return absl::StrCat(absl::ToInt64Milliseconds(time));
  };
  LogEvent(Severity::kInfo, "job_refused",
           {{"job", JobIdText(call.job)},
            {"queue", call.queue},
            {"why", "more waits than can begin in time"},
            {"ready", absl::StrCat(verdict->backlog)},
            {"would_wait_ms", ms(verdict->wait)},
            {"retry_after_ms", ms(verdict->retry_after)}});
  metrics_.Count("jobs_refused_total", {{"queue", call.queue}});
  ClientReply refused = NotTaken("more waits than can begin in time");
  refused.retry_after = verdict->retry_after;
  reply(std::move(refused));
  return true;
}

void LeaderSession::Handle(const ClientCall& call,
                           std::function<void(ClientReply)> reply) {
  const Now now = SystemNow();
  const bool names_job = call.kind != ClientCallKind::kWaiting;
  if (names_job && unreadable_jobs_.count(call.job) > 0)
    return reply(AnswerOfUnreadable(call));
  switch (call.kind) {
    case ClientCallKind::kSubmit: {
      const bool known = scheduler_.Status(call.job).has_value();
      if (!known && !CanAccept()) {
        ClientReply refused = NotTaken("the store does not take records");
        LogEvent(Severity::kInfo, "job_refused",
                 {{"job", JobIdText(call.job)}, {"why", refused.message}});
        return reply(std::move(refused));
      }
      if (!known && RefuseOverload(call, reply)) return;
      const int64_t batch =
          scheduler_.Submit(call.job, call.queue, call.spec, now);
      return Await(batch, Reply(ClientAnswer::kAccepted), std::move(reply));
    }
    case ClientCallKind::kCancel: {
      const auto batch = scheduler_.Cancel(call.job, now);
      if (!batch) return DenyOnceConfirmed(call, std::move(reply));
      return Await(*batch, Reply(ClientAnswer::kAccepted), std::move(reply));
    }
    case ClientCallKind::kStatus: {
      const auto state = scheduler_.Status(call.job);
      if (!state) return DenyOnceConfirmed(call, std::move(reply));
      ClientReply answer = Reply(ClientAnswer::kState);
      answer.state = JobStateName(*state);
      return reply(std::move(answer));
    }
    case ClientCallKind::kWaiting: {
      if (now.mono - last_append_sent_ > kWaitingMayBeOld)
        return reply(NotTaken("the count may be old"));
      ClientReply answer = Reply(ClientAnswer::kWaiting);
      const auto waiting = scheduler_.Waiting();
      const auto found = waiting.find(call.queue);
      answer.waiting = found == waiting.end() ? 0 : found->second;
      return reply(std::move(answer));
    }
  }
}

void LeaderSession::SetConfiguration(
    std::shared_ptr<const SiteConfiguration> configuration) {
  worker_list_.SetConfiguration(*configuration);
  scheduler_.SetConfiguration(std::move(configuration));
  ApplyWorkerList();
  PumpSoon();
}

void LeaderSession::SetAdvisers(const std::vector<std::string>& nodes) {
  scheduler_.SetAdvisers(nodes, options_.node);
}

void LeaderSession::OnEarlierLeadersStopped(absl::Time last_order) {
  scheduler_.OnEarlierLeadersStopped(last_order);
  PumpSoon();
}

void LeaderSession::PublishFigures() {
  const JobScheduler::Figures f = scheduler_.figures();
  const auto set = [&](const char* name, int64_t value) {
    metrics_.Set(name, {}, static_cast<double>(value));
  };
  set("jobs", f.jobs);
  set("tasks_ready", f.ready_tasks);
  set("tasks_on_workers", f.running_tasks);
  set("workers", f.workers);
  set("workers_listed", f.workers_listed);
  set("cpu_milli_total", f.cpu_milli_total);
  set("cpu_milli_used", f.cpu_milli_used);
  set("starts", f.starts);
  set("starts_refused", f.starts_refused);
  set("runs_yielded", f.yields);
  set("advice_calls", f.advice_calls);
  set("ends_done", f.ends_done);
  set("ends_failed", f.ends_failed);
  set("ends_other", f.ends_other);
  set("recovered_tasks_waiting", f.recovered_waiting);
  set("cpu_milli_held", f.cpu_milli_held);
  set("gangs_waiting", f.gangs_waiting);
  set("gangs_holding", f.gangs_holding);
  set("steps_not_asking", f.steps_not_asking);
  set("looks", f.looks);
  set("steps_looked_at", f.steps_looked_at);
  set("late_steps_looked_at", f.late_steps_looked_at);
  set("workers_tried", f.workers_tried);
  set("listings_passed_over", f.listings_passed_over);
  set("starts_unanswered", f.starts_unanswered);
  metrics_.Set("deciding_seconds", {}, absl::ToDoubleSeconds(decided_for_));
  const WorkerList::Figures entries = worker_list_.figures();
  const auto set_unused = [&](const char* why, int64_t count) {
    metrics_.Set("worker_entries_unused", {{"why", why}},
                 static_cast<double>(count));
  };
  set_unused("unreadable", entries.refused);
  set_unused("service", entries.unnamed);
  metrics_.Set("loop_lag_seconds", {}, absl::ToDoubleSeconds(longest_lag_));
  const auto lag_ms = absl::ToInt64Milliseconds(longest_lag_);
  longest_lag_ = absl::ZeroDuration();
  LogEvent(
      Severity::kInfo, "site_figures",
      {{"jobs", absl::StrCat(f.jobs)},
       {"tasks_ready", absl::StrCat(f.ready_tasks)},
       {"tasks_on_workers", absl::StrCat(f.running_tasks)},
       {"workers", absl::StrCat(f.workers)},
       {"listed", absl::StrCat(f.workers_listed)},
       {"cpu_used", absl::StrCat(f.cpu_milli_used / 1000)},
       {"cpu_total", absl::StrCat(f.cpu_milli_total / 1000)},
       {"advice_calls", absl::StrCat(f.advice_calls)},
       {"starts", absl::StrCat(f.starts)},
       {"refused", absl::StrCat(f.starts_refused)},
       {"recovered_waiting", absl::StrCat(f.recovered_waiting)},
       {"cpu_held", absl::StrCat(f.cpu_milli_held / 1000)},
       {"gangs_waiting", absl::StrCat(f.gangs_waiting)},
       {"gangs_holding", absl::StrCat(f.gangs_holding)},
       {"steps_not_asking", absl::StrCat(f.steps_not_asking)},
       {"looks", absl::StrCat(f.looks)},
       {"steps_looked_at", absl::StrCat(f.steps_looked_at)},
       {"late_steps_looked_at", absl::StrCat(f.late_steps_looked_at)},
       {"workers_tried", absl::StrCat(f.workers_tried)},
       {"listings_passed_over", absl::StrCat(f.listings_passed_over)},
       {"starts_unanswered", absl::StrCat(f.starts_unanswered)},
       {"deciding_ms", absl::StrCat(absl::ToInt64Milliseconds(decided_for_))},
       {"longest_lag_ms", absl::StrCat(lag_ms)}});
}

}  // namespace keelbridge
