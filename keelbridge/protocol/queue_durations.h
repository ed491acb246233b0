// What a leader has learned about the durations of a queue's work, in the form
// in which it hands this over to the next leader.
//
//   QueueDurations learned;
//   learned.queue = "restore";
//   learned.run = model.sums();

#ifndef KEELBRIDGE_PROTOCOL_QUEUE_DURATIONS_H_
#define KEELBRIDGE_PROTOCOL_QUEUE_DURATIONS_H_

#include <cstddef>
#include <string>

namespace keelbridge {

// How many queues a handover contains at most. Each takes some 250 bytes, and
// the handover must arrive in time over slow links.
constexpr size_t kMaxHandedOverQueues = 50;

// Weighted sums over samples of x, the natural logarithm of the client's
// estimate, and y, that of the true duration, both in milliseconds.
struct DurationSums {
  double n = 0;  // The sum of the weights.
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;
  double yy = 0;
};

struct QueueDurations {
  std::string queue;
  DurationSums run;   // Of one run of one task.
  DurationSums step;  // Of the longest successful run of a step.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_QUEUE_DURATIONS_H_
