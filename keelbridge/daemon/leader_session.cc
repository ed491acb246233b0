#include "keelbridge/daemon/leader_session.h"

#include <algorithm>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/accounts/account_access.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/transport/event_timer.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
constexpr absl::Duration kCycleDelay = absl::Milliseconds(3);
// The number of waiting jobs is reported only if the store confirmed this
// leader within this time, because the count may be at most 2 s old.
constexpr absl::Duration kMaxWaitingCountAge = absl::Seconds(2);
// How long a status call waits for the end of its job to become durable. An
// append takes much less than this unless the store is disturbed.
constexpr absl::Duration kMaxPendingEndWait = absl::Milliseconds(200);
// New jobs are refused once appends have failed for this long.
constexpr absl::Duration kMaxAppendFailureDuration = absl::Milliseconds(400);
// Accounts with metrics of their own, so that the number of metrics is bounded.
constexpr size_t kMaxAccountMetrics = 32;
// The same for queues.
constexpr size_t kMaxDurationMetrics = 32;
constexpr absl::Duration kMetricsInterval = absl::Seconds(1);
// A longer gap between two ticks means that this process was suspended.
constexpr absl::Duration kStallThreshold = absl::Milliseconds(1500);
constexpr absl::Duration kRetryAfter = absl::Seconds(1);
// Maximum waiting time and number of calls that arrive before the term is
// active.
constexpr absl::Duration kQueuedCallTimeout = absl::Milliseconds(700);
constexpr size_t kMaxQueuedCalls = 2000;
constexpr absl::Duration kQueuedCallSweepInterval = absl::Milliseconds(100);

ClientReply Reply(ClientAnswer answer, std::string message = "") {
  ClientReply reply;
  reply.answer = answer;
  reply.message = std::move(message);
  return reply;
}

ClientReply StateReply(JobState state) {
  ClientReply reply = Reply(ClientAnswer::kState);
  reply.state = JobStateName(state);
  return reply;
}

ClientReply RetryLaterReply(std::string message) {
  ClientReply reply = Reply(ClientAnswer::kRejected, std::move(message));
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
      cycle_timer_(loop) {}

void LeaderSession::Start() {
  LogEvent(Severity::kInfo, "term_begins", {{"epoch", absl::StrCat(epoch_)}});
  Fence();
}

void LeaderSession::RunAfterUnlessEnded(absl::Duration delay,
                                        std::function<void()> step) {
  RunAfter(loop_, delay, [self = shared_from_this(), step = std::move(step)] {
    if (!self->ended()) step();
  });
}

void LeaderSession::End(const std::string& why) {
  if (ended()) return;
  if (active()) handover_ = scheduler_.Handover(SystemNow().mono);
  phase_ = Phase::kEnded;
  LogEvent(Severity::kWarning, "term_ended",
           {{"epoch", absl::StrCat(epoch_)}, {"why", why}});
  tick_timer_.cancel();
  cycle_timer_.cancel();
  DropQueuedCalls(absl::InfiniteFuture());
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
  for (const LeaderHandover& handover : std::exchange(queued_handovers_, {}))
    scheduler_.OnHandover(handover, SystemNow());
  const auto queued_calls = std::exchange(queued_calls_, {});
  for (const QueuedCall& waiting : queued_calls)
    Handle(waiting.call, waiting.reply);
  RunCycle();
  ScheduleTick();
}

void LeaderSession::ScheduleTick() {
  tick_timer_.expires_after(absl::ToChronoNanoseconds(kTickInterval));
  tick_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        if (error || self->ended()) return;
        self->RecordLoopLag(self->tick_timer_.expiry());
        // Schedules the next tick even if this one throws.
        const auto next_tick = absl::MakeCleanup([&self] {
          if (!self->ended()) self->ScheduleTick();
        });
        self->RunCycle();
      });
}

void LeaderSession::ScheduleCycle() {
  if (cycle_scheduled_ || phase_ != Phase::kActive) return;
  cycle_scheduled_ = true;
  cycle_timer_.expires_after(absl::ToChronoNanoseconds(kCycleDelay));
  cycle_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code error) {
        self->cycle_scheduled_ = false;
        if (error || self->ended()) return;
        self->RecordLoopLag(self->cycle_timer_.expiry());
        self->RunCycle();
      });
}

void LeaderSession::RecordLoopLag(BootClock::time_point due) {
  const absl::Duration lag = absl::FromChrono(BootClock::now() - due);
  scheduler_.SetLag(lag);
  longest_lag_ = std::max(longest_lag_, lag);
}

void LeaderSession::RunCycle() {
  const Now now = SystemNow();
  if (now.mono - last_tick_ > kStallThreshold) {
    LogEvent(Severity::kWarning, "stood_still",
             {{"ms", absl::StrCat(
                         absl::ToInt64Milliseconds(now.mono - last_tick_))}});
    // Stays set until an append sent from now on confirms this leader.
    stalled_ = true;
    last_stall_end_ = now.mono;
  }
  last_tick_ = now.mono;
  const bool confirmation_expired =
      now.mono - confirmed_at_ >
      MaxUnconfirmed(options_.scheduler.earlier_leader_grace);
  scheduler_.SetSuspended(stalled_ || confirmation_expired);
  scheduler_.Tick(now);
  const Now tick_end = SystemNow();
  scheduler_.OnTickFinished(tick_end.mono - now.mono, tick_end);
  total_decision_time_ += tick_end.mono - now.mono;
  ExecuteActions(scheduler_.TakeActions());
  if (scheduler_.fenced())
    return End("a worker has seen a higher fencing token");
  MaybeFlush();
  PollWorkers();
  if (now.mono >= next_metrics_at_) {
    next_metrics_at_ = now.mono + kMetricsInterval;
    PublishMetrics();
  }
}

void LeaderSession::ExecuteActions(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* start = std::get_if<StartAction>(&action)) {
      last_order_ = SystemNow().mono;
      ports_.workers->Start(
          start->worker, start->order,
          [self = shared_from_this(), start = *start](const OrderReply& reply) {
            if (self->ended()) return;
            self->scheduler_.OnStartReply(start, reply, SystemNow());
            self->ScheduleCycle();
          });
    } else if (const auto* stop = std::get_if<StopAction>(&action)) {
      ports_.workers->Stop(
          stop->worker, stop->order,
          [self = shared_from_this(), stop = *stop](const OrderReply& reply) {
            if (self->ended()) return;
            self->scheduler_.OnStopReply(stop, reply, SystemNow());
            self->ScheduleCycle();
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
                                self->ScheduleCycle();
                              });
    } else if (const auto* ask = std::get_if<AskAdviceAction>(&action)) {
      options_.ask_advice(
          *ask, [self = shared_from_this(), ask = *ask](const AdviceReply& r) {
            if (self->ended()) return;
            self->scheduler_.OnAdvice(ask, r, SystemNow());
            self->ScheduleCycle();
          });
    } else if (const auto* forget = std::get_if<ForgetWorkerAction>(&action)) {
      ports_.workers->Forget(forget->worker_id);
    } else if (const auto* explain = std::get_if<LogAction>(&action)) {
      LogEvent(explain->severity, explain->event, explain->fields);
    }
  }
}

bool LeaderSession::CanAccept() const {
  return active() &&
         SystemNow().mono - failing_since_ < kMaxAppendFailureDuration;
}

ClientReply LeaderSession::RefuseInOutage(const ClientCall& call,
                                          std::string why) {
  ClientReply refused = RetryLaterReply(std::move(why));
  if (options_.scheduler.policy.spread_retries)
    refused.retry_after = outage_retry_.OnRefused(call.job, SystemNow().mono);
  return refused;
}

void LeaderSession::ReplyNoSuchJobOnceConfirmed(
    const ClientCall& call, std::function<void(ClientReply)> reply) {
  const absl::Duration confirmed = SystemNow().mono - last_append_sent_;
  LogEvent(
      Severity::kInfo, "job_unknown",
      {{"job", JobIdText(call.job)},
       {"kind", call.kind == ClientCallKind::kCancel ? "cancel" : "status"},
       {"epoch", absl::StrCat(epoch_)},
       {"confirmed_ms_ago", absl::StrCat(absl::ToInt64Milliseconds(confirmed))},
       {"store_lost", failing_since_ == absl::InfiniteFuture() ? "no" : "yes"},
       {"stood_still", stalled_ ? "yes" : "no"},
       {"jobs", absl::StrCat(scheduler_.figures().jobs)}});
  if (!CanAccept())
    return reply(RefuseInOutage(call, "the store confirms no leader now"));
  // A successor unknown to this leader may know the job. The store accepts an
  // append of this term only while no other node leads, so a successful append
  // rules that out.
  confirmation_requested_ = true;
  ReplyWhenDurable(scheduler_.NextBatch(), Reply(ClientAnswer::kNoSuchJob),
                   std::move(reply));
}

void LeaderSession::ReplyWhenDurable(int64_t batch, ClientReply answer,
                                     std::function<void(ClientReply)> reply) {
  if (batch == 0) return reply(std::move(answer));
  waiters_.emplace(batch, Waiter{std::move(reply), std::move(answer)});
  ScheduleCycle();
}

void LeaderSession::HandleOnceActive(const ClientCall& call,
                                     std::function<void(ClientReply)> reply,
                                     std::function<void()> dropped) {
  if (active()) return Handle(call, std::move(reply));
  if (ended() || queued_calls_.size() >= kMaxQueuedCalls) return dropped();
  const bool sweeping = !queued_calls_.empty();
  queued_calls_.push_back({call, std::move(reply), std::move(dropped),
                           SystemNow().mono + kQueuedCallTimeout});
  if (!sweeping) DropExpiredCalls();
}

void LeaderSession::DropExpiredCalls() {
  DropQueuedCalls(SystemNow().mono);
  if (queued_calls_.empty()) return;
  RunAfterUnlessEnded(kQueuedCallSweepInterval, [self = shared_from_this()] {
    self->DropExpiredCalls();
  });
}

void LeaderSession::DropQueuedCalls(absl::Time deadline) {
  while (!queued_calls_.empty() && queued_calls_.front().deadline <= deadline) {
    const QueuedCall expired = std::move(queued_calls_.front());
    queued_calls_.pop_front();
    expired.dropped();
  }
}

ClientReply LeaderSession::UnreadableJobReply(const ClientCall& call) const {
  LogEvent(Severity::kError, "job_unreadable",
           {{"job", JobIdText(call.job)}, {"epoch", absl::StrCat(epoch_)}});
  const char* why = "the records of this job cannot be read";
  // The job was accepted earlier, so it may have run.
  return call.kind == ClientCallKind::kSubmit
             ? Reply(ClientAnswer::kUnknown, why)
             : RetryLaterReply(why);
}

void LeaderSession::CountVerdict(const std::string& queue,
                                 const Admission::Verdict& verdict) {
  const MetricLabels labels = {{"queue", queue}};
  if (!verdict.accept) metrics_.Count("jobs_refused_total", labels);
  if (verdict.late) metrics_.Count("jobs_admitted_late_total", labels);
  if (verdict.return_promised) metrics_.Count("returns_promised_total", labels);
  if (verdict.promise_kept) metrics_.Count("returns_kept_total", labels);
}

void LeaderSession::Refuse(const ClientCall& call,
                           const Admission::Verdict& verdict,
                           const std::function<void(ClientReply)>& reply) {
  const auto ms = [](absl::Duration time) {
    return absl::StrCat(absl::ToInt64Milliseconds(time));
  };
  LogEvent(Severity::kInfo, "job_refused",
           {{"job", JobIdText(call.job)},
            {"queue", call.queue},
            {"account", call.caller.account},
            {"why", verdict.reason},
            {"ready", absl::StrCat(verdict.backlog)},
            {"would_wait_ms", ms(verdict.wait)},
            {"would_wait_late_ms", ms(verdict.late_wait)},
            {"age_ms", ms(verdict.age)},
            {"promised", verdict.return_promised ? "yes" : "no"},
            {"retry_after_ms", ms(verdict.retry_after)}});
  ClientReply refused = RetryLaterReply(verdict.reason);
  refused.retry_after = verdict.retry_after;
  reply(std::move(refused));
}

std::optional<ClientReply> LeaderSession::CheckCaller(
    const ClientCall& call) const {
  // The node that received the call has decided by a configuration that is at
  // least as new.
  if (configuration_ == nullptr ||
      configuration_->version <= call.caller.configuration_version)
    return std::nullopt;
  const Queue* queue = configuration_->FindQueueByName(call.queue);
  if (queue == nullptr) return std::nullopt;
  const AccessDecision access =
      CheckAccess(*configuration_, *queue, call.caller.key);
  if (access.allowed()) return std::nullopt;
  LogEvent(
      Severity::kInfo, "call_denied_by_leader",
      {{"job", JobIdText(call.job)},
       {"queue", call.queue},
       {"account", call.caller.account},
       {"why", access.reason()},
       {"checked_version", absl::StrCat(call.caller.configuration_version)},
       {"configuration_version", absl::StrCat(configuration_->version)}});
  return Reply(ClientAnswer::kUnauthorized, access.reason());
}

bool LeaderSession::BelongsToAnotherAccount(const ClientCall& call) const {
  const std::optional<std::string> account = scheduler_.AccountOf(call.job);
  return account.has_value() &&
         !MayAccessJob(call.caller.account, call.caller.queue_allows_anonymous,
                       *account);
}

std::optional<ClientReply> LeaderSession::RefuseIfTooLarge(
    const ClientCall& call) const {
  const size_t bytes =
      DescriptionSize(call.job, call.queue, call.spec, call.caller.account);
  const size_t max_bytes = options_.scheduler.max_record_bytes;
  if (bytes <= max_bytes) return std::nullopt;
  const std::string why =
      absl::StrCat("the job takes ", bytes, " bytes to keep, at most ",
                   max_bytes, " are possible");
  LogEvent(Severity::kInfo, "job_refused",
           {{"job", JobIdText(call.job)}, {"why", why}});
  return Reply(ClientAnswer::kInvalid, why);
}

std::optional<ClientReply> LeaderSession::RefuseIfCancelled(
    const ClientCall& call, Now now) {
  const auto left = scheduler_.early_cancels().TimeLeft(
      call.job, call.caller.account, now.mono);
  if (!left) return std::nullopt;
  ClientReply refused =
      RetryLaterReply("the job was cancelled before it arrived");
  // Only then does the id name a new job.
  refused.retry_after = *left;
  metrics_.Count("jobs_cancelled_before_arrival_total", {});
  LogEvent(Severity::kInfo, "job_refused",
           {{"job", JobIdText(call.job)},
            {"queue", call.queue},
            {"account", call.caller.account},
            {"why", refused.message},
            {"retry_after_ms",
             absl::StrCat(absl::ToInt64Milliseconds(refused.retry_after))}});
  return refused;
}

void LeaderSession::HandleCancel(const ClientCall& call,
                                 std::function<void(ClientReply)> reply) {
  if (BelongsToAnotherAccount(call))
    return reply(Reply(ClientAnswer::kNoSuchJob));
  const Now now = SystemNow();
  const auto batch = scheduler_.Cancel(call.job, now);
  if (batch) {
    return ReplyWhenDurable(*batch, Reply(ClientAnswer::kAccepted),
                            std::move(reply));
  }
  // The call that hands the job in may still be on its way. The answer that
  // there is no such job is given once later leaders know of the cancel.
  const bool marked =
      !CanAccept() ||  // The cancel is refused below.
      scheduler_.early_cancels().Add(
          call.job, {call.caller.account, call.caller.queue_allows_anonymous},
          now.mono);
  if (marked) return ReplyNoSuchJobOnceConfirmed(call, std::move(reply));
  metrics_.Count("early_cancels_refused_total", {});
  reply(RetryLaterReply("too many cancels of jobs that do not exist"));
}

void LeaderSession::HandleSubmit(const ClientCall& call,
                                 std::function<void(ClientReply)> reply) {
  if (BelongsToAnotherAccount(call))
    return reply(Reply(ClientAnswer::kConflict, "this id is in use"));
  const bool known = scheduler_.Status(call.job).has_value();
  if (!known && !CanAccept()) {
    ClientReply refused =
        RefuseInOutage(call, "the store does not take records");
    LogEvent(Severity::kInfo, "job_refused",
             {{"job", JobIdText(call.job)},
              {"why", refused.message},
              {"retry_after_ms",
               absl::StrCat(absl::ToInt64Milliseconds(refused.retry_after))}});
    return reply(std::move(refused));
  }
  const Now now = SystemNow();
  if (!known) {
    if (auto cancelled = RefuseIfCancelled(call, now))
      return reply(*std::move(cancelled));
    if (auto too_large = RefuseIfTooLarge(call))
      return reply(*std::move(too_large));
  }
  Admission::Verdict verdict;
  if (!known) {
    verdict =
        scheduler_
            .Admit(call.queue, call.spec, call.caller.account, call.job, now)
            .value_or(Admission::Verdict());
    CountVerdict(call.queue, verdict);
  }
  if (!verdict.accept) return Refuse(call, verdict, reply);
  const int64_t batch = scheduler_.Submit(call.job, call.queue, call.spec, now,
                                          call.caller.account, verdict);
  ReplyWhenDurable(batch, Reply(ClientAnswer::kAccepted), std::move(reply));
}

void LeaderSession::HandleStatus(const ClientCall& call,
                                 std::function<void(ClientReply)> reply) {
  if (BelongsToAnotherAccount(call))
    return reply(Reply(ClientAnswer::kNoSuchJob));
  const auto state = scheduler_.Status(call.job);
  if (!state) return ReplyNoSuchJobOnceConfirmed(call, std::move(reply));
  const auto pending = scheduler_.FindPendingEnd(call.job);
  const bool waits =
      options_.scheduler.policy.await_pending_ends && pending && CanAccept();
  if (!waits) return reply(StateReply(*state));
  // Only the first of the two replies is passed on.
  auto once =
      std::make_shared<std::function<void(ClientReply)>>(std::move(reply));
  const auto reply_once = [once](const ClientReply& answer) {
    if (*once) std::exchange(*once, nullptr)(answer);
  };
  ReplyWhenDurable(pending->batch, StateReply(pending->end), reply_once);
  RunAfterUnlessEnded(
      kMaxPendingEndWait,
      [reply_once, answer = StateReply(*state)] { reply_once(answer); });
}

void LeaderSession::Handle(const ClientCall& call,
                           std::function<void(ClientReply)> reply) {
  if (auto denied = CheckCaller(call)) return reply(*std::move(denied));
  const bool has_job = call.kind != ClientCallKind::kWaiting;
  if (has_job && unreadable_jobs_.count(call.job) > 0)
    return reply(UnreadableJobReply(call));
  switch (call.kind) {
    case ClientCallKind::kSubmit:
      return HandleSubmit(call, std::move(reply));
    case ClientCallKind::kCancel:
      return HandleCancel(call, std::move(reply));
    case ClientCallKind::kStatus:
      return HandleStatus(call, std::move(reply));
    case ClientCallKind::kWaiting: {
      if (SystemNow().mono - last_append_sent_ > kMaxWaitingCountAge)
        return reply(RetryLaterReply("the count may be old"));
      ClientReply answer = Reply(ClientAnswer::kWaiting);
      const auto waiting = scheduler_.QueuedJobs();
      const auto found = waiting.find(call.queue);
      answer.waiting = found == waiting.end() ? 0 : found->second;
      return reply(std::move(answer));
    }
  }
}

void LeaderSession::SetConfiguration(
    std::shared_ptr<const SiteConfiguration> configuration) {
  worker_list_.SetConfiguration(*configuration);
  configuration_ = configuration;
  scheduler_.SetConfiguration(std::move(configuration));
  ApplyWorkerList();
  ScheduleCycle();
}

void LeaderSession::SetAdvisers(const std::vector<AdviserNode>& nodes) {
  scheduler_.SetAdvisers(nodes, options_.node);
}

void LeaderSession::OnEarlierLeadersStopped(absl::Time last_order) {
  scheduler_.OnEarlierLeadersStopped(last_order);
  ScheduleCycle();
}

void LeaderSession::OnHandover(LeaderHandover handover) {
  if (ended()) return;
  // The jobs and workers that it concerns are not loaded yet.
  if (!active()) return queued_handovers_.push_back(std::move(handover));
  scheduler_.OnHandover(handover, SystemNow());
  ScheduleCycle();
}

void LeaderSession::PublishMetrics() {
  const JobScheduler::Figures f = scheduler_.figures();
  const auto set = [&](const char* name, int64_t value) {
    metrics_.Set(name, {}, static_cast<double>(value));
  };
  set("jobs", f.jobs);
  set("early_cancels", static_cast<int64_t>(scheduler_.early_cancels().size()));
  set("tasks_ready", f.ready_tasks);
  set("tasks_on_workers", f.running_tasks);
  set("workers", f.workers);
  set("workers_listed", f.workers_reported);
  set("workers_unobserved", f.workers_unobserved);
  set("cpu_milli_total", f.cpu_milli_total);
  set("cpu_milli_used", f.cpu_milli_used);
  set("starts", f.starts);
  set("starts_refused", f.starts_refused);
  set("starts_not_attempted", f.starts_not_attempted);
  set("steps_held_by_start_windows", f.steps_held_by_start_windows);
  set("runs_yielded", f.preemptions);
  set("advice_calls", f.advice_calls);
  set("ends_done", f.ends_done);
  set("ends_failed", f.ends_failed);
  set("ends_other", f.ends_other);
  set("stops_sent", f.stops_sent);
  set("runs_stopped", f.runs_stopped);
  set("recovered_tasks_waiting", f.recovered_waiting);
  set("cpu_milli_held", f.cpu_milli_reserved);
  set("gangs_waiting", f.gangs_waiting);
  set("gangs_holding", f.gangs_reserving);
  set("steps_not_asking", f.steps_without_advice);
  set("looks", f.placement_passes);
  set("steps_looked_at", f.steps_examined);
  set("late_steps_looked_at", f.late_steps_examined);
  set("workers_tried", f.workers_tried);
  set("workers_tried_to_hold", f.workers_tried_to_reserve);
  set("workers_tried_for_advice", f.workers_tried_for_advice);
  set("looks_out_of_starts", f.passes_out_of_starts);
  set("looks_out_of_searches", f.passes_out_of_searches);
  set("looks_out_of_advisers", f.passes_out_of_advisers);
  set("steps_kept_off_by_holds", f.blocked_by_reservations);
  set("listings_passed_over", f.stale_reports_skipped);
  set("answers_ignored", f.answers_ignored);
  set("starts_unanswered", f.starts_unanswered);
  set("timely_work_milli_seconds", f.timely_work_milli_s);
  set("late_work_milli_seconds", f.late_work_milli_s);
  metrics_.Set("deciding_seconds", {},
               absl::ToDoubleSeconds(total_decision_time_));
  for (const auto& account : scheduler_.LargestAccounts(kMaxAccountMetrics)) {
    const MetricLabels labels = {{"account", account.now.account}};
    metrics_.Set("account_cpu_milli_used", labels,
                 static_cast<double>(account.now.cpu_milli_running));
    metrics_.Set("account_tasks_waiting", labels,
                 static_cast<double>(account.now.tasks_waiting));
    metrics_.Set("account_share_asked", labels, account.asked_share);
    metrics_.Set("account_share_received", labels, account.received_share);
    metrics_.Set("account_jobs_excess", labels,
                 static_cast<double>(account.excess_jobs));
  }
  for (const auto& queue :
       scheduler_.durations().RecentQueues(kMaxDurationMetrics)) {
    const MetricLabels labels = {{"queue", queue.queue}};
    metrics_.Set("queue_duration_slope", labels, queue.slope);
    metrics_.Set("queue_duration_typical_seconds", labels,
                 absl::ToDoubleSeconds(queue.typical));
    metrics_.Set("queue_duration_spread", labels, queue.spread);
  }
  const WorkerList::Figures entries = worker_list_.figures();
  const auto set_unused = [&](const char* why, int64_t count) {
    metrics_.Set("worker_entries_unused", {{"why", why}},
                 static_cast<double>(count));
  };
  set_unused("unreadable", entries.refused);
  set_unused("service", entries.unknown_service);
  metrics_.Set("loop_lag_seconds", {}, absl::ToDoubleSeconds(longest_lag_));
  const auto lag_ms = absl::ToInt64Milliseconds(longest_lag_);
  longest_lag_ = absl::ZeroDuration();
  LogEvent(
      Severity::kInfo, "site_figures",
      {{"jobs", absl::StrCat(f.jobs)},
       {"tasks_ready", absl::StrCat(f.ready_tasks)},
       {"tasks_on_workers", absl::StrCat(f.running_tasks)},
       {"workers", absl::StrCat(f.workers)},
       {"listed", absl::StrCat(f.workers_reported)},
       {"unobserved", absl::StrCat(f.workers_unobserved)},
       {"cpu_used", absl::StrCat(f.cpu_milli_used / 1000)},
       {"cpu_total", absl::StrCat(f.cpu_milli_total / 1000)},
       {"advice_calls", absl::StrCat(f.advice_calls)},
       {"starts", absl::StrCat(f.starts)},
       {"refused", absl::StrCat(f.starts_refused)},
       {"not_attempted", absl::StrCat(f.starts_not_attempted)},
       {"held_by_start_windows", absl::StrCat(f.steps_held_by_start_windows)},
       {"recovered_waiting", absl::StrCat(f.recovered_waiting)},
       {"cpu_held", absl::StrCat(f.cpu_milli_reserved / 1000)},
       {"gangs_waiting", absl::StrCat(f.gangs_waiting)},
       {"gangs_holding", absl::StrCat(f.gangs_reserving)},
       {"steps_not_asking", absl::StrCat(f.steps_without_advice)},
       {"looks", absl::StrCat(f.placement_passes)},
       {"steps_looked_at", absl::StrCat(f.steps_examined)},
       {"late_steps_looked_at", absl::StrCat(f.late_steps_examined)},
       {"workers_tried", absl::StrCat(f.workers_tried)},
       {"tried_to_hold", absl::StrCat(f.workers_tried_to_reserve)},
       {"tried_for_advice", absl::StrCat(f.workers_tried_for_advice)},
       {"looks_out_of_starts", absl::StrCat(f.passes_out_of_starts)},
       {"looks_out_of_searches", absl::StrCat(f.passes_out_of_searches)},
       {"looks_out_of_advisers", absl::StrCat(f.passes_out_of_advisers)},
       {"kept_off_by_holds", absl::StrCat(f.blocked_by_reservations)},
       {"listings_passed_over", absl::StrCat(f.stale_reports_skipped)},
       {"answers_ignored", absl::StrCat(f.answers_ignored)},
       {"starts_unanswered", absl::StrCat(f.starts_unanswered)},
       {"stops_sent", absl::StrCat(f.stops_sent)},
       {"runs_stopped", absl::StrCat(f.runs_stopped)},
       {"timely_work_s", absl::StrCat(f.timely_work_milli_s / 1000)},
       {"late_work_s", absl::StrCat(f.late_work_milli_s / 1000)},
       {"deciding_ms",
        absl::StrCat(absl::ToInt64Milliseconds(total_decision_time_))},
       {"longest_lag_ms", absl::StrCat(lag_ms)}});
}

}  // namespace keelbridge
