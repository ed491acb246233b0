// Groups entries into few appends and settles answers that were lost.
//
// One envelope is on its way at a time. When its answer is lost, the same
// envelope is sent again under the same id until an answer comes; readers take
// the first and pass over the rest. That needs no record that says "this did
// not happen", and works however often the answer is lost.
//
//   LogWriter writer({.incarnation = id, .append_every =
//   absl::Milliseconds(200)}); if (!writer.Add(entry)) return Overloaded(); if
//   (auto envelope = writer.Next(now)) Send(*envelope);   // Then
//   OnAnswer(...).

#ifndef KEELBRIDGE_COORDINATION_LOG_WRITER_H_
#define KEELBRIDGE_COORDINATION_LOG_WRITER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>

#include "absl/time/time.h"
#include "keelbridge/protocol/log_messages.h"

namespace keelbridge {

// Pure: no clock, thread or socket. Not thread-safe.
class LogWriter {
 public:
  struct Options {
    uint64_t incarnation = 0;
    uint64_t seed = 1;  // For the jitter of the back-off.
    size_t max_queued_entries = 20000;
    size_t max_envelope_entries = 2000;  // In one envelope.
    size_t max_envelope_bytes = 256 << 10;
    absl::Duration append_every =
        absl::Milliseconds(100);  // Least time between appends.
    absl::Duration initial_backoff = absl::Milliseconds(200);
    absl::Duration max_backoff = absl::Seconds(5);
  };

  explicit LogWriter(Options options)
      : options_(options), random_(options.seed) {}

  // False when too much is waiting; nothing is then taken.
  bool Add(LogEntry entry);

  // The envelope to send now, if any. The same one again after a failure, when
  // the back-off is over.
  std::optional<Envelope> Next(absl::Time now);

  // What came of the envelope on its way: its offset, or nothing when the
  // answer was lost or a refusal.
  void OnAnswer(std::optional<int64_t> offset, absl::Time now);

  // The envelope whose answer was lost, if any. When a reader meets it in the
  // log, `OnSeenInLog` settles it without another append.
  std::optional<EnvelopeId> unacknowledged() const {
    if (!in_flight_ || awaiting_answer_) return std::nullopt;
    return in_flight_->id;
  }
  void OnSeenInLog(absl::Time now);

  size_t pending_entries() const {
    return queue_.size() + (in_flight_ ? in_flight_->entries.size() : 0);
  }
  bool idle() const { return pending_entries() == 0; }
  int64_t appends() const { return appends_; }
  // Failures since the last success: 0 while the log answers.
  int failures() const { return failures_; }

 private:
  absl::Duration NextBackoff();

  const Options options_;
  std::mt19937_64 random_;
  std::deque<LogEntry> queue_;
  std::optional<Envelope> in_flight_;
  bool awaiting_answer_ = false;
  int64_t sequence_ = 0;
  absl::Time next_send_at_ = absl::InfinitePast();
  int failures_ = 0;
  int64_t appends_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_LOG_WRITER_H_
