// What a scheduler says to a worker, and the answers.
//
// The worker is the platform's. What is assumed of it, and nothing else:
//   1. It keeps one *hold*: a lease of no resources, for one holder and epoch,
//   which lapses by itself. While
//      a hold stands, commands of any other holder or epoch are refused.
//   2. It refuses a command whose not-after time (wall clock) has passed, and
//   one whose epoch is lower than the
//      highest it has seen in this incarnation.
//   3. It runs a task only while the task's lease stands, and stops it when the
//   lease lapses.
//   4. It keeps the row of an ended task until that is acknowledged.
//   5. A worker that restarts has a new incarnation, runs nothing, and says how
//   long it has been up.
//
// One hold a second renews the leadership, seals the worker, renews every task
// lease on it and tells what ended.
//
//   POST /hold   HoldRequest  -> HoldReply
//   POST /start  StartRequest -> CommandReply
//   POST /stop   StopRequest  -> CommandReply

#ifndef KEELBRIDGE_PROTOCOL_WORKER_MESSAGES_H_
#define KEELBRIDGE_PROTOCOL_WORKER_MESSAGES_H_

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

enum class HoldMode {
  kQuery,    // Only asks.
  kAcquire,  // Takes the hold if it is free or ours, and renews the task
             // leases.
  kRelease,  // Gives the hold back at once; task leases stay.
};

enum class LeaseState { kRunning, kFinished, kFailed, kCheckpointed, kStopped };

// A lease as its worker tells of it.
struct LeaseRow {
  std::string task;
  int64_t attempt = 0;
  Resources resources;
  LeaseState state = LeaseState::kRunning;
  int64_t progress_ms = 0;  // Work that a checkpoint or the finish has saved.
  int64_t started_ms = 0;  // Worker's wall clock, milliseconds since the epoch.
  std::string decision;    // The record of the decision that placed it, as the
                           // scheduler sent it.
};

struct HoldRequest {
  HoldMode mode = HoldMode::kQuery;
  std::string holder;  // Scheduler name and incarnation.
  int64_t epoch = 0;
  absl::Duration hold_ttl;
  absl::Duration lease_ttl;  // Zero: the task leases are not renewed.
  int64_t not_after_ms = 0;  // Wall clock, milliseconds since the epoch.
  uint64_t known_digest =
      0;  // Rows travel only when the worker's digest differs from this.
  std::vector<int64_t>
      acknowledged;  // Attempts whose end is recorded; their rows are dropped.
};

struct HoldReply {
  bool granted = false;
  std::string refusal;  // "held", "stale_epoch" or "late"; empty when granted.
  std::string holder;
  int64_t epoch = 0;  // The highest that this incarnation has seen.
  absl::Duration hold_remaining;
  uint64_t incarnation = 0;
  absl::Duration uptime;  // Since this incarnation started.
  uint64_t digest = 0;
  bool has_rows = false;
  std::vector<LeaseRow> rows;
};

struct StartRequest {
  std::string holder;
  int64_t epoch = 0;
  int64_t not_after_ms = 0;
  absl::Duration lease_ttl;
  std::string task;
  int64_t attempt = 0;
  Resources resources;
  absl::Duration work;  // What the task is expected to take; zero for a
                        // service. Stand-ins run it for so long.
  int64_t progress_ms = 0;
  std::string decision;
  std::string traceparent;
};

enum class StopMode { kThrottle, kCheckpoint, kStop };

struct StopRequest {
  std::string holder;
  int64_t epoch = 0;
  int64_t not_after_ms = 0;
  std::string task;
  int64_t attempt = 0;
  StopMode mode = StopMode::kStop;
};

struct CommandReply {
  bool done = false;  // Accepted. A start: the task runs. A stop: it ends soon,
                      // or has ended.
  bool ended = false;       // Of a stop: the task has ended already.
  int64_t progress_ms = 0;  // Of a stop that has ended: work that was saved.
  std::string refusal;      // "held", "stale_epoch", "late", "capacity",
                            // "duplicate" or "unknown_task".
};

const char* LeaseStateName(LeaseState state);

// The digest of a worker's rows: equal digests mean equal (task, attempt,
// state) sets.
uint64_t LeaseDigest(const std::vector<LeaseRow>& rows);

// Codecs. Reading a malformed value throws `Json::Exception`, which adapters
// turn into an error.
Json::Value ToJson(const LeaseRow& row);
Json::Value ToJson(const HoldRequest& request);
Json::Value ToJson(const HoldReply& reply);
Json::Value ToJson(const StartRequest& request);
Json::Value ToJson(const StopRequest& request);
Json::Value ToJson(const CommandReply& reply);
HoldRequest HoldRequestFromJson(const Json::Value& in);
HoldReply HoldReplyFromJson(const Json::Value& in);
StartRequest StartRequestFromJson(const Json::Value& in);
StopRequest StopRequestFromJson(const Json::Value& in);
CommandReply CommandReplyFromJson(const Json::Value& in);

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_WORKER_MESSAGES_H_
