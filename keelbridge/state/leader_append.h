// The durable record of a leader's most recent append.
//
// A leader gives orders only for a limited time after the last append that the
// store has confirmed. Each append holds this record, so that a later leader
// can tell until when its predecessor may have given orders, even if that one
// can no longer be asked.
//
//   Record record = LeaderAppendRecord({epoch, now.mono});
//   std::optional<LeaderTime> last = ParseLeaderAppend(record);

#ifndef KEELBRIDGE_STATE_LEADER_APPEND_H_
#define KEELBRIDGE_STATE_LEADER_APPEND_H_

#include <optional>
#include <string>

#include "keelbridge/protocol/record_store.h"
#include "keelbridge/state/leader_time.h"

namespace keelbridge {

bool IsLeaderAppendKey(const std::string& key);
// `appended` is the time before the first try of the append.
Record LeaderAppendRecord(const LeaderTime& appended);
// Returns nullopt if `record` is of another kind or cannot be read.
std::optional<LeaderTime> ParseLeaderAppend(const Record& record);

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_LEADER_APPEND_H_
