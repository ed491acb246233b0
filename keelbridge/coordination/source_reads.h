// Decides when to read a source again while earlier reads may hang.
//
// If an answer is lost, its read hangs, and nothing indicates that the source
// answers again. A read may transfer much data, so its timeout is long, and
// reads that are started blindly would share the link until all of them time
// out. Therefore, once a read hangs or has failed, the source is probed with
// requests whose answer is small, whose timeout is short and which are
// repeated. Another read starts once a probe has been answered, even while
// earlier reads hang; the number of concurrent reads is bounded.
//
// SourceReads performs no I/O and reads no clock. Times are monotonic.
//
//   SourceReads reads({});
//   switch (reads.Next(now)) {  // The read or probe counts as started.
//     case SourceReads::Step::kRead: Read(); break;    // Then OnReadEnded().
//     case SourceReads::Step::kProbe: Probe(); break;  // Then OnProbeEnded().
//     case SourceReads::Step::kNone: break;
//   }

#ifndef KEELBRIDGE_COORDINATION_SOURCE_READS_H_
#define KEELBRIDGE_COORDINATION_SOURCE_READS_H_

#include <set>

#include "absl/time/time.h"

namespace keelbridge {

class SourceReads {
 public:
  enum class Step { kNone, kRead, kProbe };
  struct Options {
    // Minimum time between the starts of two reads, and of two probes. It
    // limits the calls during an outage and bounds the delay until its end is
    // noticed.
    absl::Duration min_interval = absl::Milliseconds(500);
    // A read without an answer for this long may hang. A store without faults
    // answers within 50 ms, and a link that delays packets by more than 0.5 s
    // counts as slow.
    absl::Duration may_hang_after = absl::Milliseconds(500);
    // Applies instead of `may_hang_after` to a read that started after an
    // answered probe: it is more likely to transfer much data than to hang.
    // 700 KB take 0.6 s at 10 Mbit/s.
    absl::Duration probed_may_hang_after = absl::Milliseconds(1000);
    // Maximum number of reads in flight. Three reads of 700 KB each fill a link
    // of 10 Mbit/s for 1.8 s.
    size_t max_concurrent_reads = 3;
  };

  explicit SourceReads(Options options) : options_(options) {}

  // Returns what to start now for a reader that waits for an answer.
  Step Next(absl::Time now);
  // Records the end of the read that started at `started`. `answered` is true
  // for any answer and false if the read was abandoned without one.
  void OnReadEnded(absl::Time started, bool answered);
  void OnProbeEnded(bool answered);
  // Lets the next read start without waiting for `min_interval`.
  void ExpediteNextRead() { expedite_next_read_ = true; }

  // True if a read has failed or hangs and no read has been answered since.
  bool suspect() const { return suspect_; }

 private:
  // Returns true if a read is in flight that started after the latest answered
  // one.
  bool AwaitingAnswer() const;

  const Options options_;
  std::set<absl::Time> in_flight_;  // Start times of the reads in flight.
  // Start time of the latest answered read. Reads that started earlier bring no
  // newer data.
  absl::Time latest_answered_ = absl::InfinitePast();
  bool expedite_next_read_ = false;
  bool probing_ = false;
  bool suspect_ = false;
  // A probe was answered since the last read started.
  bool probe_answered_ = false;
  // The last read started because of an answered probe.
  bool read_follows_probe_ = false;
  absl::Time last_read_started_ = absl::InfinitePast();
  absl::Time last_probe_started_ = absl::InfinitePast();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_SOURCE_READS_H_
