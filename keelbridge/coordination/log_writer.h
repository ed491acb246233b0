// Batches log entries into few appends and resolves lost answers.
//
// One envelope is in flight at a time. If its answer is lost, the same envelope
// is sent again under the same id until an answer arrives; readers apply the
// first copy and skip the others. This works however often the answer is lost,
// and needs no record that a write did not happen.
//
//   LogWriter::Options options;
//   options.incarnation = incarnation;
//   LogWriter writer(options);
//   if (!writer.Add(entry)) return Overloaded();
//   if (auto envelope = writer.Next(now)) Send(*envelope);  // Then OnAnswer().

#ifndef KEELBRIDGE_COORDINATION_LOG_WRITER_H_
#define KEELBRIDGE_COORDINATION_LOG_WRITER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>

#include "absl/time/time.h"
#include "keelbridge/protocol/log_messages.h"

namespace keelbridge {

// Performs no I/O, starts no threads and reads no clock. Not thread-safe.
class LogWriter {
 public:
  struct Options {
    uint64_t incarnation = 0;
    uint64_t seed = 1;  // Seeds the jitter of the backoff.
    size_t max_queued_entries = 20000;
    size_t max_envelope_entries = 2000;
    size_t max_envelope_bytes = 256 << 10;
    // Minimum time between appends.
    absl::Duration append_interval = absl::Milliseconds(100);
    absl::Duration initial_backoff = absl::Milliseconds(200);
    absl::Duration max_backoff = absl::Seconds(5);
  };

  explicit LogWriter(Options options)
      : options_(options), random_(options.seed) {}

  // Queues an entry. Returns false, without queueing it, if the queue is full.
  bool Add(LogEntry entry);

  // Returns the envelope to send now, if any. After a failure it is the same
  // one again, once the backoff has elapsed.
  std::optional<Envelope> Next(absl::Time now);

  // Records the result of the envelope in flight: its offset, or nullopt if the
  // append was refused or its answer was lost.
  void OnAnswer(std::optional<int64_t> offset, absl::Time now);

  // Returns the id of the envelope whose answer was lost, if any. A reader that
  // finds it in the log calls OnSeenInLog(), which resolves it without another
  // append.
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
  // Returns the number of failures since the last success: 0 while the log
  // answers.
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
