#include "keelbridge/accounts/early_cancels.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace keelbridge {
namespace {

constexpr JobId kJob = 0x5c0e7a21d94b36f8;
const absl::Time kBegin = absl::UnixEpoch() + absl::Hours(1);
const EarlyCanceller kA{"a", false};
const EarlyCanceller kB{"b", false};
const EarlyCanceller kAnyone{"", true};

EarlyCancels::Options SmallOptions() {
  EarlyCancels::Options options;
  options.retention = absl::Seconds(10);
  options.max_marks = 4;
  options.max_marks_per_account = 2;
  return options;
}

TEST_CASE("early cancels: refuse the job until their time is over") {
  EarlyCancels cancels(SmallOptions());
  CHECK_FALSE(cancels.TimeLeft(kJob, "a", kBegin));
  REQUIRE(cancels.Add(kJob, kA, kBegin));
  CHECK(cancels.TimeLeft(kJob, "a", kBegin + absl::Seconds(4)) ==
        absl::Seconds(6));
  CHECK_FALSE(cancels.TimeLeft(kJob + 1, "a", kBegin));
  CHECK_FALSE(cancels.TimeLeft(kJob, "a", kBegin + absl::Seconds(10)));
}

TEST_CASE("early cancels: a repeated cancel begins the time again") {
  EarlyCancels cancels(SmallOptions());
  REQUIRE(cancels.Add(kJob, kA, kBegin));
  REQUIRE(cancels.Add(kJob, kA, kBegin + absl::Seconds(9)));
  CHECK(cancels.size() == 1);
  cancels.DropExpired(kBegin + absl::Seconds(12));
  CHECK(cancels.TimeLeft(kJob, "a", kBegin + absl::Seconds(12)).has_value());
}

// Guards against: an account has the jobs of another one refused.
TEST_CASE("early cancels: refuse only jobs that their caller could cancel") {
  EarlyCancels cancels(SmallOptions());
  REQUIRE(cancels.Add(kJob, kB, kBegin));
  CHECK_FALSE(cancels.TimeLeft(kJob, "a", kBegin));
  CHECK(cancels.TimeLeft(kJob, "b", kBegin).has_value());
  CHECK(cancels.TimeLeft(kJob, "", kBegin).has_value());
  REQUIRE(cancels.Add(kJob, kA, kBegin));
  CHECK(cancels.TimeLeft(kJob, "a", kBegin).has_value());
  REQUIRE(cancels.Add(kJob + 1, kAnyone, kBegin));
  CHECK(cancels.TimeLeft(kJob + 1, "a", kBegin).has_value());
}

// Guards against: a crowd of cancels of made-up ids takes the room of others,
// or drives out cancels that were answered.
TEST_CASE("early cancels: a crowd of one account is bounded, others get room") {
  EarlyCancels cancels(SmallOptions());
  CHECK(cancels.Add(1, kA, kBegin));
  CHECK(cancels.Add(2, kA, kBegin));
  CHECK_FALSE(cancels.Add(3, kA, kBegin));
  CHECK(cancels.Add(1, kA, kBegin));  // Known already.
  CHECK(cancels.Add(4, kB, kBegin));
  CHECK(cancels.Add(5, kB, kBegin));
  CHECK_FALSE(cancels.Add(6, kAnyone, kBegin));
  CHECK(cancels.size() == 4);
  CHECK(cancels.TimeLeft(1, "a", kBegin).has_value());
  cancels.DropExpired(kBegin + absl::Seconds(10));
  CHECK(cancels.size() == 0);
  CHECK(cancels.Add(3, kA, kBegin + absl::Seconds(10)));
}

TEST_CASE("early cancels: the next leader reads back what was written") {
  EarlyCancels first(SmallOptions());
  REQUIRE(first.Add(kJob, kA, kBegin));
  REQUIRE(first.Add(kJob, kB, kBegin));
  const std::vector<Record> records = first.TakeRecords();
  REQUIRE(records.size() == 1);
  CHECK(first.TakeRecords().empty());
  CHECK(IsEarlyCancelKey(records[0].key));

  EarlyCancels second(SmallOptions());
  const auto cancel = ParseEarlyCancel(records[0]);
  REQUIRE(cancel);
  second.Load(*cancel, kBegin + absl::Seconds(9));
  CHECK(second.TakeRecords().empty());
  CHECK(second.size() == 2);
  CHECK(second.TimeLeft(kJob, "a", kBegin + absl::Seconds(18)).has_value());
  CHECK_FALSE(second.TimeLeft(kJob, "c", kBegin + absl::Seconds(18)));
  second.DropExpired(kBegin + absl::Seconds(19));
  const std::vector<Record> dropped = second.TakeRecords();
  REQUIRE(dropped.size() == 1);
  CHECK(dropped[0].key == records[0].key);
  CHECK_FALSE(dropped[0].value.has_value());
  CHECK_FALSE(ParseEarlyCancel(dropped[0]));
}

// Guards against: a record that cannot be read lets a cancelled job run.
TEST_CASE("early cancels: an unreadable record refuses its job for everyone") {
  for (const std::string text :
       {"", "{", "[]", "{\"cancelled_by\":[]}", "{\"cancelled_by\":[1]}"}) {
    CAPTURE(text);
    Record record = EarlyCancelRecord({kJob, {kA}});
    record.value = text;
    const auto cancel = ParseEarlyCancel(record);
    REQUIRE(cancel);
    EarlyCancels cancels(SmallOptions());
    cancels.Load(*cancel, kBegin);
    CHECK(cancels.TimeLeft(kJob, "c", kBegin).has_value());
  }
  CHECK_FALSE(ParseEarlyCancel({"c/not-an-id", "{}"}));
}

}  // namespace
}  // namespace keelbridge
