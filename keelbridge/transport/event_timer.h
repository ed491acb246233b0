// Timers of an event loop, and delayed callbacks on it.
//
// The kernel's timers do not advance while the machine is suspended. A timer
// that becomes due during a suspension runs when the loop's next timer of any
// kind expires afterwards; a node always has one that is due within 50 ms.
//
//   EventTimer timer(loop);
//   RunAfter(loop, absl::Milliseconds(50), [this] { Retry(); });

#ifndef KEELBRIDGE_TRANSPORT_EVENT_TIMER_H_
#define KEELBRIDGE_TRANSPORT_EVENT_TIMER_H_

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "absl/time/time.h"
#include "keelbridge/base/clock.h"

namespace keelbridge {

using EventTimer = boost::asio::basic_waitable_timer<BootClock>;

// Calls `callback` once from the loop's thread after `delay`, or never if the
// loop ends first.
inline void RunAfter(boost::asio::io_context& loop, absl::Duration delay,
                     std::function<void()> callback) {
  auto timer =
      std::make_shared<EventTimer>(loop, absl::ToChronoNanoseconds(delay));
  timer->async_wait(
      [timer, callback = std::move(callback)](boost::system::error_code error) {
        if (!error) callback();
      });
}

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_EVENT_TIMER_H_
