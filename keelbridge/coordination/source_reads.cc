#include "keelbridge/coordination/source_reads.h"

#include <algorithm>

namespace keelbridge {

bool SourceReads::Waiting() const {
  return !under_way_.empty() && *under_way_.rbegin() > answered_;
}

SourceReads::Step SourceReads::Next(absl::Time now) {
  const absl::Duration since_read = now - read_begun_;
  const absl::Duration hangs_after =
      read_probed_ ? options_.probed_may_hang_after : options_.may_hang_after;
  if (Waiting() && since_read >= hangs_after) doubtful_ = true;
  const bool wanted = doubtful_ ? answers_again_ : !Waiting();
  const bool may_read = under_way_.size() < options_.most_reads &&
                        (hurry_ || since_read >= options_.again);
  if (wanted && may_read) {
    read_probed_ = answers_again_;
    // Until the new read hangs or fails there is no reason for doubt.
    doubtful_ = false;
    answers_again_ = false;
    hurry_ = false;
    read_begun_ = now;
    under_way_.insert(now);
    return Step::kRead;
  }
  const bool may_probe =
      doubtful_ && !probing_ && now - probe_begun_ >= options_.again;
  if (!may_probe) return Step::kNone;
  probing_ = true;
  probe_begun_ = now;
  return Step::kProbe;
}

void SourceReads::OnReadEnded(absl::Time begun, bool answered) {
  under_way_.erase(begun);
  if (!answered) {
    // Only the latest read tells about the source now.
    doubtful_ = doubtful_ || (begun == read_begun_ && begun > answered_);
    return;
  }
  answered_ = std::max(answered_, begun);
  doubtful_ = false;
  answers_again_ = false;
}

void SourceReads::OnProbeEnded(bool answered) {
  probing_ = false;
  if (answered) answers_again_ = true;
}

}  // namespace keelbridge
