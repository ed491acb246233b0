#include "testing/support/node_disturbances.h"

#include "absl/time/clock.h"

namespace keelbridge::testing {

NodeTouch::NodeTouch(int nodes) : nodes_(static_cast<size_t>(nodes)) {
  for (Node& node : nodes_) node.state.since = absl::Now();
}

void NodeTouch::Disturb(int node) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Node& found = nodes_[static_cast<size_t>(node)];
  ++found.disturbances;
  found.state.since = absl::InfiniteFuture();
}

void NodeTouch::Restore(int node) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Node& found = nodes_[static_cast<size_t>(node)];
  if (--found.disturbances == 0) found.state.since = absl::Now();
}

void NodeTouch::DisturbAll() {
  for (size_t i = 0; i < nodes_.size(); ++i) Disturb(static_cast<int>(i));
}

void NodeTouch::RestoreAll() {
  for (size_t i = 0; i < nodes_.size(); ++i) Restore(static_cast<int>(i));
}

void NodeTouch::NextLife(int node) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++nodes_[static_cast<size_t>(node)].state.life;
}

NodeTouch::State NodeTouch::Get(int node) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return nodes_[static_cast<size_t>(node)].state;
}

}  // namespace keelbridge::testing
