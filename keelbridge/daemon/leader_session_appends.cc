// How a leader's changes reach the store: one batch at a time, in appends that
// are tried again until one is answered or the term ends.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/leader_session.h"

namespace keelbridge {
namespace {

// Least time between two appends, so that many changes share one.
constexpr absl::Duration kFlushEvery = absl::Milliseconds(15);
// With nothing to write, an empty append shows that this leader still leads.
constexpr absl::Duration kRenewEvery = absl::Milliseconds(1500);
// The same while a caller waits to be told that there is no such job: each
// append is priced, and such callers can wait a little.
constexpr absl::Duration kConfirmEvery = absl::Milliseconds(100);
// An answer that takes this many times as long as answers lately did is taken
// for lost; each further try of the same append waits twice as long for its
// own. A try that lands twice changes nothing.
constexpr double kLateAnswerFactor = 8;
constexpr absl::Duration kShortestAppendTimeout = absl::Milliseconds(120);
constexpr double kLatencyWeight = 0.2;  // Of a new answer.
// The same append goes out again, beside tries without an answer, after the
// first pause once and then after each further one: it counts once, and the
// store's return is used within one pause. The pauses of a slow store are
// longer: so many times as long as its answers take.
constexpr absl::Duration kFirstAgainPause = absl::Milliseconds(60);
constexpr absl::Duration kAgainPause = absl::Milliseconds(150);
constexpr double kAgainFactor = 2;
constexpr int kMostOpenTries = 5;

}  // namespace

void LeaderSession::MaybeFlush() {
  if (flight_) return;
  const absl::Time now = SystemNow().mono;
  const absl::Duration pause = confirm_wanted_ ? kConfirmEvery : kRenewEvery;
  const bool renew = now - last_flush_ > pause;
  if (!renew && !(scheduler_.HasBatch() && now - last_flush_ >= kFlushEvery)) {
    if (scheduler_.HasBatch() && !pump_armed_) PumpSoon();
    return;
  }
  flight_ = std::make_unique<Flight>();
  flight_->batch = scheduler_.TakeBatch();
  confirm_wanted_ = false;
  last_flush_ = now;
  BeginAppend();
}

void LeaderSession::BeginAppend() {
  ++flights_;
  flight_->tries = 0;
  flight_->open = 0;
  flight_->count = CountForAppend(flight_->batch.records, flight_->begin,
                                  options_.most_append_bytes);
  // An append without records only shows the epoch: it takes no number.
  flight_->sequence = next_sequence_;
  if (flight_->count > 0) ++next_sequence_;
  SendFlight();
}

absl::Duration LeaderSession::AppendTimeout(int tries) const {
  const absl::Duration first =
      std::max(append_latency_ * kLateAnswerFactor, kShortestAppendTimeout);
  const double longer = static_cast<double>(1 << std::min(tries - 1, 4));
  return std::min(first * longer, kAppendTimeout);
}

void LeaderSession::SendFlight() {
  ++flight_->tries;
  ++flight_->open;
  SendFlightAgainLater();  // Before the answer may come.
  AppendOrder order;
  order.stream = Stream::kJobs;
  const auto first =
      flight_->batch.records.begin() + static_cast<ptrdiff_t>(flight_->begin);
  order.records.assign(first, first + static_cast<ptrdiff_t>(flight_->count));
  order.writer = WriterEpoch{kLeaderWriter, epoch_, flight_->sequence};
  const absl::Time sent = SystemNow().mono;
  ports_.store->Append(order, AppendTimeout(flight_->tries),
                       [self = shared_from_this(), flight = flights_,
                        sent](const AppendReply& reply) {
                         if (!self->ended())
                           self->OnAppended(reply, flight, sent);
                       });
}

void LeaderSession::SendFlightAgainLater() {
  const bool first = flight_->tries == 1;
  const absl::Duration pause =
      first ? std::clamp(append_latency_ * kLateAnswerFactor, kFirstAgainPause,
                         kShortestAppendTimeout)
            : std::max(append_latency_ * kAgainFactor, kAgainPause);
  After(pause, [self = shared_from_this(), flight = flights_] {
    if (!self->flight_ || self->flights_ != flight) return;
    if (self->flight_->open < kMostOpenTries) return self->SendFlight();
    self->SendFlightAgainLater();
  });
}

void LeaderSession::OnAppendFailed(const AppendReply& reply, absl::Time sent) {
  --flight_->open;
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
            {"tries", absl::StrCat(flight_->tries)},
            {"took_ms", absl::StrCat(absl::ToInt64Milliseconds(took))}});
}

void LeaderSession::OnAppended(const AppendReply& reply, int64_t flight,
                               absl::Time sent) {
  metrics_.Count("appends_total", {{"result", StoreResultName(reply.result)}});
  const Now now = SystemNow();
  if (reply.result == StoreResult::kFenced) return End("the store fenced it");
  // Another try of the same append was answered before.
  if (!flight_ || flights_ != flight) return;
  if (reply.result == StoreResult::kSequence)
    return End("the store expects another number");
  if (reply.result != StoreResult::kDone) return OnAppendFailed(reply, sent);
  if (failing_since_ != absl::InfiniteFuture()) {
    LogEvent(
        Severity::kInfo, "store_back",
        {{"after_ms",
          absl::StrCat(absl::ToInt64Milliseconds(now.mono - failing_since_))}});
    failing_since_ = absl::InfiniteFuture();
    ++store_returns_;
  }
  if (!EndsAsExpected(reply))
    return End("the store does not hold what this leader appended");
  append_latency_ += kLatencyWeight * (now.mono - sent - append_latency_);
  last_append_sent_ = sent;
  if (sent >= stood_still_until_) stood_still_ = false;
  metrics_.Observe("append_seconds", {},
                   absl::ToDoubleSeconds(now.mono - sent));
  flight_->begin += flight_->count;
  if (flight_->begin < flight_->batch.records.size()) return BeginAppend();
  const int64_t number = flight_->batch.number;
  flight_.reset();
  scheduler_.OnDurable(number);
  while (!waiters_.empty() && waiters_.begin()->first <= number) {
    const Waiter waiter = waiters_.begin()->second;
    waiters_.erase(waiters_.begin());
    waiter.reply(waiter.answer);
  }
  PumpSoon();
}

bool LeaderSession::EndsAsExpected(const AppendReply& reply) {
  const auto added = static_cast<int64_t>(flight_->count);
  // Nobody else writes here after this leader's fence.
  const int64_t expected = stream_end_ + added;
  if (reply.end == expected) {
    stream_end_ = reply.end;
    return true;
  }
  LogEvent(Severity::kError, "append_end_unexpected",
           {{"epoch", absl::StrCat(epoch_)},
            {"sequence", absl::StrCat(flight_->sequence)},
            {"records", absl::StrCat(added)},
            {"tries", absl::StrCat(flight_->tries)},
            {"end_before", absl::StrCat(stream_end_)},
            {"end", absl::StrCat(reply.end)}});
  return false;
}

}  // namespace keelbridge
