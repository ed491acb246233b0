#include "keelbridge/coordination/start_window.h"

#include <doctest/doctest.h>

#include <deque>
#include <random>

namespace keelbridge {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kTimeout = absl::Milliseconds(300);
constexpr absl::Duration kPrompt = absl::Milliseconds(2);
constexpr StartWindow::Options kOptions;

TEST_CASE("start window: a worker that has not answered yet begins small") {
  const StartWindow window;
  CHECK(window.Admits(kOptions.initial - 1, kNow));
  CHECK_FALSE(window.Admits(kOptions.initial, kNow));
}

TEST_CASE("start window: prompt answers to a full window let it grow by one") {
  StartWindow window;
  window.OnSent(kNow);
  for (int i = 0; i < kOptions.initial + 1; ++i)
    window.OnAnswered(kNow, kPrompt, kTimeout, kOptions.initial, kNow);
  CHECK(window.size() == kOptions.initial + 1);
}

TEST_CASE("start window: it grows to its maximum and not beyond") {
  StartWindow window;
  window.OnSent(kNow);
  for (int i = 0; i < 100 * kOptions.max; ++i)
    window.OnAnswered(kNow, kPrompt, kTimeout, kOptions.max, kNow);
  CHECK(window.size() == kOptions.max);
}

TEST_CASE("start window: a window that is not in full use does not grow") {
  StartWindow window;
  window.OnSent(kNow);
  for (int i = 0; i < 1000; ++i)
    window.OnAnswered(kNow, kPrompt, kTimeout, /*in_flight=*/1, kNow);
  CHECK(window.size() == kOptions.initial);
}

TEST_CASE("start window: orders of one window halve it once") {
  StartWindow window;
  window.OnSent(kNow);
  const absl::Time later = kNow + kTimeout;
  for (int i = 0; i < 10; ++i) window.OnUnanswered(kNow, later);
  CHECK(window.size() == kOptions.initial / 2);
  window.OnUnanswered(later + kPrompt, later + kTimeout);
  CHECK(window.size() == kOptions.initial / 4);
}

TEST_CASE("start window: a late answer counts as none") {
  StartWindow window;
  window.OnSent(kNow);
  window.OnAnswered(kNow, kTimeout * 0.6, kTimeout, kOptions.initial,
                    kNow + kTimeout * 0.6);
  CHECK(window.size() == kOptions.initial / 2);
}

// Guards against a worker that gets no starts any more.
TEST_CASE("start window: it never closes for good") {
  StartWindow window;
  absl::Time now = kNow;
  for (int i = 0; i < 100; ++i) {
    window.OnSent(now);
    window.OnUnanswered(now, now + kTimeout);
    now += 2 * kTimeout;
  }
  CHECK(window.size() == kOptions.min);
  CHECK(window.Admits(0, now));
}

TEST_CASE("start window: one that was idle begins anew") {
  StartWindow window;
  window.OnSent(kNow);
  window.OnUnanswered(kNow, kNow + kTimeout);
  const absl::Time later = kNow + 2 * kOptions.idle_expiry;
  CHECK(window.Admits(kOptions.initial - 1, later));
  window.OnSent(later);
  CHECK(window.size() == kOptions.initial);
}

// A worker that carries out one order at a time, in the given time, and a
// leader that has always another start for it.
struct PacedWorker {
  // Lets `span` pass. Returns the number of orders that timed out.
  int Run(StartWindow& window, absl::Duration pace, absl::Duration span) {
    int timed_out = 0;
    const absl::Time end = now + span;
    absl::Time free_at = now;
    while (now < end) {
      while (window.Admits(sent.size(), now)) {
        window.OnSent(now);
        sent.push_back(now);
      }
      free_at = std::max(free_at, now) + pace;
      now = free_at;
      const absl::Duration took = now - sent.front();
      const size_t in_flight = sent.size();
      if (took > kTimeout) ++timed_out;
      window.OnAnswered(sent.front(), took, kTimeout, in_flight, now);
      sent.pop_front();
      ++done;
    }
    return timed_out;
  }

  absl::Time now = kNow;
  std::deque<absl::Time> sent;
  int done = 0;
};

// Guards against orders that time out because too many were sent, and against a
// worker that is left idle.
TEST_CASE(
    "start window: it follows a worker that grows slow by ten times and "
    "recovers, without orders that time out") {
  StartWindow window;
  PacedWorker worker;
  CHECK(worker.Run(window, absl::Milliseconds(1), absl::Seconds(10)) == 0);
  CHECK(window.size() == kOptions.max);
  // Those in flight, and those sent before the first late answer.
  const int64_t sent_before_late_answer =
      kOptions.max + absl::ToInt64Milliseconds(kTimeout) / 2 / 10;
  CHECK(worker.Run(window, absl::Milliseconds(10), absl::Seconds(10)) <=
        sent_before_late_answer);
  // The orders of one window wait for less than half of the timeout.
  CHECK(window.size() * absl::Milliseconds(10) <= kTimeout * 0.5);
  CHECK(worker.Run(window, absl::Milliseconds(10), absl::Seconds(10)) == 0);
  CHECK(worker.Run(window, absl::Milliseconds(1), absl::Seconds(10)) == 0);
  CHECK(window.size() == kOptions.max);
}

TEST_CASE("start window: its bounds hold whatever happens") {
  for (uint32_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    StartWindow window;
    absl::Time now = kNow;
    for (int step = 0; step < 1000; ++step) {
      const absl::Duration took = absl::Milliseconds(random() % 400);
      const absl::Time sent = now;
      window.OnSent(sent);
      now += absl::Milliseconds(random() % 2000);
      if (random() % 4 == 0)
        window.OnUnanswered(sent, now);
      else
        window.OnAnswered(sent, took, kTimeout, random() % 100, now);
      CHECK(window.size() >= kOptions.min);
      CHECK(window.size() <= kOptions.max);
    }
  }
}

}  // namespace
}  // namespace keelbridge
