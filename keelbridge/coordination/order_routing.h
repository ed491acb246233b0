// Chooses the node through which a leader's orders reach each worker.
//
// A leader that sends one request per order is limited by its processor and its
// link: it used 0.34 of a processor for 1,100 workers and 1,440 starts per
// second, and 120 workers saturated a link of 2 Mbit/s. Above a number of
// workers, the leader therefore batches the orders and sends them through
// relays: the nodes with the most capacity in each zone carry the orders for
// the workers of that zone. With relays, the same load uses 0.28 to 0.30 of a
// processor of the leader.
//
// OrderRouting performs no I/O and reads no clock.
//
//   OrderRouting routing(options);
//   routing.SetNodes(peers, own_capacity);
//   const OrderRouting::Node* relay = routing.RouteOf(worker, zone, now);
//   if (relay == nullptr) SendDirectly();

#ifndef KEELBRIDGE_COORDINATION_ORDER_ROUTING_H_
#define KEELBRIDGE_COORDINATION_ORDER_ROUTING_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"

namespace keelbridge {

class OrderRouting {
 public:
  struct Options {
    // Maximum number of workers, per processor of the leader, to which the
    // leader sends orders directly. 350 workers use 0.25 to 0.29 of a processor
    // of a leader with 0.5 processors; with 1,100 workers such a leader does
    // not keep up under normal load.
    double direct_workers_per_processor = 900;
    // A zone has one relay, and one more for each full `workers_per_relay`
    // workers. A relay for 367 workers with 480 starts per second uses 0.09 of
    // a processor.
    size_t workers_per_relay = 300;
    // A relay that did not answer carries no orders for this duration while its
    // zone has other relays. If the leader sent these orders directly instead,
    // a leader that overloads its link would overload it further.
    absl::Duration avoid_duration = absl::Seconds(2);
    // Number of nodes of a zone that are tried as relays, as a multiple of the
    // relays that the zone has. If none of them answers, the zone is likely out
    // of reach, and trying all others would delay its orders for seconds.
    size_t relay_attempts = 2;
  };
  struct Node {
    std::string name;
    std::string address;
    std::string zone;
    double capacity = 0;  // In processors.
  };

  explicit OrderRouting(Options options) : options_(options) {}

  // Sets the other nodes that can relay orders and the capacity of this node.
  void SetNodes(std::vector<Node> nodes, double own_capacity);
  // Adds or removes a worker that receives orders.
  void AddWorker(const std::string& worker, const std::string& zone);
  void RemoveWorker(const std::string& worker);
  void RemoveAllWorkers();
  // Returns the relay for orders to `worker`. Returns nullptr if this node
  // sends the order directly, because it has the capacity or knows no other
  // node in that zone. The pointer is valid until the next call of SetNodes().
  const Node* RouteOf(const std::string& worker, const std::string& zone,
                      absl::Time now) const;
  // Avoids `node` for Options::avoid_duration because it did not answer.
  // Returns true if the node was not being avoided before.
  bool OnRelayFailure(const std::string& node, absl::Time now);
  // Returns true if there are too many workers to send orders to directly.
  bool UsesRelays() const;

 private:
  // Returns up to `count` of the first `considered` nodes that are not avoided.
  std::vector<const Node*> UsableNodes(const std::vector<Node>& nodes,
                                       size_t considered, size_t count,
                                       absl::Time now) const;

  const Options options_;
  double own_capacity_ = 1;
  // The nodes of each zone, by descending capacity.
  std::map<std::string, std::vector<Node>> by_zone_;
  std::map<std::string, std::string> zone_of_worker_;
  std::map<std::string, size_t> workers_in_zone_;
  std::map<std::string, absl::Time> avoided_until_;  // Keyed by node name.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_ORDER_ROUTING_H_
