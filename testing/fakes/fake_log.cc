#include "testing/fakes/fake_log.h"

#include <algorithm>
#include <utility>

namespace keelbridge::testing {

int64_t FakeLog::Append(const std::string& stream, std::string text,
                        absl::Time now) {
  Stream& s = streams_[stream];
  s.records.push_back({std::move(text), now});
  ++appends_;
  return s.first + static_cast<int64_t>(s.records.size()) - 1;
}

void FakeLog::Expire(Stream& stream, absl::Time now) const {
  while (!stream.records.empty() &&
         now - stream.records.front().at > retention_) {
    stream.records.pop_front();
    ++stream.first;
  }
}

LogBatch FakeLog::Read(const std::string& stream, int64_t from,
                       size_t max_records, absl::Time now) {
  Stream& s = streams_[stream];
  Expire(s, now);
  LogBatch batch;
  batch.first = s.first;
  batch.next = s.first + static_cast<int64_t>(s.records.size());
  for (int64_t at = std::max(from, s.first);
       at < batch.next && batch.records.size() < max_records; ++at) {
    batch.records.push_back(
        {at, s.records[static_cast<size_t>(at - s.first)].text});
  }
  return batch;
}

void FakeLog::DropBefore(const std::string& stream, int64_t offset) {
  Stream& s = streams_[stream];
  while (!s.records.empty() && s.first < offset) {
    s.records.pop_front();
    ++s.first;
  }
}

}  // namespace keelbridge::testing
