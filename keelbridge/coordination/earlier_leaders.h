// Since when the leaders before this one give no more orders.
//
// A lease on a worker ends a fixed time after the last order that extended it.
// A new leader asks those before it, again and again, whether they still lead;
// each answer also tells for how long that node has given no order, so that
// leases count from the last order and not from the answer. Pure.
//
//   EarlierLeaders earlier({"10.0.0.2:7580"}, own_last_order);
//   earlier.OnStopped("10.0.0.2:7580", absl::Seconds(4), now);
//   if (earlier.AllStopped()) Use(earlier.LastOrder());

#ifndef KEELBRIDGE_COORDINATION_EARLIER_LEADERS_H_
#define KEELBRIDGE_COORDINATION_EARLIER_LEADERS_H_

#include <string>
#include <vector>

#include "absl/time/time.h"

namespace keelbridge {

class EarlierLeaders {
 public:
  // None: all have stopped.
  EarlierLeaders() = default;
  // `own_last_order`: of this node as an earlier leader, or when its process
  // started.
  EarlierLeaders(std::vector<std::string> addresses, absl::Time own_last_order);

  // The node at `address` answered at `now` that it does not lead, and that it
  // has given no order for `idle`: as an earlier leader, or since its process
  // started.
  void OnStopped(const std::string& address, absl::Duration idle,
                 absl::Time now);

  // Those that have not answered so.
  const std::vector<std::string>& Unconfirmed() const { return unconfirmed_; }
  bool AllStopped() const { return unconfirmed_.empty(); }
  // When the last order of those heard was given, at the latest.
  absl::Time LastOrder() const { return last_order_; }

 private:
  std::vector<std::string> unconfirmed_;
  absl::Time last_order_ = absl::InfinitePast();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_EARLIER_LEADERS_H_
