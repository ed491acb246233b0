#include "testing/support/node_disturbances.h"

#include "absl/time/clock.h"

namespace keelbridge::testing {

NodeDisturbances::NodeDisturbances(int nodes)
    : nodes_(static_cast<size_t>(nodes)) {
  for (Node& node : nodes_) node.state.undisturbed_since = absl::Now();
}

void NodeDisturbances::Disturb(int node) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Node& found = nodes_[static_cast<size_t>(node)];
  ++found.disturbances;
  found.state.undisturbed_since = absl::InfiniteFuture();
}

void NodeDisturbances::Restore(int node) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Node& found = nodes_[static_cast<size_t>(node)];
  if (--found.disturbances == 0) found.state.undisturbed_since = absl::Now();
}

void NodeDisturbances::DisturbAll() {
  for (size_t i = 0; i < nodes_.size(); ++i) Disturb(static_cast<int>(i));
}

void NodeDisturbances::RestoreAll() {
  for (size_t i = 0; i < nodes_.size(); ++i) Restore(static_cast<int>(i));
}

void NodeDisturbances::StartNextIncarnation(int node) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++nodes_[static_cast<size_t>(node)].state.incarnation;
}

NodeDisturbances::State NodeDisturbances::Get(int node) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return nodes_[static_cast<size_t>(node)].state;
}

}  // namespace keelbridge::testing
