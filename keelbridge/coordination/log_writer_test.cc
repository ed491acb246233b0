#include "keelbridge/coordination/log_writer.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);

TEST_CASE(
    "log writer: queued entries go into one envelope, one in flight at a "
    "time") {
  LogWriter writer({});
  for (int i = 0; i < 50; ++i) writer.Add(LeaderEntry{i, "s"});
  const auto envelope = writer.Next(kStart);
  REQUIRE(envelope.has_value());
  CHECK(envelope->entries.size() == 50);
  writer.Add(LeaderEntry{99, "s"});
  CHECK_FALSE(writer.Next(kStart).has_value());
  writer.OnAnswer(7, kStart);
  CHECK_FALSE(writer.Next(kStart).has_value());
  CHECK(writer.Next(kStart + absl::Milliseconds(100))->id.sequence == 2);
}

TEST_CASE(
    "log writer: after a lost answer the same envelope is sent again with "
    "backoff") {
  LogWriter writer({});
  writer.Add(LeaderEntry{1, "s"});
  absl::Time now = kStart;
  int sends = 0;
  while (now < kStart + absl::Seconds(60)) {
    if (const auto envelope = writer.Next(now)) {
      CHECK(envelope->id.sequence == 1);
      ++sends;
      writer.OnAnswer(std::nullopt, now);
    }
    now += absl::Milliseconds(50);
  }
  CHECK(sends >= 12);
  CHECK(sends <= 30);
  REQUIRE(writer.unacknowledged().has_value());
  writer.OnSeenInLog(now);
  CHECK(writer.idle());
}

TEST_CASE("log writer: the queue is bounded and refuses further entries") {
  LogWriter::Options options;
  options.max_queued_entries = 10;
  LogWriter writer(options);
  for (int i = 0; i < 10; ++i) CHECK(writer.Add(LeaderEntry{i, "s"}));
  CHECK_FALSE(writer.Add(LeaderEntry{11, "s"}));
}

TEST_CASE("log writer: large entries are sent in separate envelopes") {
  LogWriter::Options options;
  options.max_envelope_bytes = 1000;
  LogWriter writer(options);
  for (int i = 0; i < 3; ++i) {
    writer.Add(SnapshotEntry{"s", 0, i, 3, 0, std::string(900, 'x')});
  }
  CHECK(writer.Next(kStart)->entries.size() == 1);
}

}  // namespace
}  // namespace keelbridge
