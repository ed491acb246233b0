#include "keelbridge/protocol/record_store.h"

namespace keelbridge {

const char* StoreResultName(StoreResult result) {
  switch (result) {
    case StoreResult::kDone:
      return "done";
    case StoreResult::kConflict:
      return "conflict";
    case StoreResult::kFenced:
      return "fenced";
    case StoreResult::kSequence:
      return "sequence";
    case StoreResult::kRefused:
      return "refused";
    case StoreResult::kGone:
      return "gone";
    case StoreResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace keelbridge
