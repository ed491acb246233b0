// Writes lines to a descriptor from a thread of its own, many at a time.
//
// Whoever adds a line never waits for whoever reads the descriptor: lines stand
// in a bounded buffer, and what does not fit is dropped and counted. The thread
// wakes once for all lines of a pause, so that a line costs its caller neither
// a system call nor a switch of threads.
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
    size_t max_buffer_bytes = 256
                              << 10;  // About half a second of a busy leader.
    absl::Duration flush_interval = absl::Milliseconds(20);
  };

  // The descriptor must stay open for the process's life.
  LineWriter(int descriptor, Options options);
  // Does not wait for lines that were not written; see `Stop`.
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  // Adds a line, without its end; false when it was dropped.
  bool Add(std::string_view line);
  int64_t dropped() const;
  // Writes what is left and ends the thread; false when that took longer than
  // `patience`, as nobody reads.
  bool Stop(absl::Duration timeout);

 private:
  // Outlives the writer when its thread hangs in a write.
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
