// When to read a source anew while reads of it may hang.
//
// An answer that was swallowed leaves its read hanging, and nothing tells that
// the source answers again. A read may carry much, so that its time-out is long
// and reads that are begun blindly would share the link and all be too late.
// So once a read hangs or has failed, the source is probed with questions whose
// answer is small, given up soon and asked again; a further read begins when a
// probe was answered, beside those that still hang, which are bounded.
//
// Pure: the time comes in. Times are of the steady clock.
//
//   SourceReads reads({});
//   switch (reads.Next(now)) {       // The read or probe counts as begun.
//     case SourceReads::Step::kRead: Read(); break;     // -> OnReadEnded
//     case SourceReads::Step::kProbe: Probe(); break;   // -> OnProbeEnded
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
    // Between the beginnings of two reads, and of two probes: an outage costs
    // few calls, and its end is noticed this soon at the latest.
    absl::Duration min_interval = absl::Milliseconds(500);
    // A read without an answer for so long may hang. A store without faults
    // answers within 50 ms; a link whose packets wait for over 0.5 s counts as
    // slowed.
    absl::Duration may_hang_after = absl::Milliseconds(500);
    // The same for a read that began since a probe was answered: that it brings
    // much is likelier than that it hangs. 700 KB take 0.6 s at 10 Mbit/s.
    absl::Duration probed_may_hang_after = absl::Milliseconds(1000);
    // Under way at once. Three that each bring 700 KB fill a link of 10 Mbit/s
    // for 1.8 s.
    size_t max_concurrent_reads = 3;
  };

  explicit SourceReads(Options options) : options_(options) {}

  // What to begin, for a reader that wants an answer.
  Step Next(absl::Time now);
  // The read that began at `begun` was answered, whatever the answer; or it was
  // not, and was given up.
  void OnReadEnded(absl::Time started, bool answered);
  void OnProbeEnded(bool answered);
  // The next read need not wait for `again`.
  void ExpediteNextRead() { expedite_next_read_ = true; }

  // A read failed, or hangs, and none was answered since.
  bool suspect() const { return suspect_; }

 private:
  // A read is under way that may still tell something new.
  bool AwaitingAnswer() const;

  const Options options_;
  std::set<absl::Time> in_flight_;  // Reads, by their beginnings.
  // The beginning of the latest read that was answered: those from before it
  // tell nothing new.
  absl::Time latest_answered_ = absl::InfinitePast();
  bool expedite_next_read_ = false;
  bool probing_ = false;
  bool suspect_ = false;
  bool probe_answered_ = false;  // A probe was answered since the last read.
  bool read_follows_probe_ = false;  // The last read began for that reason.
  absl::Time last_read_started_ = absl::InfinitePast();
  absl::Time last_probe_started_ = absl::InfinitePast();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_SOURCE_READS_H_
