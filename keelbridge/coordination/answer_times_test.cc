#include "keelbridge/coordination/answer_times.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);

TEST_CASE("answer times: the timeout follows the measured answer times") {
  AnswerTimes times{AnswerTimes::Options()};
  CHECK(times.AnswerTimeout() == absl::Milliseconds(300));  // No samples yet.
  for (int i = 0; i < 50; ++i) times.OnAnswer(absl::Milliseconds(3));
  CHECK(times.AnswerTimeout() == absl::Milliseconds(100));
  // A lagging leader receives all answers late and must not time them out for
  // that.
  for (int i = 0; i < 10; ++i) times.OnAnswer(absl::Milliseconds(90));
  CHECK(times.AnswerTimeout() > absl::Milliseconds(100));
  CHECK(times.AnswerTimeout() <= absl::Milliseconds(300));
  for (int i = 0; i < 100; ++i) times.OnAnswer(absl::Milliseconds(3));
  CHECK(times.AnswerTimeout() == absl::Milliseconds(100));
}

TEST_CASE(
    "answer times: one unresponsive worker does not indicate lost answers") {
  AnswerTimes times{AnswerTimes::Options()};
  for (int i = 0; i < 20; ++i)
    times.OnLost("gone", 48, kNow + absl::Milliseconds(100) * i);
  CHECK_FALSE(times.AnswersAreLossy(kNow + absl::Seconds(2)));
}

TEST_CASE(
    "answer times: concurrent losses of two workers indicate lost answers for "
    "a while") {
  AnswerTimes times{AnswerTimes::Options()};
  times.OnLost("a", 48, kNow);
  times.OnLost("b", 48, kNow + absl::Seconds(3));
  CHECK_FALSE(times.AnswersAreLossy(kNow + absl::Seconds(3)));
  times.OnLost("a", 48, kNow + absl::Seconds(4));
  CHECK(times.AnswersAreLossy(kNow + absl::Seconds(8)));
  CHECK_FALSE(times.AnswersAreLossy(kNow + absl::Seconds(10)));
}

// Workers that start and end lose single answers all the time, the more of them
// the larger the site.
TEST_CASE(
    "answer times: the losses that indicate lost answers follow the size") {
  const auto lossy_after = [](size_t losses, size_t workers) {
    AnswerTimes times{AnswerTimes::Options()};
    for (size_t i = 0; i < losses; ++i)
      times.OnLost("w" + std::to_string(i), workers,
                   kNow + absl::Milliseconds(10) * static_cast<double>(i));
    return times.AnswersAreLossy(kNow + absl::Seconds(1));
  };
  CHECK(lossy_after(2, 350));
  CHECK_FALSE(lossy_after(20, 6000));
  CHECK(lossy_after(30, 6000));
  CHECK_FALSE(lossy_after(40, 12000));
  CHECK(lossy_after(60, 12000));
}

}  // namespace
}  // namespace keelbridge
