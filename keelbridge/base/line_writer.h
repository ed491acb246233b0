// Writes lines to a file descriptor in batches on a background thread.
//
// A thread that adds a line never waits for the reader of the descriptor: lines
// are kept in a bounded buffer, and lines that do not fit are dropped and
// counted. The background thread wakes once per flush interval, so that most
// lines cost the caller neither a system call nor a context switch.
//
//   LineWriter writer(STDOUT_FILENO, LineWriter::Options());
//   writer.Add("{\"event\":\"started\"}");

#ifndef KEELBRIDGE_BASE_LINE_WRITER_H_
#define KEELBRIDGE_BASE_LINE_WRITER_H_

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace keelbridge {

// Thread-safe.
class LineWriter {
 public:
  struct Options {
    // About half a second of log output of a busy leader.
    size_t max_buffer_bytes = 256 << 10;
    absl::Duration flush_interval = absl::Milliseconds(20);
  };

  // `descriptor` must stay open until the process ends.
  LineWriter(int descriptor, Options options);
  // Does not wait for unwritten lines; call `Stop` first to write them.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  // Adds `line`, which must not end in a newline. Returns false if it was
  // dropped.
  bool Add(std::string_view line);
  // Returns the number of lines dropped so far.
  int64_t dropped() const;
  // Writes the remaining lines and ends the thread. Returns false if this takes
  // longer than `timeout`, for example because nothing reads from the
  // descriptor.
  bool Stop(absl::Duration timeout);

 private:
  // Shared with the thread, which outlives the writer if a write blocks.
  struct State {
    std::mutex mutex;
    std::condition_variable changed;
    std::string buffer;
    int64_t dropped = 0;
    bool stopping = false;
    bool thread_finished = false;
  };
  static void Run(const std::shared_ptr<State>& state, int descriptor,
                  absl::Duration flush_interval);

  const Options options_;
  std::shared_ptr<State> state_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_BASE_LINE_WRITER_H_
