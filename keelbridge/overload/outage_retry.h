// Decides when clients that are refused in an outage are to return.
//
// While the store or the leader is away, every call is refused. If all clients
// were told the same time, those that were refused together would return
// together, and again if the outage lasts. So each is told a whole number of
// seconds that depends on the id of its job: 1 s while only a few were refused,
// then up to 2 s, and up to 3 s once the outage has lasted. It is never longer,
// since clients wait 3 s to hand in a job.
//
// The class is pure and has no clock of its own. Refusals that follow each
// other soon belong to one outage.
//
//   OutageRetry retry{OutageRetry::Options()};
//   reply.retry_after = retry.OnRefused(call.job, now);

#ifndef KEELBRIDGE_OVERLOAD_OUTAGE_RETRY_H_
#define KEELBRIDGE_OVERLOAD_OUTAGE_RETRY_H_

#include <cstdint>

#include "absl/time/time.h"
#include "keelbridge/protocol/job.h"

namespace keelbridge {

class OutageRetry {
 public:
  struct Options {
    // So many refused clients may return together.
    int64_t max_together = 16;
    // An outage that has lasted this long spreads clients over 3 s.
    absl::Duration long_outage = absl::Seconds(1);
    // An outage is over if no call was refused for this long. Longer than any
    // client is told to wait.
    absl::Duration quiet = absl::Seconds(4);
  };

  explicit OutageRetry(Options options) : options_(options) {}

  // Records that a call for the job is refused because of an outage. Returns
  // after how long the client is to return, in whole seconds.
  absl::Duration OnRefused(JobId job, absl::Time now);

 private:
  const Options options_;
  absl::Time began_ = absl::InfinitePast();
  absl::Time last_refused_ = absl::InfinitePast();
  int64_t refused_ = 0;  // Calls that were refused in this outage.
};

// Returns after how many seconds a client is to return, given the length of the
// outage and the number of calls that were refused in it before. Equal
// arguments give equal results.
int64_t OutageRetrySeconds(const OutageRetry::Options& options, JobId job,
                           absl::Duration outage, int64_t refused);

}  // namespace keelbridge

#endif  // KEELBRIDGE_OVERLOAD_OUTAGE_RETRY_H_
