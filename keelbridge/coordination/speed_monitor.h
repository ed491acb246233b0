// Detects that a node runs much slower than it can, for example because its
// machine is throttled or shared.
//
// A slowed leader decides and answers too late for the whole site, and its
// heartbeats may still be answered in time, so that no other node replaces it.
// A backlog alone must not look like a slowed machine: moving the leadership
// would not help then. So the node times a fixed amount of work that does not
// depend on its load, and compares it with the fastest time that it has seen.
//
// The class performs no work itself and reads no clock.
//
//   SpeedMonitor speed({});
//   speed.OnProbe(TimeFixedWork());  // Periodically.
//   double capacity = configured_capacity * speed.RelativeSpeed();

#ifndef KEELBRIDGE_COORDINATION_SPEED_MONITOR_H_
#define KEELBRIDGE_COORDINATION_SPEED_MONITOR_H_

#include <cstddef>
#include <deque>

#include "absl/time/time.h"

namespace keelbridge {

class SpeedMonitor {
 public:
  struct Options {
    // The node is slowed when this many probes in a row took at least
    // `slow_factor` times as long as the fastest probe. A single probe may be
    // interrupted.
    size_t probes = 3;
    double slow_factor = 3;
    // Shorter probes are errors of the clock and ignored: no processor does the
    // work in this time, and one such probe would make all others look slow.
    absl::Duration min_probe = absl::Microseconds(20);
  };

  explicit SpeedMonitor(Options options) : options_(options) {}

  // Records how long the fixed work took.
  void OnProbe(absl::Duration took);
  // Returns whether the node is slowed.
  bool slowed() const { return RelativeSpeed() < 1; }
  // Returns the node's speed relative to its fastest, from 0 to 1. Returns 1
  // unless the node is slowed.
  double RelativeSpeed() const;

 private:
  const Options options_;
  absl::Duration fastest_ = absl::InfiniteDuration();
  std::deque<absl::Duration> recent_;  // At most `options_.probes`.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_SPEED_MONITOR_H_
