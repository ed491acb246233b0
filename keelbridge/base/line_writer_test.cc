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
  std::array<char, 4096> part{};
  for (;;) {
    const ssize_t got = read(descriptor, part.data(), part.size());
    if (got <= 0) return text;
    text.append(part.data(), static_cast<size_t>(got));
  }
}

TEST_CASE("line writer: lines arrive whole and in order, the last ones too") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  LineWriter writer(ends[1], LineWriter::Options());
  std::string expected;
  for (int i = 0; i < 100; ++i) {
    CHECK(writer.Add("line " + std::to_string(i)));
    expected += "line " + std::to_string(i) + "\n";
  }
  CHECK(writer.Stop(absl::Seconds(5)));
  close(ends[1]);
  CHECK(ReadAll(ends[0]) == expected);
  close(ends[0]);
}

TEST_CASE("line writer: a descriptor that does not block loses nothing") {
  std::array<int, 2> ends{};
  REQUIRE(pipe2(ends.data(), O_NONBLOCK) == 0);
  LineWriter::Options options;
  options.most_bytes = 1 << 20;
  LineWriter writer(ends[1], options);
  const std::string line(100, 'x');
  // More than the pipe takes at once.
  constexpr size_t kLines = 5000;
  for (size_t i = 0; i < kLines; ++i) CHECK(writer.Add(line));
  std::string text;
  const absl::Time until = absl::Now() + absl::Seconds(10);
  while (text.size() < kLines * (line.size() + 1) && absl::Now() < until) {
    text += ReadAll(ends[0]);
    absl::SleepFor(absl::Milliseconds(1));
  }
  CHECK(text.size() == kLines * (line.size() + 1));
  CHECK(writer.Stop(absl::Seconds(5)));
  close(ends[0]);
  close(ends[1]);
}

TEST_CASE("line writer: a reader that stands still costs lines, never time") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  LineWriter::Options options;
  options.most_bytes = 8192;
  options.pause = absl::ZeroDuration();
  LineWriter writer(ends[1], options);
  const std::string line(100, 'x');
  absl::Duration longest;
  // The pipe and the buffer hold far less than this.
  for (int round = 0; round < 200; ++round) {
    const absl::Time begun = absl::Now();
    for (int i = 0; i < 50; ++i) writer.Add(line);
    longest = std::max(longest, absl::Now() - begun);
    absl::SleepFor(absl::Milliseconds(1));
  }
  CHECK(longest < absl::Seconds(1));
  CHECK(writer.dropped() > 0);
  CHECK(!writer.Stop(absl::Milliseconds(50)));
  // The thread hangs in its write; closing the reader's end lets it go.
  signal(SIGPIPE, SIG_IGN);
  close(ends[0]);
}

}  // namespace
}  // namespace keelbridge
