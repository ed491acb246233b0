// Tracks since when each node of a soak test has been undisturbed, that is, its
// process runs, its proxies forward traffic and the store answers. Thread-safe.
//
//   NodeDisturbances disturbances(4);
//   disturbances.Disturb(2);
//   disturbances.Restore(2);  // Undisturbed from now on.

#ifndef KEELBRIDGE_TESTING_SUPPORT_NODE_DISTURBANCES_H_
#define KEELBRIDGE_TESTING_SUPPORT_NODE_DISTURBANCES_H_

#include <cstdint>
#include <mutex>
#include <vector>

#include "absl/time/time.h"

namespace keelbridge::testing {

class NodeDisturbances {
 public:
  struct State {
    // InfiniteFuture while the node is disturbed.
    absl::Time undisturbed_since;
    int incarnation = 0;  // Incremented whenever the process is replaced.
  };

  explicit NodeDisturbances(int nodes);

  // Disturbances of a node may overlap; each needs its own call of `Restore`.
  void Disturb(int node);
  void Restore(int node);
  void DisturbAll();
  void RestoreAll();
  // Records that the node's process has ended; the process that replaces it is
  // a new incarnation.
  void StartNextIncarnation(int node);
  State Get(int node) const;

 private:
  struct Node {
    int disturbances = 0;
    State state;
  };
  mutable std::mutex mutex_;
  std::vector<Node> nodes_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_NODE_DISTURBANCES_H_
