#include "keelbridge/protocol/record_store.h"

namespace keelbridge {
namespace {

// Size in bytes of the encoded lengths of a key and a value.
constexpr size_t kLengthBytes = 5;

}  // namespace

const char* StoreResultName(StoreResult result) {
  switch (result) {
    case StoreResult::kDone:
      return "done";
    case StoreResult::kConflict:
      return "conflict";
    case StoreResult::kFenced:
      return "fenced";
    case StoreResult::kSequence:
      return "sequence";
    case StoreResult::kRefused:
      return "refused";
    case StoreResult::kInvalid:
      return "invalid";
    case StoreResult::kGone:
      return "gone";
    case StoreResult::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string NewestReply::NextPageKey() const {
  if (!last_key.empty()) return last_key;
  return records.empty() ? "" : records.back().key;
}

size_t EncodedSize(const Record& record) {
  return kLengthBytes + record.key.size() +
         (record.value ? record.value->size() : 0);
}

size_t CountForAppend(const std::vector<Record>& records, size_t begin,
                      size_t max_bytes) {
  size_t count = 0;
  size_t bytes = 0;
  for (size_t i = begin; i < records.size(); ++i) {
    bytes += EncodedSize(records[i]);
    if (count > 0 && bytes > max_bytes) break;
    ++count;
  }
  return count;
}

}  // namespace keelbridge
