// The interface of the durable record store.
//
// A stream holds records in the order of their offsets. In a stream with keys,
// the newest record of each key is kept permanently, and a record without a
// value drops its key. A writer may be fenced: once an epoch was set for a
// writer's name, appends of a lower epoch are refused, even if they arrive
// late.

#ifndef KEELBRIDGE_PROTOCOL_RECORD_STORE_H_
#define KEELBRIDGE_PROTOCOL_RECORD_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/transport/http_client.h"

namespace keelbridge {

enum class Stream {
  kControl,        // The current leader. Written by this system.
  kJobs,           // Descriptions and progress of jobs. Written by this system.
  kConfiguration,  // Written by the operator.
  kWorkers,        // Written by the workers.
};

struct Record {
  std::string key;
  std::optional<std::string> value;  // nullopt: drops the key.
  int64_t offset = -1;
};

// The size of an encoded record in bytes: key, value, and their lengths.
size_t EncodedSize(const Record& record);
// Returns how many of `records`, starting at `begin`, fit into one append of at
// most `max_bytes`; at least one if any remain.
size_t CountForAppend(const std::vector<Record>& records, size_t begin,
                      size_t max_bytes);

// The fenced writer of an append.
struct WriterEpoch {
  std::string writer;
  int64_t epoch = 0;
  int64_t sequence = 0;  // Increases by one with each append of the epoch.
};

struct AppendOrder {
  Stream stream = Stream::kJobs;
  std::vector<Record> records;  // If empty, the append only sets the epoch.
  // If set, the append is refused unless the stream ends at this offset.
  std::optional<int64_t> expected_end;
  std::optional<WriterEpoch> writer;
};

enum class StoreResult {
  kDone,
  kConflict,  // The stream does not end at the expected offset.
  kFenced,    // A higher epoch was set.
  kSequence,  // The sequence is not the next one.
  kRefused,   // Not executed: the store is overloaded, down, or full.
  kInvalid,   // Not executed, and the same call never will be.
  kGone,      // The records asked for are no longer kept.
  kUnknown,   // No answer: an append may have been executed, or may be later.
};

const char* StoreResultName(StoreResult result);

struct AppendReply {
  StoreResult result = StoreResult::kUnknown;
  int64_t end = -1;  // End of the stream after the append.
  std::string message;
};

struct ReadReply {
  StoreResult result = StoreResult::kUnknown;
  std::vector<Record> records;
  int64_t end = -1;    // End of the stream.
  int64_t first = -1;  // The oldest offset that is kept.
  std::string message;
};

// An item of a page that cannot be read. The other items of the page are valid.
struct UnreadableItem {
  std::string key;  // Empty if the key cannot be read either.
  std::string reason;
};

struct NewestReply {
  StoreResult result = StoreResult::kUnknown;
  std::vector<Record> records;
  std::vector<UnreadableItem> unreadable;
  // Key of the last item of the page, if that item is unreadable but its key
  // can be read.
  std::string last_key;
  bool more = false;
  int64_t end = -1;
  std::string message;

  // Returns the key after which the next page begins, or "" if no item of this
  // page has a readable key.
  std::string NextPageKey() const;
};

// How long a reader waits for an answer. A single duration is the total time.
struct ReadTimeout {
  // NOLINTNEXTLINE(google-explicit-constructor): most calls name one duration.
  ReadTimeout(absl::Duration total,
              absl::Duration progress_timeout = absl::InfiniteDuration())
      : total(total), progress_timeout(progress_timeout) {}

  absl::Duration total;
  // The read is abandoned if no byte arrives for this long. An answer that
  // keeps arriving may take all of `total`. This does not include the time for
  // which the store itself waits for a record.
  absl::Duration progress_timeout;
};

// All calls and callbacks are on the thread of the event loop.
class RecordStore {
 public:
  virtual ~RecordStore() = default;
  virtual void Append(const AppendOrder& order, absl::Duration timeout,
                      std::function<void(AppendReply)> done) = 0;
  // Reads records from offset `from` on. Waits up to `wait` for the first one.
  virtual void Read(Stream stream, int64_t from, absl::Duration wait,
                    ReadTimeout timeout,
                    std::function<void(ReadReply)> done) = 0;
  // Reads one page of the newest records of the keys after `after_key`.
  virtual void Newest(Stream stream, const std::string& after_key,
                      ReadTimeout timeout,
                      std::function<void(NewestReply)> done) = 0;
};

// Sends one request to the store. The request is opaque, so that a peer can
// send it for a node that cannot reach the store.
class StoreTransport {
 public:
  virtual ~StoreTransport() = default;
  virtual void Send(const HttpRequest& request, absl::Duration timeout,
                    std::function<void(HttpOutcome)> done) = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_RECORD_STORE_H_
