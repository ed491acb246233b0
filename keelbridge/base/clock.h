// The two clocks that decisions read, passed in as values.
//
// Decision logic never asks for the time. Whoever drives it passes a `Now`, so
// that a test can drive the same logic on a virtual clock.
//
//   core.OnTick(Now{absl::UnixEpoch() + absl::Seconds(5), wall});

#ifndef KEELBRIDGE_BASE_CLOCK_H_
#define KEELBRIDGE_BASE_CLOCK_H_

#include "absl/time/time.h"

namespace keelbridge {

struct Now {
  // Never goes back and never jumps; only differences mean something.
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
