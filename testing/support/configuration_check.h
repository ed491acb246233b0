// Judges whether nodes serve by the configurations that were written, from what
// callers saw of them. Thread-safe.
//
// A node must serve by a version once both are over: `kApplyTime` since it was
// written, and `kRecoveryTime` since trouble of the node, or of the store,
// ended. The two are not added to each other. From the same moment on a node
// does not refuse calls because its configuration may be old.
//
//   ConfigurationCheck check(4);
//   check.Written(2);
//   std::string fault = check.Seen({.node = 0, .version = 1, ...});

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
  // A node is in touch when nothing has disturbed it for so long (the users'
  // bound).
  static constexpr absl::Duration kRecoveryTime = absl::Seconds(3);
  // A node in touch serves by a version so long after it was written (the
  // users' bound).
  static constexpr absl::Duration kApplyTime = absl::Seconds(2);

  struct Observation {
    int node = 0;
    int64_t version = 0;  // By which it served; 0: it refused the call.
    absl::Time sent_at;   // Before the call was sent.
    NodeDisturbances::State before;  // The node's state then,
    NodeDisturbances::State after;   // and when the answer was there.
  };

  explicit ConfigurationCheck(int nodes)
      : newest_served_(static_cast<size_t>(nodes)) {}

  // A version was written to the store, at `now`.
  void RecordWrite(int64_t version, absl::Time now);
  int64_t newest() const;
  // What is wrong with what was seen, in words; empty: nothing.
  std::string CheckObservation(const Observation& observation);
  // This life of the node was seen to serve by the newest version.
  bool ServesNewest(int node, int incarnation) const;
  // From a change, or from when a node was in touch again, to the first sight
  // of the node that serves by it: the longest so far.
  absl::Duration max_delay() const;

 private:
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
  absl::Duration slowest_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_CONFIGURATION_CHECK_H_
