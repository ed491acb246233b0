#include "keelbridge/transport/event_timer.h"

#include <doctest/doctest.h>

#include <functional>

namespace keelbridge {
namespace {

// A node always has a timer that is due soon; the others are looked at with it.
TEST_CASE("event timer: what fell due in a suspension is done right after it") {
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
