// The calls to one worker that have no answer yet.
//
// A worker may be forgotten and found again, or get another id, while calls to
// it are in flight. What the leader knows of it begins anew then, and answers
// to earlier calls must not change that. So an answer counts only if its call
// is still open, and the number of calls in flight is the number of open calls.
// An answer that arrives twice counts once.
//
//   OpenCalls observations;
//   observations.Open(number);  // Unique among all calls of a leader.
//   if (!observations.Close(number)) return;  // The answer does not count.

#ifndef KEELBRIDGE_COORDINATION_OPEN_CALLS_H_
#define KEELBRIDGE_COORDINATION_OPEN_CALLS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "absl/container/inlined_vector.h"

namespace keelbridge {

class OpenCalls {
 public:
  void Open(int64_t call) { calls_.push_back(call); }
  // Returns whether the call was open, so that its answer counts.
  bool Close(int64_t call) {
    const auto found = std::find(calls_.begin(), calls_.end(), call);
    if (found == calls_.end()) return false;
    calls_.erase(found);
    return true;
  }
  // Closes all calls: their answers do not count.
  void CloseAll() { calls_.clear(); }
  size_t size() const { return calls_.size(); }

 private:
  // Most workers have one call in flight: the observation that waits for an
  // end.
  absl::InlinedVector<int64_t, 2> calls_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_OPEN_CALLS_H_
