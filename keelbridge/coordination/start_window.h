// Limits how many starts a leader has in flight to one worker.
//
// A worker takes orders at a pace of its own. If a leader sent it every start
// that fits its capacity at once, most of them would wait for a connection
// until they time out, to be sent again later. So the starts in flight are
// limited by a window, as in TCP congestion control: additive increase while
// the worker answers soon, multiplicative decrease when it answers late or not
// at all. Starts that the window does not admit wait in the scheduler, where
// they can still move to another worker.
//
// The window never closes for good: it admits `Options::min` starts at least. A
// window that was not used for a while begins anew, since nothing is known of
// the worker's present pace.
//
// StartWindow performs no I/O and reads no clock.
//
//   StartWindow window{StartWindow::Options()};
//   if (window.Admits(in_flight, now)) window.OnSent(now);
//   window.OnAnswered(sent, took, timeout, in_flight);

#ifndef KEELBRIDGE_COORDINATION_START_WINDOW_H_
#define KEELBRIDGE_COORDINATION_START_WINDOW_H_

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"

namespace keelbridge {

class StartWindow {
 public:
  // Numbers of starts in flight, with 1 <= min <= initial <= max.
  struct Options {
    int32_t min = 4;  // One for each connection to the worker.
    int32_t initial = 16;
    int32_t max = 64;
    // A window that was not used for longer begins anew.
    absl::Duration idle_expiry = absl::Seconds(5);
  };

  StartWindow() : StartWindow(Options()) {}
  explicit StartWindow(const Options& options)
      : options_(options), size_(options.initial) {}

  // Returns whether another start may be sent while `in_flight` orders have no
  // answer yet.
  bool Admits(size_t in_flight, absl::Time now) const;
  // Returns the current size, in starts.
  int32_t size() const { return static_cast<int32_t>(size_); }

  void OnSent(absl::Time now);
  // Records that an order that was sent at `sent`, with `timeout`, was answered
  // after `took`. `in_flight` is the number of orders that had no answer just
  // before, with this one.
  void OnAnswered(absl::Time sent, absl::Duration took, absl::Duration timeout,
                  size_t in_flight, absl::Time now);
  // Records that an order that was sent at `sent` got no answer in time, or
  // found no connection.
  void OnUnanswered(absl::Time sent, absl::Time now);

 private:
  bool IsIdle(absl::Time now) const {
    return now - last_sent_ > options_.idle_expiry;
  }

  Options options_;
  double size_;
  absl::Time last_sent_ = absl::InfinitePast();
  // Orders of before tell nothing of the window since it was last decreased.
  absl::Time decreased_at_ = absl::InfinitePast();
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_START_WINDOW_H_
