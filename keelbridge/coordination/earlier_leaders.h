// Tracks whether the earlier leaders have stopped, and when the last of their
// orders was sent.
//
// A lease on a worker expires a fixed time after the last order that extended
// it. A new leader asks each earlier leader repeatedly whether it still leads.
// The answer also reports for how long that node has sent no order, so that
// leases are counted from the last order instead of from the answer.
//
// EarlierLeaders performs no I/O and reads no clock.
//
//   EarlierLeaders earlier({"10.0.0.2:7580"}, own_last_order);
//   earlier.OnStopped("10.0.0.2:7580", absl::Seconds(4), now);
//   if (earlier.AllStopped()) Use(earlier.LastOrderTime());

#ifndef KEELBRIDGE_COORDINATION_EARLIER_LEADERS_H_
#define KEELBRIDGE_COORDINATION_EARLIER_LEADERS_H_

#include <string>
#include <vector>

#include "absl/time/time.h"

namespace keelbridge {

class EarlierLeaders {
 public:
  // Constructs an empty set of earlier leaders: AllStopped() is true.
  EarlierLeaders() = default;
  // `own_last_order` is the time of the last order that this node sent as an
  // earlier leader, or the time its process started if it sent none.
  EarlierLeaders(std::vector<std::string> addresses, absl::Time own_last_order);

  // Records that the node at `address` answered at `now` that it does not lead
  // and that it has sent no order for `idle`, either since its last order as a
  // leader or since its process started.
  void OnStopped(const std::string& address, absl::Duration idle,
                 absl::Time now);

  // Returns the addresses of the earlier leaders that have not confirmed that
  // they stopped.
  const std::vector<std::string>& Unconfirmed() const { return unconfirmed_; }
  bool AllStopped() const { return unconfirmed_.empty(); }
  // Returns the latest time at which an earlier leader that has answered, or
  // this node, may have sent its last order.
  absl::Time LastOrderTime() const { return last_order_; }

 private:
  std::vector<std::string> unconfirmed_;
  absl::Time last_order_ = absl::InfinitePast();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_EARLIER_LEADERS_H_
