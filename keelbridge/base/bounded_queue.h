// A bounded queue that passes items between threads.
//
// `Push` never blocks. It returns false if the queue is full, so that the
// caller can reject work immediately instead of queueing work that would not be
// processed in time.
//
//   BoundedQueue<Event> queue(1024);
//   if (!queue.Push(std::move(event))) return Overloaded();
//   for (Event& e : queue.Drain(64)) Handle(e);

#ifndef KEELBRIDGE_BASE_BOUNDED_QUEUE_H_
#define KEELBRIDGE_BASE_BOUNDED_QUEUE_H_

#include <boost/circular_buffer.hpp>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace keelbridge {

// Thread-safe. Supports any number of producers and consumers.
template <typename T>
class BoundedQueue {
 public:
  explicit BoundedQueue(size_t capacity) : items_(capacity) {}

  // Adds `item`. Returns false and drops `item` if the queue is full or closed.
  bool Push(T item) ABSL_LOCKS_EXCLUDED(mutex_) {
    absl::MutexLock lock(&mutex_);
    if (closed_ || items_.full()) return false;
    items_.push_back(std::move(item));
    return true;
  }

  // Removes and returns up to `max_items` items without waiting.
  std::vector<T> Drain(size_t max_items) ABSL_LOCKS_EXCLUDED(mutex_) {
    absl::MutexLock lock(&mutex_);
    return TakeLocked(max_items);
  }

  // Waits up to `wait` for the first item, then removes and returns up to
  // `max_items` items. The result is empty if the wait timed out, or if the
  // queue is closed and empty.
  std::vector<T> WaitAndDrain(size_t max_items, absl::Duration wait)
      ABSL_LOCKS_EXCLUDED(mutex_) {
    absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(this, &BoundedQueue::ReadyLocked),
                            wait);
    return TakeLocked(max_items);
  }

  // Rejects further items and wakes all waiting threads. Items already in the
  // queue can still be removed.
  void Close() ABSL_LOCKS_EXCLUDED(mutex_) {
    absl::MutexLock lock(&mutex_);
    closed_ = true;
  }

  // Returns true if the queue is closed and holds no more items.
  bool ClosedAndEmpty() const ABSL_LOCKS_EXCLUDED(mutex_) {
    absl::MutexLock lock(&mutex_);
    return closed_ && items_.empty();
  }

 private:
  bool ReadyLocked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return closed_ || !items_.empty();
  }

  std::vector<T> TakeLocked(size_t max_items)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    std::vector<T> out;
    while (!items_.empty() && out.size() < max_items) {
      out.push_back(std::move(items_.front()));
      items_.pop_front();
    }
    return out;
  }

  mutable absl::Mutex mutex_;
  boost::circular_buffer<T> items_ ABSL_GUARDED_BY(mutex_);
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_BASE_BOUNDED_QUEUE_H_
