// The calls that concern one worker and have no answer yet.
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
//
// A call may claim an amount, for example of capacity, for as long as it is
// open.

#ifndef KEELBRIDGE_COORDINATION_OPEN_CALLS_H_
#define KEELBRIDGE_COORDINATION_OPEN_CALLS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "absl/container/inlined_vector.h"

namespace keelbridge {

class OpenCalls {
 public:
  void Open(int64_t call, int32_t amount = 0) {
    calls_.push_back({call, amount});
    claimed_ += amount;
  }
  // Returns whether the call was open, so that its answer counts.
  bool Close(int64_t call) {
    const auto found =
        std::find_if(calls_.begin(), calls_.end(),
                     [call](const Call& one) { return one.number == call; });
    if (found == calls_.end()) return false;
    claimed_ -= found->amount;
    calls_.erase(found);
    return true;
  }
  // Closes all calls: their answers do not count.
  void CloseAll() {
    calls_.clear();
    claimed_ = 0;
  }
  size_t size() const { return calls_.size(); }
  // Returns what the open calls claim in total.
  int32_t claimed() const { return claimed_; }

 private:
  struct Call {
    int64_t number;
    int32_t amount;
  };

  // Most workers have one call in flight: the observation that waits for an
  // end.
  absl::InlinedVector<Call, 2> calls_;
  int32_t claimed_ = 0;  // The sum of the amounts in `calls_`.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_OPEN_CALLS_H_
