#include "keelbridge/coordination/order_routing.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace keelbridge {
namespace {

const absl::Time kBegin = absl::UnixEpoch() + absl::Hours(1);

OrderRouting::Options SmallOptions() {
  OrderRouting::Options options;
  options.direct_workers_per_processor = 20;
  options.workers_per_relay = 6;
  return options;
}

// Two zones with ten workers each, and a leader that sends orders directly to
// at most ten workers.
OrderRouting TwoZones() {
  OrderRouting routing(SmallOptions());
  routing.SetNodes({{"weak", "1", "west", 0.1},
                    {"able", "2", "west", 0.5},
                    {"middle", "3", "west", 0.3},
                    {"east", "4", "east", 0.2}},
                   0.5);
  for (int i = 0; i < 10; ++i) {
    routing.AddWorker("w" + std::to_string(i), "west");
    routing.AddWorker("e" + std::to_string(i), "east");
  }
  return routing;
}

std::string RelayOf(const OrderRouting& routing, const std::string& worker,
                    const std::string& zone, absl::Time now = kBegin) {
  const OrderRouting::Node* relay = routing.RouteOf(worker, zone, now);
  return relay == nullptr ? "" : relay->name;
}

TEST_CASE("order routing: a leader with few workers sends orders directly") {
  OrderRouting routing = TwoZones();
  CHECK(routing.UsesRelays());
  for (int i = 0; i < 10; ++i) routing.RemoveWorker("e" + std::to_string(i));
  CHECK_FALSE(routing.UsesRelays());
  CHECK(RelayOf(routing, "w1", "west").empty());
}

TEST_CASE(
    "order routing: the nodes with the most capacity in a zone relay its "
    "orders") {
  const OrderRouting routing = TwoZones();
  std::map<std::string, int> orders_by_relay;
  for (int i = 0; i < 10; ++i) {
    ++orders_by_relay[RelayOf(routing, "w" + std::to_string(i), "west")];
    CHECK(RelayOf(routing, "e" + std::to_string(i), "east") == "east");
  }
  CHECK(orders_by_relay.size() == 2);
  CHECK(orders_by_relay["able"] > 0);
  CHECK(orders_by_relay["middle"] > 0);
}

TEST_CASE("order routing: a relay that did not answer is avoided for a while") {
  OrderRouting routing = TwoZones();
  routing.OnRelayFailure("east", kBegin);
  routing.OnRelayFailure("able", kBegin);
  for (int i = 0; i < 10; ++i)
    CHECK(RelayOf(routing, "w" + std::to_string(i), "west") != "able");
  bool used_again = false;
  for (int i = 0; i < 10; ++i)
    used_again = used_again || RelayOf(routing, "w" + std::to_string(i), "west",
                                       kBegin + absl::Seconds(2)) == "able";
  CHECK(used_again);
}

// A leader that overloads its link must not send all orders directly.
TEST_CASE("order routing: the last relay of a zone is never skipped") {
  OrderRouting routing = TwoZones();
  routing.OnRelayFailure("east", kBegin);
  CHECK(RelayOf(routing, "e1", "east") == "east");
}

// A zone that is out of reach has as many nodes as the site is large.
TEST_CASE("order routing: a bounded number of relays of a zone is tried") {
  for (const int nodes_in_zone : {20, 80}) {
    CAPTURE(nodes_in_zone);
    OrderRouting routing(SmallOptions());
    std::vector<OrderRouting::Node> nodes;
    nodes.reserve(static_cast<size_t>(nodes_in_zone));
    for (int i = 0; i < nodes_in_zone; ++i)
      nodes.push_back({"n" + std::to_string(i), "a", "west", 0.2});
    routing.SetNodes(nodes, 0.5);
    for (int i = 0; i < 20; ++i)
      routing.AddWorker("w" + std::to_string(i), "west");
    std::set<std::string> tried;
    for (int attempt = 0; attempt < 200; ++attempt) {
      const std::string relay =
          RelayOf(routing, "w" + std::to_string(attempt % 20), "west");
      routing.OnRelayFailure(relay, kBegin);
      tried.insert(relay);
    }
    // Twice the four relays of a zone with 20 workers.
    CHECK(tried.size() == 8);
  }
}

TEST_CASE("order routing: the loss of a relay moves only its own workers") {
  OrderRouting routing(SmallOptions());
  std::vector<OrderRouting::Node> nodes;
  nodes.reserve(8);
  for (int i = 0; i < 8; ++i)
    nodes.push_back({"n" + std::to_string(i), "a", "west", 0.2});
  routing.SetNodes(nodes, 0.5);
  constexpr int kWorkers = 40;
  std::map<std::string, std::string> before;
  for (int i = 0; i < kWorkers; ++i)
    routing.AddWorker("w" + std::to_string(i), "west");
  for (int i = 0; i < kWorkers; ++i) {
    const std::string worker = "w" + std::to_string(i);
    before[worker] = RelayOf(routing, worker, "west");
  }
  routing.OnRelayFailure("n2", kBegin);
  for (const auto& [worker, relay] : before) {
    const std::string now = RelayOf(routing, worker, "west");
    // The relay that takes the place of the lost one may take workers of all.
    if (relay != "n2") CHECK((now == relay || now == "n7"));
  }
}

TEST_CASE(
    "order routing: orders to a zone without other nodes are sent directly") {
  const OrderRouting routing = TwoZones();
  CHECK(RelayOf(routing, "n1", "north").empty());
}

}  // namespace
}  // namespace keelbridge
