#include "keelbridge/state/leader_append.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const absl::Time kAt = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("leader append: the record survives encoding and decoding") {
  const absl::Time at = absl::UnixEpoch() + absl::Microseconds(7'000'100);
  const Record record = LeaderAppendRecord({{12, at}, at});
  CHECK(IsLeaderAppendKey(record.key));
  const auto read = ParseLeaderAppend(record);
  REQUIRE(read.has_value());
  CHECK(read->begun.epoch == 12);
  // Rounded up, so that the leader does not seem to have stopped earlier.
  CHECK(read->begun.at == absl::UnixEpoch() + absl::Milliseconds(7001));
  CHECK(read->leases_over == absl::UnixEpoch() + absl::Milliseconds(7001));
}

TEST_CASE("leader append: a leader need not limit its leases") {
  const auto read = ParseLeaderAppend(LeaderAppendRecord({{12, kAt}}));
  REQUIRE(read.has_value());
  CHECK_FALSE(read->leases_over.has_value());
}

TEST_CASE("leader append: a record that cannot be read says nothing") {
  const std::string key = LeaderAppendRecord({{1, kAt}}).key;
  for (const char* text : {"", "[]", "7", "{}", R"({"epoch":3})",
                           R"({"at_ms":3})", R"({"epoch":"3","at_ms":3})",
                           R"({"epoch":3,"at_ms":3,"leases_over_ms":"3"})",
                           R"({"epoch":3,"at_ms":1.5})",
                           R"({"epoch":99999999999999999999,"at_ms":3})"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseLeaderAppend(Record{key, text}).has_value());
  }
  CHECK_FALSE(ParseLeaderAppend(Record{key, std::nullopt}).has_value());
  CHECK_FALSE(ParseLeaderAppend(Record{"w/i-1", R"({"epoch":3,"at_ms":3})"})
                  .has_value());
}

}  // namespace
}  // namespace keelbridge
