// Runs a step later on an event loop.
//
//   RunAfter(loop, absl::Milliseconds(50), [this] { Retry(); });

#ifndef KEELBRIDGE_TRANSPORT_EVENT_TIMER_H_
#define KEELBRIDGE_TRANSPORT_EVENT_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "absl/time/time.h"

namespace keelbridge {

// Calls `step` once from the loop's thread; not at all when the loop ends
// first.
inline void RunAfter(boost::asio::io_context& loop, absl::Duration delay,
                     std::function<void()> step) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      loop, absl::ToChronoNanoseconds(delay));
  timer->async_wait(
      [timer, step = std::move(step)](boost::system::error_code error) {
        if (!error) step();
      });
}

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_EVENT_TIMER_H_
