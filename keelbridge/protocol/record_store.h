// The store in which records last, as the product sees it.
//
// A stream holds records in the order of their offsets. For a stream with keys
// the newest record of each key is kept for good; a record without a value
// drops its key. A writer may be fenced: once an epoch was set for a writer's
// name, appends of a lower epoch are refused, also those that arrive late.

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
  kControl,        // Who leads. Written by this system.
  kJobs,           // Descriptions and progress of jobs. Written by this system.
  kConfiguration,  // Written by the operator.
  kWorkers,        // Written by the workers.
};

struct Record {
  std::string key;
  std::optional<std::string> value;  // None: drops the key.
  int64_t offset = -1;
};

// What a record takes on its way, in bytes: key, value, and their lengths.
size_t EncodedSize(const Record& record);
// How many of `records` from `begin` on go into one append of at most
// `max_bytes`; one at least.
size_t CountForAppend(const std::vector<Record>& records, size_t begin,
                      size_t max_bytes);

// The fenced writer of an append.
struct WriterEpoch {
  std::string writer;
  int64_t epoch = 0;
  int64_t sequence = 0;  // Rises by one with each append of this epoch.
};

struct AppendOrder {
  Stream stream = Stream::kJobs;
  std::vector<Record> records;          // None: only sets the epoch.
  std::optional<int64_t> expected_end;  // Refused unless the stream ends so.
  std::optional<WriterEpoch> writer;
};

enum class StoreResult {
  kDone,
  kConflict,  // The stream does not end where expected.
  kFenced,    // A higher epoch was set.
  kSequence,  // The sequence is not the next one.
  kRefused,   // Nothing was done: overloaded, down, or full.
  kGone,      // The records asked for are no longer kept.
  kUnknown,   // No answer: an append may have been done, or may be later.
};

const char* StoreResultName(StoreResult result);

struct AppendReply {
  StoreResult result = StoreResult::kUnknown;
  int64_t end = -1;  // Of the stream, once the records were in it.
  std::string message;
};

struct ReadReply {
  StoreResult result = StoreResult::kUnknown;
  std::vector<Record> records;
  int64_t end = -1;    // Of the stream.
  int64_t first = -1;  // The oldest offset that is kept.
  std::string message;
};

// An item of a page that cannot be read; the others of the page hold.
struct UnreadableItem {
  std::string key;  // Empty: it cannot be read either.
  std::string what;
};

struct NewestReply {
  StoreResult result = StoreResult::kUnknown;
  std::vector<Record> records;
  std::vector<UnreadableItem> unreadable;
  // Of the last item of the page, if that is an unreadable one whose key can be
  // read.
  std::string last_key;
  bool more = false;
  int64_t end = -1;
  std::string message;

  // After which key the next page begins; empty: no item of this one tells.
  std::string NextPageKey() const;
};

// How long a reader waits for an answer. A plain duration is the whole time.
struct ReadTimeout {
  // NOLINTNEXTLINE(google-explicit-constructor): most calls name one duration.
  ReadTimeout(absl::Duration total,
              absl::Duration progress_timeout = absl::InfiniteDuration())
      : total(total), progress_timeout(progress_timeout) {}

  absl::Duration total;
  // Without a byte for this long the read is given up; one that goes on
  // arriving may take all of `total`. Counted beside the time in which the
  // store itself waits for a record.
  absl::Duration progress_timeout;
};

// All calls and callbacks on the loop's thread.
class RecordStore {
 public:
  virtual ~RecordStore() = default;
  virtual void Append(const AppendOrder& order, absl::Duration timeout,
                      std::function<void(AppendReply)> done) = 0;
  // Records from `from` on; waits up to `wait` for the first one.
  virtual void Read(Stream stream, int64_t from, absl::Duration wait,
                    ReadTimeout timeout,
                    std::function<void(ReadReply)> done) = 0;
  // The newest record of each key after `after_key`, a page at a time.
  virtual void Newest(Stream stream, const std::string& after_key,
                      ReadTimeout timeout,
                      std::function<void(NewestReply)> done) = 0;
};

// Carries one request to the store; opaque, so that a peer can do it for a node
// that has lost the store.
class StoreTransport {
 public:
  virtual ~StoreTransport() = default;
  virtual void Carry(const HttpRequest& request, absl::Duration timeout,
                     std::function<void(HttpOutcome)> done) = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_RECORD_STORE_H_
