// An in-memory fake of the platform's log service: streams of records with
// offsets that expire after a retention time.

#ifndef KEELBRIDGE_TESTING_FAKES_FAKE_LOG_H_
#define KEELBRIDGE_TESTING_FAKES_FAKE_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "absl/time/time.h"
#include "keelbridge/protocol/log_messages.h"

namespace keelbridge::testing {

// Not thread-safe.
class FakeLog {
 public:
  explicit FakeLog(absl::Duration retention = absl::InfiniteDuration())
      : retention_(retention) {}

  // Returns the offset of the appended record.
  int64_t Append(const std::string& stream, std::string text, absl::Time now);
  // Drops expired records and returns at most `max_records` from offset `from`,
  // or from the oldest retained offset if that is later.
  LogBatch Read(const std::string& stream, int64_t from, size_t max_records,
                absl::Time now);
  // Drops all records before `offset`, regardless of their age.
  void DropBefore(const std::string& stream, int64_t offset);
  // Number of `Append` calls so far.
  int64_t appends() const { return appends_; }

 private:
  struct Record {
    std::string text;
    absl::Time at;
  };
  struct Stream {
    int64_t first = 0;  // Offset of the oldest retained record.
    std::deque<Record> records;
  };

  void Expire(Stream& stream, absl::Time now) const;

  const absl::Duration retention_;
  std::map<std::string, Stream> streams_;
  int64_t appends_ = 0;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_FAKE_LOG_H_
