// The durable record of a leader's most recent append.
//
// A leader gives orders only for a limited time after the last append that the
// store has confirmed. Each append holds this record, so that a later leader
// can tell until when its predecessor may have given orders, even if that one
// can no longer be asked.
//
//   Record record = LeaderAppendRecord({{epoch, now.mono}, leases_over});
//   std::optional<LeaderAppend> last = ParseLeaderAppend(record);

#ifndef KEELBRIDGE_STATE_LEADER_APPEND_H_
#define KEELBRIDGE_STATE_LEADER_APPEND_H_

#include <optional>
#include <string>

#include "absl/time/time.h"
#include "keelbridge/protocol/record_store.h"
#include "keelbridge/state/leader_time.h"

namespace keelbridge {

struct LeaderAppend {
  LeaderTime begun;  // Before the first try of the append.
  // By this time of the same clock, the leases of workers have expired that
  // this leader and the leaders before it have granted, unless a later append
  // was confirmed. Nullopt if the leader does not limit its leases so.
  std::optional<absl::Time> leases_over{};
};

bool IsLeaderAppendKey(const std::string& key);
Record LeaderAppendRecord(const LeaderAppend& append);
// Returns nullopt if `record` is of another kind or cannot be read.
std::optional<LeaderAppend> ParseLeaderAppend(const Record& record);

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_LEADER_APPEND_H_
