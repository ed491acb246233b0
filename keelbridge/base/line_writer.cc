#include "keelbridge/base/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>
#include <thread>
#include <utility>

namespace keelbridge {
namespace {

// A write of at most this many bytes to a pipe is atomic (PIPE_BUF on Linux).
constexpr size_t kMaxAtomicWrite = 4096;
constexpr int kNoTimeout = -1;

// Returns how many bytes of `text` to write in one call: as many whole lines as
// fit into an atomic write, or a part of the first line if it does not fit.
size_t NextWriteLength(std::string_view text) {
  if (text.size() <= kMaxAtomicWrite) return text.size();
  const size_t end = text.rfind('\n', kMaxAtomicWrite - 1);
  return end == std::string_view::npos ? kMaxAtomicWrite : end + 1;
}

// Writes all of `text`. Gives up on a write error, such as a closed descriptor.
void WriteAll(int descriptor, std::string_view text) {
  while (!text.empty()) {
    const ssize_t written =
        write(descriptor, text.data(), NextWriteLength(text));
    if (written > 0) {
      text.remove_prefix(static_cast<size_t>(written));
      continue;
    }
    if (written < 0 && errno == EINTR) continue;
    if (written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      pollfd writable{descriptor, POLLOUT, 0};
      poll(&writable, 1, kNoTimeout);
      continue;
    }
    return;
  }
}

}  // namespace

LineWriter::LineWriter(int descriptor, Options options)
    : options_(options), state_(std::make_shared<State>()) {
  std::thread(Run, state_, descriptor, options.flush_interval).detach();
}

LineWriter::~LineWriter() { Stop(absl::ZeroDuration()); }

void LineWriter::Run(const std::shared_ptr<State>& state, int descriptor,
                     absl::Duration flush_interval) {
  std::unique_lock<std::mutex> lock(state->mutex);
  for (;;) {
    state->changed.wait(
        lock, [&] { return state->stopping || !state->buffer.empty(); });
    state->changed.wait_for(lock, absl::ToChronoNanoseconds(flush_interval),
                            [&] { return state->stopping; });
    const std::string lines = std::exchange(state->buffer, std::string());
    if (lines.empty() && state->stopping) break;
    lock.unlock();
    WriteAll(descriptor, lines);
    lock.lock();
  }
  state->thread_finished = true;
  state->changed.notify_all();
}

bool LineWriter::Add(std::string_view line) {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  if (state_->buffer.size() + line.size() + 1 > options_.max_buffer_bytes) {
    ++state_->dropped;
    return false;
  }
  const bool was_empty = state_->buffer.empty();
  state_->buffer.append(line);
  state_->buffer.push_back('\n');
  if (was_empty) state_->changed.notify_all();
  return true;
}

int64_t LineWriter::dropped() const {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  return state_->dropped;
}

bool LineWriter::Stop(absl::Duration timeout) {
  std::unique_lock<std::mutex> lock(state_->mutex);
  state_->stopping = true;
  state_->changed.notify_all();
  return state_->changed.wait_for(lock, absl::ToChronoNanoseconds(timeout),
                                  [&] { return state_->thread_finished; });
}

}  // namespace keelbridge
