#include "keelbridge/coordination/zone_silence.h"

#include "doctest/doctest.h"

namespace keelbridge {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("zone silence: five members in a row show that a zone is silent") {
  ZoneSilence silence{ZoneSilence::Options()};
  for (const char* member : {"a", "b", "c", "d"})
    silence.OnUnanswered("west", member, kNow);
  CHECK_FALSE(silence.IsSilent("west", kNow));
  silence.OnUnanswered("west", "e", kNow);
  CHECK(silence.IsSilent("west", kNow));
  CHECK_FALSE(silence.IsSilent("east", kNow));
  SUBCASE("until one answers") {
    silence.OnAnswered("west");
    CHECK_FALSE(silence.IsSilent("west", kNow));
  }
  SUBCASE("until it is time to try again") {
    CHECK(silence.IsSilent("west", kNow + absl::Milliseconds(999)));
    CHECK_FALSE(silence.IsSilent("west", kNow + absl::Seconds(1)));
  }
}

TEST_CASE("zone silence: lost workers of a zone that answers do not count") {
  ZoneSilence silence{ZoneSilence::Options()};
  for (int i = 0; i < 100; ++i) {
    silence.OnUnanswered("west", "w" + std::to_string(i), kNow);
    if (i % 4 == 3) silence.OnAnswered("west");
    CHECK_FALSE(silence.IsSilent("west", kNow));
  }
}

TEST_CASE("zone silence: one member that is called again and again is not") {
  ZoneSilence silence{ZoneSilence::Options()};
  for (int i = 0; i < 100; ++i) silence.OnUnanswered("west", "a", kNow);
  CHECK_FALSE(silence.IsSilent("west", kNow));
}

TEST_CASE("zone silence: old silences and zones without a name do not count") {
  ZoneSilence silence{ZoneSilence::Options()};
  for (int i = 0; i < 10; ++i) {
    silence.OnUnanswered("west", "w" + std::to_string(i),
                         kNow + absl::Seconds(i));
    silence.OnUnanswered("", "w" + std::to_string(i), kNow);
  }
  CHECK_FALSE(silence.IsSilent("west", kNow + absl::Seconds(9)));
  CHECK_FALSE(silence.IsSilent("", kNow));
}

}  // namespace
}  // namespace keelbridge
