// Defines the two clocks that decisions depend on; they are passed as values.
//
// Decision logic never reads a clock itself. Its caller passes a `Now`, so that
// a test can run the same logic on a virtual clock.
//
//   core.OnTick(Now{absl::UnixEpoch() + absl::Seconds(5), wall});

#ifndef KEELBRIDGE_BASE_CLOCK_H_
#define KEELBRIDGE_BASE_CLOCK_H_

#include <chrono>

#include "absl/time/time.h"

namespace keelbridge {

// The steady clock of this machine, as a <chrono> clock. It never goes back,
// and it advances while the machine is suspended. std::chrono::steady_clock
// does not advance during a suspension: an expired lease would still count as
// valid, and the age of outdated data would be too low by the length of the
// suspension.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT: name required by <chrono>.

  static time_point now();

  // Simulates a suspension of the machine for `time`: advances this clock, but
  // not std::chrono::steady_clock. For tests only.
  static void SimulateSuspensionForTest(absl::Duration time);
};

// The readings of both clocks at one moment.
struct Now {
  // Reading of `BootClock`. Only differences between readings are meaningful.
  absl::Time mono;
  // Wall-clock time. It differs from that of other machines by at most the
  // clock error in the settings.
  absl::Time wall;
};

// Reads both clocks of this machine.
Now SystemNow();

// Converts `time` to milliseconds since the Unix epoch, the form used in
// messages.
inline int64_t ToMillis(absl::Time time) { return absl::ToUnixMillis(time); }

}  // namespace keelbridge

#endif  // KEELBRIDGE_BASE_CLOCK_H_
