// A time of a leader's steady clock, as durable records name it.
//
// The clocks of two hosts have no common origin: `LeaderClock` maps such a time
// to that of another host.
//
//   LeaderTime over{epoch, now.mono + lease};
//   value["over_ms"] = Json::Int64(CeilToMillis(over.at));

#ifndef KEELBRIDGE_STATE_LEADER_TIME_H_
#define KEELBRIDGE_STATE_LEADER_TIME_H_

#include <cstdint>

#include "absl/time/time.h"

namespace keelbridge {

struct LeaderTime {
  int64_t epoch = 0;  // Of the leader on whose clock the time is.
  absl::Time at;
};

// Returns the time in milliseconds, rounded up so that what it bounds does not
// seem to end earlier.
inline int64_t CeilToMillis(absl::Time time) {
  return absl::ToInt64Milliseconds(
      absl::Ceil(time - absl::UnixEpoch(), absl::Milliseconds(1)));
}

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_LEADER_TIME_H_
