// What stands in the platform's log, and the calls that put it there.
//
// One append carries one envelope with many entries, because the log takes
// about a hundred appends a second for everybody. An envelope has an id; a
// reader that meets the same id twice takes only the first. So a writer whose
// answer was lost sends the same envelope again and nothing happens twice.
//
//   POST /append?stream=S   text of an envelope   -> {"offset": N}
//   GET  /read?stream=S&from=N&most=M             -> {"first": F, "next": N,
//   "records": [{"offset", "text"}]}
//
// `first` is the lowest offset that the log still has; a reader that asks below
// it has met a gap.

#ifndef KEELBRIDGE_PROTOCOL_LOG_MESSAGES_H_
#define KEELBRIDGE_PROTOCOL_LOG_MESSAGES_H_

#include <json/json.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "keelbridge/base/result.h"
#include "keelbridge/protocol/intent.h"

namespace keelbridge {

// Who wrote an envelope: a process run, and a number that grows with each
// envelope of it.
struct EnvelopeId {
  uint64_t incarnation = 0;
  int64_t sequence = 0;
};

// A scheduler leads the zone from here on; entries of lower epochs that come
// after it are void.
struct LeaderEntry {
  int64_t epoch = 0;
  std::string scheduler;
};

// An operator confirmed a plan. It counts only if `base` is still the zone's
// last confirmed plan.
struct PlanEntry {
  std::string plan;
  int64_t base = -1;
  std::vector<Intent> intents;
};

// A task ended for certain and is never started again.
struct TaskEndedEntry {
  int64_t epoch = 0;
  std::string task;
  std::string outcome;  // "finished", "failed" or "unknown" (not repeatable,
                        // and it may have run).
};

// A task that must not be repeated is about to start; only the first of these
// for a task counts.
struct StartClaimEntry {
  int64_t epoch = 0;
  std::string task;
  int64_t attempt = 0;
};

// The start of `attempt` was refused or proved never to have happened; the task
// may start again.
struct StartReleaseEntry {
  int64_t epoch = 0;
  std::string task;
  int64_t attempt = 0;
};

// A piece of the state as of `covers`; a snapshot is complete when all `count`
// pieces are in.
struct SnapshotEntry {
  std::string id;
  int64_t covers = -1;
  int64_t index = 0;
  int64_t count = 0;
  uint64_t checksum = 0;  // Of the whole text.
  std::string text;
};

// A published configuration. It counts only if `base` is the version in force,
// or for a renewal
// (`version` >= 0) if that version is still the newest.
struct ConfigurationEntry {
  int64_t base = -1;
  int64_t version = -1;  // Of a renewal: the offset of the first publication.
                         // -1: a new publication.
  std::string text;
};

// A gateway claims the one run of the request with this key.
struct KeyClaimEntry {
  std::string key;
  uint64_t gateway = 0;  // Incarnation.
};

// The claim's request did not run; the key may be claimed again.
struct KeyReleaseEntry {
  std::string key;
  uint64_t gateway = 0;
};

using LogEntry =
    std::variant<LeaderEntry, PlanEntry, TaskEndedEntry, StartClaimEntry,
                 StartReleaseEntry, SnapshotEntry, ConfigurationEntry,
                 KeyClaimEntry, KeyReleaseEntry>;

struct Envelope {
  EnvelopeId id;
  std::vector<LogEntry> entries;
};

std::string EnvelopeToText(const Envelope& envelope);
Result<Envelope> EnvelopeFromText(const std::string& text);

// One record as a reader got it.
struct LogRecord {
  int64_t offset = 0;
  std::string text;
};

struct LogBatch {
  int64_t first = 0;  // Lowest offset that the log still has.
  int64_t next = 0;   // One past the highest.
  std::vector<LogRecord> records;
};

Json::Value ToJson(const LogBatch& batch);
LogBatch LogBatchFromJson(const Json::Value& in);

// Names of the streams.
constexpr char kConfigurationStream[] = "configuration";
constexpr char kClaimsStream[] = "claims";
inline std::string ZoneStream(const std::string& zone) {
  return "zone-" + zone;
}

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_LOG_MESSAGES_H_
