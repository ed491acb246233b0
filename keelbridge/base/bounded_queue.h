// A bounded queue that joins two duties.
//
// `Push` never waits: a full ring answers false, and the caller gives a verdict
// at once in place of holding work that nobody will reach in time.
//
//   BoundedQueue<Event> ring(1024);
//   if (!ring.Push(std::move(event))) return Overloaded();
//   for (Event& e : ring.Drain(64)) Handle(e);

#ifndef KEELBRIDGE_BASE_BOUNDED_QUEUE_H_
#define KEELBRIDGE_BASE_BOUNDED_QUEUE_H_

#include <boost/circular_buffer.hpp>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace keelbridge {

// Any number of producers and consumers. Thread-safe.
template <typename T>
class BoundedQueue {
 public:
  explicit BoundedQueue(size_t capacity) : items_(capacity) {}

  // False when the ring is full or closed; `item` is then dropped.
  bool Push(T item) ABSL_LOCKS_EXCLUDED(mutex_) {
    absl::MutexLock lock(&mutex_);
    if (closed_ || items_.full()) return false;
    items_.push_back(std::move(item));
    return true;
  }

  // Takes up to `most` items without waiting.
  std::vector<T> Drain(size_t max_items) ABSL_LOCKS_EXCLUDED(mutex_) {
    absl::MutexLock lock(&mutex_);
    return TakeLocked(max_items);
  }

  // Waits up to `wait` for the first item, then takes up to `most`. Empty when
  // time ran out or the ring closed.
  std::vector<T> WaitAndDrain(size_t max_items, absl::Duration wait)
      ABSL_LOCKS_EXCLUDED(mutex_) {
    absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(this, &BoundedQueue::ReadyLocked),
                            wait);
    return TakeLocked(max_items);
  }

  // Refuses further items and wakes all that wait; what is inside can still be
  // taken.
  void Close() ABSL_LOCKS_EXCLUDED(mutex_) {
    absl::MutexLock lock(&mutex_);
    closed_ = true;
  }

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
