// The requests of a scheduler to a worker, and the replies.
//
// The worker belongs to the platform. Only the following is assumed of it:
//   1. It has one *hold*, a leadership lease: it covers no resources, belongs
//      to one holder and epoch, and expires by itself. While the hold is
//      active, commands of any other holder or epoch are refused.
//   2. It refuses a command whose not-after time (wall clock) has passed, and
//      one whose epoch is lower than the highest epoch that it has seen in this
//      incarnation.
//   3. It runs a task only while the lease of the task is valid, and stops the
//      task when the lease expires.
//   4. It keeps the row of an ended task until the end is acknowledged.
//   5. A worker that restarts has a new incarnation, runs nothing, and reports
//      its uptime.
//
// One hold request per second renews the leadership, reconciles the worker,
// renews every task lease on it and reports the tasks that ended.
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
  kQuery,  // Only reads the state of the hold.
  // Acquires the hold if it is free or belongs to the caller, and renews the
  // task leases.
  kAcquire,
  kRelease,  // Releases the hold immediately; task leases stay.
};

enum class LeaseState { kRunning, kFinished, kFailed, kCheckpointed, kStopped };

// A task lease as reported by its worker.
struct LeaseRow {
  std::string task;
  int64_t attempt = 0;
  Resources resources;
  LeaseState state = LeaseState::kRunning;
  // Work saved by a checkpoint or by finishing the task.
  int64_t progress_ms = 0;
  int64_t started_ms = 0;  // Worker's wall clock, milliseconds since the epoch.
  // The record of the placement decision, as sent by the scheduler.
  std::string decision;
};

struct HoldRequest {
  HoldMode mode = HoldMode::kQuery;
  std::string holder;  // Scheduler name and incarnation.
  int64_t epoch = 0;
  absl::Duration hold_ttl;
  absl::Duration lease_ttl;  // Zero: the task leases are not renewed.
  int64_t not_after_ms = 0;  // Wall clock, milliseconds since the epoch.
  // The worker sends its rows only if their digest differs from this one.
  uint64_t known_digest = 0;
  // Attempts whose end is recorded. The worker drops their rows.
  std::vector<int64_t> acknowledged;
};

struct HoldReply {
  bool granted = false;
  std::string refusal;  // "held", "stale_epoch" or "late"; empty if granted.
  std::string holder;
  int64_t epoch = 0;  // The highest epoch seen by this incarnation.
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
  // The expected duration of the task; zero for a service. Simulated workers
  // run the task for this long.
  absl::Duration work;
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
  // The command was accepted. For a start: the task runs. For a stop: the task
  // has ended or will end soon.
  bool done = false;
  bool ended = false;       // For a stop: the task has already ended.
  int64_t progress_ms = 0;  // For a stop of an ended task: the saved work.
  // "held", "stale_epoch", "late", "capacity", "duplicate" or "unknown_task".
  std::string refusal;
};

const char* LeaseStateName(LeaseState state);

// Returns a digest of a worker's rows. Equal digests mean equal sets of (task,
// attempt, state).
uint64_t LeaseDigest(const std::vector<LeaseRow>& rows);

// JSON encoding. Reading a malformed value throws `Json::Exception`, which the
// callers turn into an error.
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
