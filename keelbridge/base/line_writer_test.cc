#include "keelbridge/base/line_writer.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <string>

#include "absl/time/clock.h"

namespace keelbridge {
namespace {

std::string ReadAll(int descriptor) {
  std::string text;
  std::array<char, 4096> buffer{};
  for (;;) {
    const ssize_t bytes_read = read(descriptor, buffer.data(), buffer.size());
    if (bytes_read <= 0) return text;
    text.append(buffer.data(), static_cast<size_t>(bytes_read));
  }
}

TEST_CASE("line writer: all lines arrive in order, including the last ones") {
  std::array<int, 2> pipe_fds{};
  REQUIRE(pipe(pipe_fds.data()) == 0);
  LineWriter writer(pipe_fds[1], LineWriter::Options());
  std::string expected;
  for (int i = 0; i < 100; ++i) {
    CHECK(writer.Add("line " + std::to_string(i)));
    expected += "line " + std::to_string(i) + "\n";
  }
  CHECK(writer.Stop(absl::Seconds(5)));
  close(pipe_fds[1]);
  CHECK(ReadAll(pipe_fds[0]) == expected);
  close(pipe_fds[0]);
}

TEST_CASE("line writer: a non-blocking descriptor loses no lines") {
  std::array<int, 2> pipe_fds{};
  REQUIRE(pipe2(pipe_fds.data(), O_NONBLOCK) == 0);
  LineWriter::Options options;
  options.max_buffer_bytes = 1 << 20;
  LineWriter writer(pipe_fds[1], options);
  const std::string line(100, 'x');
  // More than the pipe can buffer.
  constexpr size_t kLines = 5000;
  for (size_t i = 0; i < kLines; ++i) CHECK(writer.Add(line));
  std::string text;
  const absl::Time until = absl::Now() + absl::Seconds(10);
  while (text.size() < kLines * (line.size() + 1) && absl::Now() < until) {
    text += ReadAll(pipe_fds[0]);
    absl::SleepFor(absl::Milliseconds(1));
  }
  CHECK(text.size() == kLines * (line.size() + 1));
  CHECK(writer.Stop(absl::Seconds(5)));
  close(pipe_fds[0]);
  close(pipe_fds[1]);
}

TEST_CASE(
    "line writer: with a stalled reader, lines are dropped without blocking") {
  std::array<int, 2> pipe_fds{};
  REQUIRE(pipe(pipe_fds.data()) == 0);
  LineWriter::Options options;
  options.max_buffer_bytes = 8192;
  options.flush_interval = absl::ZeroDuration();
  LineWriter writer(pipe_fds[1], options);
  const std::string line(100, 'x');
  absl::Duration max_add_duration;
  // The pipe and the buffer hold far less than the lines added here.
  for (int round = 0; round < 200; ++round) {
    const absl::Time start_time = absl::Now();
    for (int i = 0; i < 50; ++i) writer.Add(line);
    max_add_duration = std::max(max_add_duration, absl::Now() - start_time);
    absl::SleepFor(absl::Milliseconds(1));
  }
  CHECK(max_add_duration < absl::Seconds(1));
  CHECK(writer.dropped() > 0);
  CHECK(!writer.Stop(absl::Milliseconds(50)));
  // The thread is blocked in a write. Closing the read end makes the write
  // fail, so that the thread can finish.
  signal(SIGPIPE, SIG_IGN);
  close(pipe_fds[0]);
}

}  // namespace
}  // namespace keelbridge
