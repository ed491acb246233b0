// Writes a leader's changes to the store, one batch at a time. Each append is
// retried until a try is answered or the term ends.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/leader_session.h"
#include "keelbridge/state/leader_append.h"

namespace keelbridge {
namespace {

// Minimum time between two appends, so that several changes share one append.
constexpr absl::Duration kMinFlushInterval = absl::Milliseconds(15);
// Without changes to write, an append at this interval confirms that this node
// still leads.
constexpr absl::Duration kRenewInterval = absl::Milliseconds(1500);
// Replaces `kRenewInterval` while a call waits for confirmation that a job does
// not exist. Each append has a price, and such callers can wait briefly.
constexpr absl::Duration kConfirmInterval = absl::Milliseconds(100);
// A reply is treated as lost after this multiple of the smoothed append
// latency. Each further try of the same append waits twice as long. A try that
// reaches the store twice has no further effect.
constexpr double kAppendTimeoutFactor = 8;
constexpr absl::Duration kMinAppendTimeout = absl::Milliseconds(120);
constexpr double kLatencyWeight = 0.2;  // Weight of a new sample.
// An unanswered append is sent again, first after a delay between
// `kMinFirstResendDelay` and `kMinAppendTimeout`, then after each further delay
// of at least `kMinResendDelay`. The store applies it once, and a store that
// becomes available again is used within one delay. For a slow store the
// further delays grow to `kResendDelayFactor` times its latency.
constexpr absl::Duration kMinFirstResendDelay = absl::Milliseconds(60);
constexpr absl::Duration kMinResendDelay = absl::Milliseconds(150);
constexpr double kResendDelayFactor = 2;
constexpr int kMaxOpenTries = 5;

}  // namespace

void LeaderSession::SetConfirmed(absl::Time begun) {
  confirmed_at_ = begun;
  scheduler_.OnConfirmed(begun);
}

void LeaderSession::MaybeFlush() {
  if (in_flight_append_) return;
  const absl::Time now = SystemNow().mono;
  const absl::Duration delay =
      confirmation_requested_ ? kConfirmInterval : kRenewInterval;
  const bool renew = now - last_flush_ > delay;
  if (!renew &&
      !(scheduler_.HasBatch() && now - last_flush_ >= kMinFlushInterval)) {
    if (scheduler_.HasBatch() && !cycle_scheduled_) ScheduleCycle();
    return;
  }
  in_flight_append_ = std::make_unique<InFlightAppend>();
  in_flight_append_->batch = scheduler_.TakeBatch();
  in_flight_append_->begun = now;
  std::vector<Record>& records = in_flight_append_->batch.records;
  records.insert(
      records.begin(),
      LeaderAppendRecord({{epoch_, now}, scheduler_.LeasesOver(now)}));
  confirmation_requested_ = false;
  last_flush_ = now;
  BeginAppend();
}

void LeaderSession::BeginAppend() {
  ++appends_started_;
  in_flight_append_->tries = 0;
  in_flight_append_->open_tries = 0;
  in_flight_append_->invalid = false;
  in_flight_append_->count =
      CountForAppend(in_flight_append_->batch.records, in_flight_append_->begin,
                     options_.max_append_bytes);
  in_flight_append_->sequence = next_sequence_++;
  SendAppend();
}

absl::Duration LeaderSession::AppendTimeout(int tries) const {
  const absl::Duration first =
      std::max(append_latency_ * kAppendTimeoutFactor, kMinAppendTimeout);
  const double backoff = static_cast<double>(1 << std::min(tries - 1, 4));
  return std::min(first * backoff, kAppendTimeout);
}

void LeaderSession::SendAppend() {
  ++in_flight_append_->tries;
  ++in_flight_append_->open_tries;
  // Before the append is sent, because its reply may arrive during the call.
  ScheduleResend();
  AppendOrder order;
  order.stream = Stream::kJobs;
  const auto first = in_flight_append_->batch.records.begin() +
                     static_cast<ptrdiff_t>(in_flight_append_->begin);
  order.records.assign(
      first, first + static_cast<ptrdiff_t>(in_flight_append_->count));
  order.writer =
      WriterEpoch{kLeaderWriter, epoch_, in_flight_append_->sequence};
  const absl::Time sent = SystemNow().mono;
  ports_.store->Append(
      order, AppendTimeout(in_flight_append_->tries),
      [self = shared_from_this(), append_number = appends_started_,
       sent](const AppendReply& reply) {
        if (!self->ended()) self->OnAppended(reply, append_number, sent);
      });
}

void LeaderSession::ScheduleResend() {
  const bool first = in_flight_append_->tries == 1;
  const absl::Duration delay =
      first ? std::clamp(append_latency_ * kAppendTimeoutFactor,
                         kMinFirstResendDelay, kMinAppendTimeout)
            : std::max(append_latency_ * kResendDelayFactor, kMinResendDelay);
  RunAfterUnlessEnded(
      delay, [self = shared_from_this(), append_number = appends_started_] {
        if (!self->in_flight_append_ || self->appends_started_ != append_number)
          return;
        if (self->in_flight_append_->open_tries < kMaxOpenTries)
          return self->SendAppend();
        self->ScheduleResend();
      });
}

void LeaderSession::LogInvalidAppend(const AppendReply& reply) {
  if (std::exchange(in_flight_append_->invalid, true)) return;
  const auto first = in_flight_append_->batch.records.begin() +
                     static_cast<ptrdiff_t>(in_flight_append_->begin);
  const auto largest = std::max_element(
      first, first + static_cast<ptrdiff_t>(in_flight_append_->count),
      [](const Record& a, const Record& b) {
        return EncodedSize(a) < EncodedSize(b);
      });
  LogEvent(Severity::kError, "append_invalid",
           {{"epoch", absl::StrCat(epoch_)},
            {"records", absl::StrCat(in_flight_append_->count)},
            {"detail", reply.message},
            {"largest", largest->key},
            {"bytes", absl::StrCat(EncodedSize(*largest))}});
}

void LeaderSession::OnAppendFailed(const AppendReply& reply, absl::Time sent) {
  --in_flight_append_->open_tries;
  if (reply.result == StoreResult::kInvalid) LogInvalidAppend(reply);
  if (failing_since_ == absl::InfiniteFuture()) {
    failing_since_ = sent;
    LogEvent(
        Severity::kWarning, "store_lost",
        {{"result", StoreResultName(reply.result)}, {"detail", reply.message}});
  }
  const absl::Duration took = SystemNow().mono - sent;
  LogEvent(Severity::kInfo, "append_not_done",
           {{"result", StoreResultName(reply.result)},
            {"detail", reply.message},
            {"tries", absl::StrCat(in_flight_append_->tries)},
            {"took_ms", absl::StrCat(absl::ToInt64Milliseconds(took))}});
}

void LeaderSession::OnAppended(const AppendReply& reply, int64_t append_number,
                               absl::Time sent) {
  metrics_.Count("appends_total", {{"result", StoreResultName(reply.result)}});
  const Now now = SystemNow();
  if (reply.result == StoreResult::kFenced)
    return End("the store fenced this leader");
  // Another try of the same append has already succeeded.
  if (!in_flight_append_ || appends_started_ != append_number) return;
  if (reply.result == StoreResult::kSequence)
    return End("the store expects another sequence number");
  if (reply.result != StoreResult::kDone) return OnAppendFailed(reply, sent);
  if (failing_since_ != absl::InfiniteFuture()) {
    LogEvent(
        Severity::kInfo, "store_back",
        {{"after_ms",
          absl::StrCat(absl::ToInt64Milliseconds(now.mono - failing_since_))}});
    failing_since_ = absl::InfiniteFuture();
    ++store_recoveries_;
  }
  if (!VerifyStreamEnd(reply))
    return End("the store does not contain what this leader appended");
  append_latency_ += kLatencyWeight * (now.mono - sent - append_latency_);
  last_append_sent_ = sent;
  SetConfirmed(in_flight_append_->begun);
  if (sent >= last_stall_end_) stalled_ = false;
  metrics_.Observe("append_seconds", {},
                   absl::ToDoubleSeconds(now.mono - sent));
  in_flight_append_->begin += in_flight_append_->count;
  if (in_flight_append_->begin < in_flight_append_->batch.records.size())
    return BeginAppend();
  const int64_t number = in_flight_append_->batch.number;
  in_flight_append_.reset();
  scheduler_.OnDurable(number);
  while (!waiters_.empty() && waiters_.begin()->first <= number) {
    const Waiter waiter = waiters_.begin()->second;
    waiters_.erase(waiters_.begin());
    waiter.reply(waiter.answer);
  }
  ScheduleCycle();
}

bool LeaderSession::VerifyStreamEnd(const AppendReply& reply) {
  const auto added = static_cast<int64_t>(in_flight_append_->count);
  // No other writer appends to this stream after this leader's fence.
  const int64_t expected = stream_end_ + added;
  if (reply.end == expected) {
    stream_end_ = reply.end;
    return true;
  }
  LogEvent(Severity::kError, "append_end_unexpected",
           {{"epoch", absl::StrCat(epoch_)},
            {"sequence", absl::StrCat(in_flight_append_->sequence)},
            {"records", absl::StrCat(added)},
            {"tries", absl::StrCat(in_flight_append_->tries)},
            {"end_before", absl::StrCat(stream_end_)},
            {"end", absl::StrCat(reply.end)}});
  return false;
}

}  // namespace keelbridge
