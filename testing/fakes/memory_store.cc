#include "testing/fakes/memory_store.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "keelbridge/transport/event_timer.h"

namespace keelbridge::testing {

AppendReply MemoryStore::Append(const AppendOrder& order) {
  Log& log = logs_[order.stream];
  AppendReply reply;
  reply.end = static_cast<int64_t>(log.records.size());
  if (order.expected_end && *order.expected_end != reply.end) {
    reply.result = StoreResult::kConflict;
    return reply;
  }
  reply.result = StoreResult::kDone;
  if (order.writer) {
    Writer& writer = log.writers[order.writer->writer];
    if (order.writer->epoch < writer.epoch) {
      reply.result = StoreResult::kFenced;
      return reply;
    }
    if (order.writer->epoch > writer.epoch)
      writer = Writer{order.writer->epoch, -1};
    if (!order.records.empty()) {
      if (order.writer->sequence <= writer.last_sequence)
        return reply;  // Duplicate append.
      writer.last_sequence = order.writer->sequence;
    }
  }
  for (Record record : order.records) {
    record.offset = reply.end++;
    log.records.push_back(record);
    if (record.value)
      log.newest[record.key] = record;
    else
      log.newest.erase(record.key);
  }
  return reply;
}

ReadReply MemoryStore::Read(Stream stream, int64_t from) const {
  ReadReply reply;
  reply.result = StoreResult::kDone;
  reply.first = 0;
  reply.end = 0;
  const auto log = logs_.find(stream);
  if (log == logs_.end()) return reply;
  const std::vector<Record>& records = log->second.records;
  reply.end = static_cast<int64_t>(records.size());
  for (size_t i = static_cast<size_t>(from); i < records.size(); ++i)
    reply.records.push_back(records[i]);
  return reply;
}

NewestReply MemoryStore::Newest(Stream stream,
                                const std::string& after_key) const {
  NewestReply reply;
  reply.result = StoreResult::kDone;
  reply.end = 0;
  const auto log = logs_.find(stream);
  if (log == logs_.end()) return reply;
  reply.end = static_cast<int64_t>(log->second.records.size());
  const auto& newest = log->second.newest;
  for (auto it = newest.upper_bound(after_key); it != newest.end(); ++it) {
    if (reply.records.size() >= kPageSize) {
      reply.more = true;
      break;
    }
    reply.records.push_back(it->second);
  }
  return reply;
}

template <typename Reply>
void MemoryStoreConnection::Answer(absl::Duration timeout,
                                   const std::function<Reply()>& operation,
                                   std::function<void(Reply)> done) {
  if (unresponsive_) {
    RunAfter(store_.loop(), timeout, [done] { done(Reply()); });
    return;
  }
  boost::asio::post(store_.loop(), [reply = operation(),
                                    done = std::move(done)] { done(reply); });
}

void MemoryStoreConnection::Append(const AppendOrder& order,
                                   absl::Duration timeout,
                                   std::function<void(AppendReply)> done) {
  Answer<AppendReply>(
      timeout, [&] { return store_.Append(order); }, std::move(done));
}

void MemoryStoreConnection::Read(Stream stream, int64_t from,
                                 absl::Duration wait, ReadTimeout read_timeout,
                                 std::function<void(ReadReply)> done) {
  (void)wait;
  Answer<ReadReply>(
      read_timeout.total, [&] { return store_.Read(stream, from); },
      std::move(done));
}

void MemoryStoreConnection::Newest(Stream stream, const std::string& after_key,
                                   ReadTimeout read_timeout,
                                   std::function<void(NewestReply)> done) {
  Answer<NewestReply>(
      read_timeout.total, [&] { return store_.Newest(stream, after_key); },
      std::move(done));
}

}  // namespace keelbridge::testing
