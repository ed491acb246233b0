#include "keelbridge/daemon/claim_service.h"

#include <optional>
#include <utility>

#include "absl/time/clock.h"
#include "keelbridge/base/clock.h"

namespace keelbridge {
namespace {

constexpr int kMaxReadsPerStep = 50;
// While callers wait, a step repeats its rounds of appending and reading for at
// most kMaxStepDuration, with a pause of kRoundInterval between rounds.
constexpr absl::Duration kMaxStepDuration = absl::Seconds(1);
constexpr absl::Duration kRoundInterval = absl::Milliseconds(10);

LogWriter::Options WriterOptions(uint64_t incarnation,
                                 absl::Duration append_interval) {
  LogWriter::Options options;
  options.incarnation = incarnation;
  options.seed = incarnation;
  options.append_interval = append_interval;
  return options;
}

}  // namespace

ClaimService::ClaimService(LogClient& log, uint64_t incarnation,
                           absl::Duration log_timeout,
                           absl::Duration append_interval)
    : log_(log),
      incarnation_(incarnation),
      log_timeout_(log_timeout),
      writer_(WriterOptions(incarnation, append_interval)),
      table_(incarnation) {}

ClaimService::Answer ClaimService::Claim(const std::string& key,
                                         absl::Duration wait) {
  {
    absl::MutexLock lock(&mutex_);
    if (table_.caught_up() && table_.OwnerOf(key) != ClaimTable::Owner::kNobody)
      return Answer::kAlreadyClaimed;
    // The same request was sent to this gateway before.
    if (!local_keys_.insert(key).second) return Answer::kAlreadyClaimed;
    ++waiters_;
  }
  if (!entries_.Push(KeyClaimEntry{key, incarnation_})) {
    absl::MutexLock lock(&mutex_);
    --waiters_;
    local_keys_.erase(key);
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
    --waiters_;
    if (owner == ClaimTable::Owner::kOther) local_keys_.erase(key);
  }
  if (owner == ClaimTable::Owner::kSelf) return Answer::kGranted;
  if (owner == ClaimTable::Owner::kOther) return Answer::kAlreadyClaimed;
  // The claim may still reach the log. The release is queued behind it in the
  // same writer, so it frees the key again.
  Release(key);
  return Answer::kNotRecorded;
}

void ClaimService::Release(const std::string& key) {
  entries_.Push(KeyReleaseEntry{key, incarnation_});
  absl::MutexLock lock(&mutex_);
  local_keys_.erase(key);
}

bool ClaimService::HasWaiters() {
  absl::MutexLock lock(&mutex_);
  return waiters_ > 0;
}

void ClaimService::Step() {
  const absl::Time start = SystemNow().mono;
  while (true) {
    for (LogEntry& entry : entries_.Drain(kMaxQueuedEntries)) {
      writer_.Add(std::move(entry));
    }
    AppendNextEnvelope();
    const absl::Time now = SystemNow().mono;
    const bool has_waiters = HasWaiters();
    if (has_waiters || now >= next_idle_read_) {
      next_idle_read_ = now + IdlePollInterval();
      ReadClaims();
    }
    if ((!has_waiters && writer_.idle()) || now - start > kMaxStepDuration)
      return;
    absl::SleepFor(kRoundInterval);
  }
}

void ClaimService::AppendNextEnvelope() {
  const std::optional<Envelope> envelope = writer_.Next(SystemNow().mono);
  if (!envelope) return;
  Result<int64_t> offset =
      log_.Append(kClaimsStream, EnvelopeToText(*envelope), log_timeout_);
  writer_.OnAnswer(
      offset ? std::optional<int64_t>(offset.value()) : std::nullopt,
      SystemNow().mono);
}

void ClaimService::ReadClaims() {
  for (int i = 0; i < kMaxReadsPerStep; ++i) {
    int64_t from = 0;
    {
      absl::MutexLock lock(&mutex_);
      from = table_.next();
    }
    Result<LogBatch> batch = log_.Read(kClaimsStream, from, log_timeout_);
    if (!batch) return;
    absl::MutexLock lock(&mutex_);
    table_.OnBatch(batch.value());
    const std::optional<EnvelopeId> unacknowledged = writer_.unacknowledged();
    if (unacknowledged && table_.Applied(*unacknowledged)) {
      writer_.OnSeenInLog(SystemNow().mono);
    }
    if (table_.caught_up() || batch.value().records.empty()) return;
  }
}

}  // namespace keelbridge
