#include "keelbridge/coordination/call_outcome.h"

namespace keelbridge {

bool CallFate::EndTry(TryEnd end) {
  under_way_ = false;
  switch (end) {
    case TryEnd::kNothingSent:
    case TryEnd::kNotLed:
      return false;
    case TryEnd::kNoAnswer:
    case TryEnd::kTermEnded:
      uncertain_ = true;
      return false;
    case TryEnd::kNotTaken:
      // It is this try that was not taken; an earlier one may have been.
      return !uncertain_;
    case TryEnd::kAnswered:
      return true;
  }
  return false;
}

}  // namespace keelbridge
