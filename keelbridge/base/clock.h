// The two clocks that decisions read, passed in as values.
//
// Decision logic never asks for the time. Whoever drives it passes a `Now`, so
// that a test can drive the same logic on a virtual clock.
//
//   core.OnTick(Now{absl::UnixEpoch() + absl::Seconds(5), wall});

#ifndef KEELBRIDGE_BASE_CLOCK_H_
#define KEELBRIDGE_BASE_CLOCK_H_

#include <chrono>

#include "absl/time/time.h"

namespace keelbridge {

// The steady clock of this machine, in the form of <chrono>: never goes back,
// and goes on while the machine is suspended. std::chrono::steady_clock stands
// still then: a lease that had passed, or an age beyond its bound, would count
// as too young by all that time.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT: <chrono> names it so.

  static time_point now();

  // As if the machine were suspended for `time`: what std::chrono::steady_clock
  // tells stays as it is. For tests.
  static void SimulateSuspensionForTest(absl::Duration time);
};

struct Now {
  // Of `BootClock`; only differences mean something.
  absl::Time mono;
  // What other machines call the time, within the bound that the settings name.
  absl::Time wall;
};

// Reads both clocks of this machine.
Now SystemNow();

// Milliseconds since the epoch of `time`, as messages carry them.
inline int64_t ToMillis(absl::Time time) { return absl::ToUnixMillis(time); }

}  // namespace keelbridge

#endif  // KEELBRIDGE_BASE_CLOCK_H_
