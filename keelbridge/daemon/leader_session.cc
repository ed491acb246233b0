#include "keelbridge/daemon/leader_session.h"

#include <algorithm>
#include <utility>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/transport/event_timer.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(50);
constexpr absl::Duration kCycleDelay = absl::Milliseconds(3);
// Accounts with metrics of their own, so that the number of metrics is bounded.
constexpr size_t kMaxAccountMetrics = 32;
// The same for queues.
constexpr size_t kMaxDurationMetrics = 32;
constexpr absl::Duration kMetricsInterval = absl::Seconds(1);
// A longer gap between two ticks means that this process was suspended.
constexpr absl::Duration kStallThreshold = absl::Milliseconds(1500);

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
  ClientReply unknown;
  unknown.answer = ClientAnswer::kUnknown;
  unknown.message = "the leader was replaced";
  for (const auto& [batch, waiter] : waiters) waiter.reply(unknown);
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
