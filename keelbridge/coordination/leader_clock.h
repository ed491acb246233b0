// Maps times of an earlier leader's steady clock to the clock of this node.
//
// Steady clocks of two hosts have no common origin, and wall clocks may jump.
// So a leader says in its answers to heartbeats what its steady clock shows,
// and a record that it leaves behind can name a time of that clock. Another
// node can tell later by when that time had passed.
//
// LeaderClock performs no I/O and reads no clock.
//
//   LeaderClock clock;
//   clock.OnReading(shown_by_leader, now);  // From an answer received now.
//   absl::Time over_by = clock.LatestLocalTime(lease_over);

#ifndef KEELBRIDGE_COORDINATION_LEADER_CLOCK_H_
#define KEELBRIDGE_COORDINATION_LEADER_CLOCK_H_

#include <optional>

#include "absl/time/time.h"

namespace keelbridge {

// The steady clock of one process. Its times are unrelated to those of this
// node's clock, which the code calls local.
class LeaderClock {
 public:
  // Records that the clock showed `shown` or a later time at the time `local`.
  // A reading replaces earlier ones.
  void OnReading(absl::Time shown, absl::Time local);

  // Returns a time by which the clock has shown `shown`, unless its host was
  // switched off first. The infinite future if the clock was never read.
  absl::Time LatestLocalTime(absl::Time shown) const;

  // Returns a time that the clock shows or has passed at `local`, or nullopt if
  // the clock was never read or the last reading is later than `local`.
  std::optional<absl::Time> ShownAt(absl::Time local) const;

 private:
  struct Reading {
    absl::Time shown;
    absl::Time local;
  };
  std::optional<Reading> reading_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_LEADER_CLOCK_H_
