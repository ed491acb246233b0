// What the callers of a soak know of their jobs. Thread-safe.
//
//   SoakJobs jobs;
//   jobs.Accepted(7);
//   std::optional<uint64_t> job = jobs.Draw(random);  // To be asked for.

#ifndef KEELBRIDGE_TESTING_SUPPORT_SOAK_JOBS_H_
#define KEELBRIDGE_TESTING_SUPPORT_SOAK_JOBS_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <vector>

#include "absl/time/time.h"

namespace keelbridge::testing {

struct SoakJob {
  bool accepted = false;
  bool refused = false;  // An answer said that it was not taken.
  bool unknown = false;  // A call for it had no certain answer.
  bool cancel_sent = false;
  bool crashes = false;  // Its tasks crash each worker that starts them.
  absl::Time accepted_at = absl::InfiniteFuture();
};

class SoakJobs {
 public:
  void RecordAccepted(uint64_t job);
  void RecordRefused(uint64_t job);
  void RecordUnknown(uint64_t job);
  // The job's tasks will crash their workers. Call before it is handed in.
  void RecordCrashing(uint64_t job);
  // False when the job is not known to be accepted.
  bool BeginCancel(uint64_t job);

  // An accepted job that nobody cancelled, most often one that was accepted
  // lately: those are the ones that a node may not have heard of.
  std::optional<uint64_t> Draw(std::mt19937_64& random) const;
  // The same, among the last few.
  std::optional<uint64_t> DrawNewest(std::mt19937_64& random) const;
  // Accepted, not cancelled, and not so old that it may be forgotten.
  bool MustBeKnown(uint64_t job) const;
  SoakJob Get(uint64_t job) const;
  std::map<uint64_t, SoakJob> All() const;

 private:
  std::optional<uint64_t> DrawFromLast(size_t last,
                                       std::mt19937_64& random) const;

  mutable std::mutex mutex_;
  std::map<uint64_t, SoakJob> jobs_;
  std::vector<uint64_t> accepted_;  // In the order of their acceptance.
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SOAK_JOBS_H_
