#include "keelbridge/transport/event_timer.h"

#include <doctest/doctest.h>

#include <functional>

namespace keelbridge {
namespace {

// A timer that becomes due during a suspension of the machine runs when the
// next timer of the loop expires; the test keeps a 50 ms timer running for
// that, as a node does.
TEST_CASE("event timer: a timer due during a suspension runs right after it") {
  boost::asio::io_context loop;
  bool done = false;
  RunAfter(loop, absl::Seconds(20), [&done] { done = true; });
  const std::function<void()> tick = [&] {
    if (!done) RunAfter(loop, absl::Milliseconds(50), tick);
  };
  tick();
  loop.run_for(std::chrono::milliseconds(120));
  CHECK_FALSE(done);
  BootClock::SimulateSuspensionForTest(absl::Seconds(25));
  loop.run_for(std::chrono::milliseconds(300));
  CHECK(done);
}

}  // namespace
}  // namespace keelbridge
