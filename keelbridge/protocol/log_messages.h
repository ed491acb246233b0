// The records in the platform's log, and the calls that append and read them.
//
// One append carries one envelope with many entries, because the log accepts
// only about a hundred appends a second for all writers. An envelope has an id,
// and a reader applies only the first envelope with a given id. A writer that
// received no answer can therefore send the same envelope again, and no entry
// takes effect twice.
//
//   POST /append?stream=S            text of an envelope -> {"offset": N}
//   GET  /read?stream=S&from=N&most=M
//     -> {"first": F, "next": N, "records": [{"offset", "text"}]}
//
// `first` is the lowest offset that the log still has. A reader that asks for a
// lower offset has missed records.

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

// Identifies an envelope: the incarnation of the process that wrote it, and a
// number that increases with each envelope of that incarnation.
struct EnvelopeId {
  uint64_t incarnation = 0;
  int64_t sequence = 0;
};

// A scheduler leads the zone from this entry on. Later entries of lower epochs
// are void.
struct LeaderEntry {
  int64_t epoch = 0;
  std::string scheduler;
};

// An operator confirmed a plan. The entry is effective only if `base` is still
// the zone's latest confirmed plan.
struct PlanEntry {
  std::string plan;
  int64_t base = -1;
  std::vector<Intent> intents;
};

// A task has definitely ended and is never started again.
struct TaskEndedEntry {
  int64_t epoch = 0;
  std::string task;
  // "finished", "failed", or "unknown" for a non-repeatable task that may have
  // run.
  std::string outcome;
};

// A non-repeatable task is about to start. Only the first such entry for a task
// is effective.
struct StartClaimEntry {
  int64_t epoch = 0;
  std::string task;
  int64_t attempt = 0;
};

// The start of `attempt` was refused or definitely did not happen, so the task
// may start again.
struct StartReleaseEntry {
  int64_t epoch = 0;
  std::string task;
  int64_t attempt = 0;
};

// A piece of a snapshot of the state up to offset `covers`. The snapshot is
// complete once all `count` pieces have been read.
struct SnapshotEntry {
  std::string id;
  int64_t covers = -1;
  int64_t index = 0;
  int64_t count = 0;
  uint64_t checksum = 0;  // Of the text of all pieces.
  std::string text;
};

// A published configuration. A new publication is effective only if `base` is
// the version in force; a renewal (`version` >= 0) only if that version is
// still the newest.
struct ConfigurationEntry {
  int64_t base = -1;
  // For a renewal: the offset of the first publication; -1 for a new
  // publication.
  int64_t version = -1;
  std::string text;
};

// A gateway claims the right to run the request with this key, which may run
// only once.
struct KeyClaimEntry {
  std::string key;
  uint64_t gateway = 0;  // Incarnation.
};

// The request of the claim did not run, so the key may be claimed again.
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

// One record as read from the log.
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
