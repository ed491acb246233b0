// An in-memory record store for tests within one process: streams of keyed
// records, fenced writers and conditional appends. Each node under test has its
// own connection, which a test can make unresponsive.
//
//   MemoryStore store(loop);
//   MemoryStoreConnection node_a(store);
//   // Calls of this connection are now neither executed nor answered.
//   node_a.SetUnresponsive(true);

#ifndef KEELBRIDGE_TESTING_FAKES_MEMORY_STORE_H_
#define KEELBRIDGE_TESTING_FAKES_MEMORY_STORE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "keelbridge/protocol/record_store.h"

namespace keelbridge::testing {

// Not thread-safe: use only on the thread of `loop`.
class MemoryStore {
 public:
  // Maximum number of records in one reply of `Newest`.
  static constexpr size_t kPageSize = 3;

  explicit MemoryStore(boost::asio::io_context& loop) : loop_(loop) {}

  AppendReply Append(const AppendOrder& order);
  ReadReply Read(Stream stream, int64_t from) const;
  NewestReply Newest(Stream stream, const std::string& after_key) const;
  boost::asio::io_context& loop() { return loop_; }

 private:
  struct Writer {
    int64_t epoch = -1;
    int64_t last_sequence = -1;
  };
  struct Log {
    std::vector<Record> records;
    std::map<std::string, Record> newest;
    std::map<std::string, Writer> writers;
  };

  boost::asio::io_context& loop_;
  std::map<Stream, Log> logs_;
};

class MemoryStoreConnection : public RecordStore {
 public:
  explicit MemoryStoreConnection(MemoryStore& store) : store_(store) {}

  void SetUnresponsive(bool unresponsive) { unresponsive_ = unresponsive; }

  void Append(const AppendOrder& order, absl::Duration timeout,
              std::function<void(AppendReply)> done) override;
  void Read(Stream stream, int64_t from, absl::Duration wait,
            ReadTimeout read_timeout,
            std::function<void(ReadReply)> done) override;
  void Newest(Stream stream, const std::string& after_key,
              ReadTimeout read_timeout,
              std::function<void(NewestReply)> done) override;

 private:
  // Runs `operation` and posts its reply to `done`. If unresponsive, runs
  // nothing and calls `done` with an empty reply after `timeout`.
  template <typename Reply>
  void Answer(absl::Duration timeout, const std::function<Reply()>& operation,
              std::function<void(Reply)> done);

  MemoryStore& store_;
  bool unresponsive_ = false;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_MEMORY_STORE_H_
