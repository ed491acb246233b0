// How a leader answers the calls of clients: submissions, cancels and questions
// about jobs.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/accounts/account_access.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/leader_session.h"

namespace keelbridge {
namespace {

// The number of waiting jobs is reported only if the store confirmed this
// leader within this time, because the count may be at most 2 s old.
constexpr absl::Duration kMaxWaitingCountAge = absl::Seconds(2);
// How long a status call waits for the end of its job to become durable. An
// append takes much less than this unless the store is disturbed.
constexpr absl::Duration kMaxPendingEndWait = absl::Milliseconds(200);
// New jobs are refused once appends have failed for this long.
constexpr absl::Duration kMaxAppendFailureDuration = absl::Milliseconds(400);
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

}  // namespace keelbridge
