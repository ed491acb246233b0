// Checks that nodes apply new configuration versions in time, based on the
// replies that clients received. Thread-safe.
//
// A node must serve by a version once two times have passed: `kApplyTime` since
// the version was written, and `kRecoveryTime` since the last disturbance of
// the node or the store ended. The two times run concurrently; they are not
// added up. From that moment on, the node also must not refuse calls on the
// ground that its configuration may be outdated.
//
//   ConfigurationCheck check(4);
//   check.RecordWrite(2, absl::Now());
//   std::string violation =
//       check.CheckObservation({.node = 0, .version = 1, ...});

#ifndef KEELBRIDGE_TESTING_SUPPORT_CONFIGURATION_CHECK_H_
#define KEELBRIDGE_TESTING_SUPPORT_CONFIGURATION_CHECK_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "testing/support/node_disturbances.h"

namespace keelbridge::testing {

class ConfigurationCheck {
 public:
  // The time that a node has, after a disturbance ended, to apply the newest
  // version. This bound is a requirement of the users.
  static constexpr absl::Duration kRecoveryTime = absl::Seconds(3);
  // The time after a version was written within which an undisturbed node must
  // apply it. This bound is a requirement of the users.
  static constexpr absl::Duration kApplyTime = absl::Seconds(2);

  // What one call to a node showed.
  struct Observation {
    int node = 0;
    int64_t version = 0;  // The version served; 0 if the call was refused.
    absl::Time sent_at;   // The time just before the call was sent.
    NodeDisturbances::State before;  // The node's state before the call.
    NodeDisturbances::State after;   // The node's state after the reply.
  };

  explicit ConfigurationCheck(int nodes)
      : newest_served_(static_cast<size_t>(nodes)) {}

  // Records that `version` was written to the store at `now`.
  void RecordWrite(int64_t version, absl::Time now);
  int64_t newest() const;
  // Checks one observation. Returns a description of the violation, or an empty
  // string if there is none.
  std::string CheckObservation(const Observation& observation);
  // Returns whether the given incarnation of the node has been observed to
  // serve by the newest version.
  bool ServesNewest(int node, int incarnation) const;
  // Returns the longest time so far until a node was first observed to serve by
  // a version, counted from when the version was written or the node's
  // disturbance ended, whichever was later.
  absl::Duration max_delay() const;

 private:
  // The newest version that an incarnation of a node has served by.
  struct NewestServed {
    int incarnation = -1;
    int64_t version = 0;
  };
  std::string CheckRegression(const Observation& observation);
  std::string CheckLateness(const Observation& observation) const;
  std::string CheckRefusal(const Observation& observation) const;

  mutable std::mutex mutex_;
  std::map<int64_t, absl::Time> written_;    // By version.
  std::vector<NewestServed> newest_served_;  // By node.
  absl::Duration max_delay_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_CONFIGURATION_CHECK_H_
