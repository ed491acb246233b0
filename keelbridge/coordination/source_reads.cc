#include "keelbridge/coordination/source_reads.h"

#include <algorithm>

namespace keelbridge {

bool SourceReads::AwaitingAnswer() const {
  return !in_flight_.empty() && *in_flight_.rbegin() > latest_answered_;
}

SourceReads::Step SourceReads::Next(absl::Time now) {
  const absl::Duration since_read = now - last_read_started_;
  const absl::Duration hangs_after = read_follows_probe_
                                         ? options_.probed_may_hang_after
                                         : options_.may_hang_after;
  if (AwaitingAnswer() && since_read >= hangs_after) suspect_ = true;
  const bool wanted = suspect_ ? probe_answered_ : !AwaitingAnswer();
  const bool may_read =
      in_flight_.size() < options_.max_concurrent_reads &&
      (expedite_next_read_ || since_read >= options_.min_interval);
  if (wanted && may_read) {
    read_follows_probe_ = probe_answered_;
    // The source is not suspect until the new read hangs or fails.
    suspect_ = false;
    probe_answered_ = false;
    expedite_next_read_ = false;
    last_read_started_ = now;
    in_flight_.insert(now);
    return Step::kRead;
  }
  const bool may_probe = suspect_ && !probing_ &&
                         now - last_probe_started_ >= options_.min_interval;
  if (!may_probe) return Step::kNone;
  probing_ = true;
  last_probe_started_ = now;
  return Step::kProbe;
}

void SourceReads::OnReadEnded(absl::Time started, bool answered) {
  in_flight_.erase(started);
  if (!answered) {
    // Only the latest read indicates the current state of the source.
    suspect_ = suspect_ ||
               (started == last_read_started_ && started > latest_answered_);
    return;
  }
  latest_answered_ = std::max(latest_answered_, started);
  suspect_ = false;
  probe_answered_ = false;
}

void SourceReads::OnProbeEnded(bool answered) {
  probing_ = false;
  if (answered) probe_answered_ = true;
}

}  // namespace keelbridge
