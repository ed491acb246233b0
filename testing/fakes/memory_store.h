// A record store in memory for tests of one process: streams with keys, fenced
// writers, conditional appends. Each process under test has a connection of its
// own, which can be cut.
//
//   MemoryStore store(loop);
//   MemoryStoreConnection node_a(store);
//   node_a.SetUnresponsive(true);  // Its calls get no answer and are not done.

#ifndef KEELBRIDGE_TESTING_FAKES_MEMORY_STORE_H_
#define KEELBRIDGE_TESTING_FAKES_MEMORY_STORE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "keelbridge/protocol/record_store.h"

namespace keelbridge::testing {

// All on the loop's thread.
class MemoryStore {
 public:
  // Records in one answer of `Newest`.
  static constexpr size_t kPageSize = 3;

  explicit MemoryStore(boost::asio::io_context& loop) : loop_(loop) {}

  AppendReply Append(const AppendOrder& order);
  ReadReply Read(Stream stream, int64_t from) const;
  NewestReply Newest(Stream stream, const std::string& after_key) const;
  boost::asio::io_context& loop() { return loop_; }

 private:
  struct Writer {
    int64_t epoch = -1;
    int64_t last_sequence = -1;  // Sequence.
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
            ReadTimeout patience, std::function<void(ReadReply)> done) override;
  void Newest(Stream stream, const std::string& after_key, ReadTimeout patience,
              std::function<void(NewestReply)> done) override;

 private:
  // Calls `done` with `reply` from the loop, or with no answer after `timeout`.
  template <typename Reply>
  void Answer(absl::Duration timeout, const std::function<Reply()>& operation,
              std::function<void(Reply)> done);

  MemoryStore& store_;
  bool unresponsive_ = false;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_MEMORY_STORE_H_
