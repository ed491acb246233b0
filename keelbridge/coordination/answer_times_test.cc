#include "keelbridge/coordination/answer_times.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("answer times: patience follows what answers take") {
  AnswerTimes times{AnswerTimes::Options()};
  CHECK(times.AnswerTimeout() ==
        absl::Milliseconds(300));  // Nothing measured yet.
  for (int i = 0; i < 50; ++i) times.OnAnswer(absl::Milliseconds(3));
  CHECK(times.AnswerTimeout() == absl::Milliseconds(100));
  // A leader that lags sees all answers late, and gives none up for that.
  for (int i = 0; i < 10; ++i) times.OnAnswer(absl::Milliseconds(90));
  CHECK(times.AnswerTimeout() > absl::Milliseconds(100));
  CHECK(times.AnswerTimeout() <= absl::Milliseconds(300));
  for (int i = 0; i < 100; ++i) times.OnAnswer(absl::Milliseconds(3));
  CHECK(times.AnswerTimeout() == absl::Milliseconds(100));
}

TEST_CASE("answer times: one silent worker is no sign of lossy answers") {
  AnswerTimes times{AnswerTimes::Options()};
  for (int i = 0; i < 20; ++i)
    times.OnLost("gone", kNow + absl::Milliseconds(100) * i);
  CHECK_FALSE(times.AnswersAreLossy(kNow + absl::Seconds(2)));
}

TEST_CASE("answer times: losses of two workers at a time are, for a while") {
  AnswerTimes times{AnswerTimes::Options()};
  times.OnLost("a", kNow);
  times.OnLost("b", kNow + absl::Seconds(3));
  CHECK_FALSE(times.AnswersAreLossy(kNow + absl::Seconds(3)));
  times.OnLost("a", kNow + absl::Seconds(4));
  CHECK(times.AnswersAreLossy(kNow + absl::Seconds(8)));
  CHECK_FALSE(times.AnswersAreLossy(kNow + absl::Seconds(10)));
}

}  // namespace
}  // namespace keelbridge
