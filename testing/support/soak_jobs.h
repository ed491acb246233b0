// Records what the clients of a soak test know about their jobs. Thread-safe.
//
//   SoakJobs jobs;
//   jobs.RecordAccepted(7);
//   std::optional<uint64_t> job = jobs.Draw(random);

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
  bool refused = false;  // A reply said that the job was not accepted.
  bool unknown = false;  // The outcome of a submission is not known.
  bool cancel_sent = false;
  bool crashes = false;  // The tasks crash each worker that starts them.
  absl::Time accepted_at = absl::InfiniteFuture();
};

class SoakJobs {
 public:
  void RecordAccepted(uint64_t job);
  void RecordRefused(uint64_t job);
  void RecordUnknown(uint64_t job);
  // Records that the job's tasks crash their workers. Must be called before the
  // job is submitted.
  void RecordCrashing(uint64_t job);
  // Records that a cancellation is about to be sent. Returns false, without
  // effect, if the job is not known to be accepted.
  bool BeginCancel(uint64_t job);

  // Returns a random accepted job, or nullopt if it was cancelled or if there
  // is none. Prefers recently accepted jobs, because those are the ones that a
  // node is most likely to miss.
  std::optional<uint64_t> Draw(std::mt19937_64& random) const;
  // Returns a random one of the last few accepted jobs, or nullopt if it was
  // cancelled or if there is none.
  std::optional<uint64_t> DrawNewest(std::mt19937_64& random) const;
  // Returns whether each node must know the job: it was accepted, was not
  // cancelled, and is not old enough for nodes to have removed it.
  bool MustBeKnown(uint64_t job) const;
  SoakJob Get(uint64_t job) const;
  std::map<uint64_t, SoakJob> All() const;

 private:
  std::optional<uint64_t> DrawFromLast(size_t last,
                                       std::mt19937_64& random) const;

  mutable std::mutex mutex_;
  std::map<uint64_t, SoakJob> jobs_;
  std::vector<uint64_t> accepted_;  // In the order of acceptance.
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SOAK_JOBS_H_
