#include "keelbridge/protocol/site_worker.h"

namespace keelbridge {

const char* OrderResultName(OrderResult result) {
  switch (result) {
    case OrderResult::kDone:
      return "done";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kOldRun:
      return "old_run";
    case OrderResult::kLate:
      return "late";
    case OrderResult::kNoCapacity:
      return "no_room";
    case OrderResult::kBadTicket:
      return "bad_ticket";
    case OrderResult::kOtherIncarnation:
      return "other_life";
    case OrderResult::kUnhealthy:
      return "unhealthy";
    case OrderResult::kInvalid:
      return "invalid";
    case OrderResult::kNotSent:
      return "not_sent";
    case OrderResult::kUnknown:
      return "unknown";
    case OrderResult::kNotAttempted:
      return "not_attempted";
  }
  return "unknown";
}

const char* RunEndName(RunEnd end) {
  switch (end) {
    case RunEnd::kDone:
      return "done";
    case RunEnd::kFailed:
      return "failed";
    case RunEnd::kStopped:
      return "stopped";
    case RunEnd::kLapsed:
      return "lapsed";
    case RunEnd::kBroken:
      return "broken";
    case RunEnd::kAlone:
      return "alone";
  }
  return "failed";
}

}  // namespace keelbridge
