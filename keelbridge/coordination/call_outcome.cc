#include "keelbridge/coordination/call_outcome.h"

namespace keelbridge {

bool CallOutcome::EndTry(TryResult end) {
  try_in_flight_ = false;
  switch (end) {
    case TryResult::kNothingSent:
    case TryResult::kNotLeader:
      return false;
    case TryResult::kNoAnswer:
    case TryResult::kTermEnded:
      earlier_try_may_run_ = true;
      return false;
    case TryResult::kRejected:
      // The leader rejected this try, but an earlier one may have been
      // accepted.
      return !earlier_try_may_run_;
    case TryResult::kAnswered:
      return true;
  }
  return false;
}

}  // namespace keelbridge
