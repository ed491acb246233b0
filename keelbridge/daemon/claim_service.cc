#include "keelbridge/daemon/claim_service.h"

#include <optional>
#include <utility>

#include "absl/time/clock.h"
#include "keelbridge/base/clock.h"

namespace keelbridge {
namespace {

constexpr int kMostReadsAStep = 50;
// While callers wait, a step goes on for so long, with such pauses.
constexpr absl::Duration kLongestStep = absl::Seconds(1);
constexpr absl::Duration kBetweenRounds = absl::Milliseconds(10);

LogWriter::Options WriterOptions(uint64_t incarnation,
                                 absl::Duration append_every) {
  LogWriter::Options options;
  options.incarnation = incarnation;
  options.seed = incarnation;
  options.append_every = append_every;
  return options;
}

}  // namespace

ClaimDesk::ClaimDesk(LogClient& log, uint64_t incarnation,
                     absl::Duration log_timeout, absl::Duration append_every)
    : log_(log),
      incarnation_(incarnation),
      log_timeout_(log_timeout),
      writer_(WriterOptions(incarnation, append_every)),
      table_(incarnation) {}

ClaimDesk::Answer ClaimDesk::Claim(const std::string& key,
                                   absl::Duration wait) {
  {
    absl::MutexLock lock(&mutex_);
    if (table_.caught_up() && table_.OwnerOf(key) != ClaimTable::Owner::kNobody)
      return Answer::kTaken;
    // A second send of the same request to this same gateway.
    if (!in_use_.insert(key).second) return Answer::kTaken;
    ++waiting_;
  }
  if (!entries_.Push(KeyClaimEntry{key, incarnation_})) {
    absl::MutexLock lock(&mutex_);
    --waiting_;
    in_use_.erase(key);
    return Answer::kBusy;
  }
  if (wake_) wake_();
  ClaimTable::Owner owner = ClaimTable::Owner::kNobody;
  {
    absl::MutexLock lock(&mutex_);
    const auto decided = [this, &key]() ABSL_NO_THREAD_SAFETY_ANALYSIS {
      return table_.OwnerOf(key) != ClaimTable::Owner::kNobody;
    };
    mutex_.AwaitWithTimeout(absl::Condition(&decided), wait);
    owner = table_.OwnerOf(key);
    --waiting_;
    if (owner == ClaimTable::Owner::kOther) in_use_.erase(key);
  }
  if (owner == ClaimTable::Owner::kMe) return Answer::kMine;
  if (owner == ClaimTable::Owner::kOther) return Answer::kTaken;
  // The claim may still reach the log; the release behind it in the same writer
  // frees the key again.
  Release(key);
  return Answer::kNoRecord;
}

void ClaimDesk::Release(const std::string& key) {
  entries_.Push(KeyReleaseEntry{key, incarnation_});
  absl::MutexLock lock(&mutex_);
  in_use_.erase(key);
}

bool ClaimDesk::SomebodyWaits() {
  absl::MutexLock lock(&mutex_);
  return waiting_ > 0;
}

void ClaimDesk::Step() {
  const absl::Time start = SystemNow().mono;
  while (true) {
    for (LogEntry& entry : entries_.Drain(kMostWaiting)) {
      writer_.Add(std::move(entry));
    }
    AppendOnce();
    const absl::Time now = SystemNow().mono;
    const bool waits = SomebodyWaits();
    if (waits || now >= next_idle_read_) {
      next_idle_read_ = now + IdlePoll();
      ReadOnce();
    }
    if ((!waits && writer_.idle()) || now - start > kLongestStep) return;
    absl::SleepFor(kBetweenRounds);
  }
}

void ClaimDesk::AppendOnce() {
  const std::optional<Envelope> envelope = writer_.Next(SystemNow().mono);
  if (!envelope) return;
  Result<int64_t> offset =
      log_.Append(kClaimsStream, EnvelopeToText(*envelope), log_timeout_);
  writer_.OnAnswer(
      offset ? std::optional<int64_t>(offset.value()) : std::nullopt,
      SystemNow().mono);
}

void ClaimDesk::ReadOnce() {
  for (int i = 0; i < kMostReadsAStep; ++i) {
    int64_t from = 0;
    {
      absl::MutexLock lock(&mutex_);
      from = table_.next();
    }
    Result<LogBatch> batch = log_.Read(kClaimsStream, from, log_timeout_);
    if (!batch) return;
    absl::MutexLock lock(&mutex_);
    table_.OnBatch(batch.value());
    const std::optional<EnvelopeId> unsettled = writer_.unsettled();
    if (unsettled && table_.Applied(*unsettled)) {
      writer_.OnSeen(SystemNow().mono);
    }
    if (table_.caught_up() || batch.value().records.empty()) return;
  }
}

}  // namespace keelbridge
