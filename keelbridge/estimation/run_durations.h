// Learns how long the work of each queue takes, given the clients' estimates.
//
// Clients of some queues estimate well, those of others are off by up to 0.9 of
// the truth. Per queue, the true duration is regressed on the estimate in
// logarithms, because errors of durations are factors. Where estimates are
// good, the slope is near 1 and predictions equal the estimates; where they are
// noise, the slope is near 0 and the prediction is the queue's own typical
// duration. With few samples the prediction stays near the plain estimate, and
// without any it equals the estimate.
//
// Samples lose half of their weight within some hundred later ones, so that the
// model follows a change of the work. A duration far outside of the spread, for
// example that of a run on a slow worker, counts only as one at its edge.
//
// The classes are pure. Their memory per queue is constant, and the number of
// queues is bounded.
//
//   RunDurations durations{RunDurations::Options()};
//   durations.Add("restore", absl::Seconds(2), absl::Seconds(5));
//   absl::Duration expected = durations.Predict("restore", absl::Seconds(3));

#ifndef KEELBRIDGE_ESTIMATION_RUN_DURATIONS_H_
#define KEELBRIDGE_ESTIMATION_RUN_DURATIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/protocol/queue_durations.h"

namespace keelbridge {

// The relation of true durations to estimates for one kind of work.
class DurationModel {
 public:
  DurationModel() = default;
  // Continues from `sums`, which must be valid; see `AreValid`.
  explicit DurationModel(const DurationSums& sums);

  // Returns whether sums that were received can be those of a model.
  static bool AreValid(const DurationSums& sums);

  // Adds the true duration of work that a client had estimated. Samples without
  // a positive estimate and duration are ignored.
  void Add(absl::Duration estimate, absl::Duration duration);
  // Returns the median of the true duration. The scheduler compares the times
  // of single jobs, and the median is as often too long as too short, and right
  // by a factor; the mean would follow the rare long runs.
  absl::Duration Predict(absl::Duration estimate) const;
  // Returns the duration that the work does not exceed with probability `q`, 0
  // to 1 exclusive. Like `Predict`, it equals the estimate without samples.
  absl::Duration Quantile(absl::Duration estimate, double q) const;

  // The weight of all samples; at most some hundreds.
  double weight() const { return sums_.n; }
  // 1: the duration is proportional to the estimate; 0: independent of it.
  double slope() const;
  // The duration that is expected for the typical estimate.
  absl::Duration typical() const;
  // The standard deviation of the logarithm of the duration, given the
  // estimate. 0.1: a tenth of the duration.
  double spread() const;
  const DurationSums& sums() const { return sums_; }

 private:
  // Returns the logarithm of the expected duration; `x` is that of the
  // estimate.
  double PredictLog(double x) const;

  DurationSums sums_;
};

// Keeps the models of many queues.
class RunDurations {
 public:
  struct Options {
    // The queue that got no sample for the longest is dropped beyond this.
    size_t max_queues = 1000;
  };

  explicit RunDurations(Options options) : options_(options) {}

  void Add(const std::string& queue, absl::Duration estimate,
           absl::Duration duration);
  // See `DurationModel`. Of an unknown queue, these return the estimate.
  absl::Duration Predict(const std::string& queue,
                         absl::Duration estimate) const;
  absl::Duration Quantile(const std::string& queue, absl::Duration estimate,
                          double q) const;

  // Continues from the sums of another process, unless they are invalid or this
  // one has learned as much itself. Returns whether they are used.
  bool Adopt(const std::string& queue, const DurationSums& sums);
  // Returns null if nothing is known of the queue.
  const DurationModel* Find(const std::string& queue) const;
  // Returns at most `max_queues` queues, most recently used first.
  std::vector<std::string> RecentQueues(size_t max_queues) const;
  size_t size() const { return queues_.size(); }

 private:
  struct Entry {
    DurationModel model;
    int64_t own_samples = 0;  // Samples that were added by `Add`.
    int64_t last_used = 0;
  };
  Entry& Use(const std::string& queue);
  void DropLeastRecentlyUsed();

  const Options options_;
  absl::flat_hash_map<std::string, Entry> queues_;
  int64_t uses_ = 0;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_ESTIMATION_RUN_DURATIONS_H_
