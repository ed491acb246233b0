// Since when each node of a soak has been undisturbed: its process runs, its
// proxies pass, the store answers. Thread-safe.
//
//   NodeDisturbances touch(4);
//   touch.Disturb(2);
//   touch.Restore(2);  // In touch from now on.

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
    absl::Time undisturbed_since;  // InfiniteFuture: it is disturbed now.
    int incarnation = 0;           // Counts the processes that were started.
  };

  explicit NodeDisturbances(int nodes);

  // Disturbances of a node may overlap: each needs its own `Restore`.
  void Disturb(int node);
  void Restore(int node);
  void DisturbAll();
  void RestoreAll();
  // The process has ended; the one that replaces it is another life.
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
