// Through which node a leader's orders reach a worker.
//
// Answers a site whose workers are too many for the leader's processor or link.
// With a request for each order a leader spent 0.34 of a processor on 1,100
// workers and 1,440 starts a second, and a link of 2 Mbit/s was full with 120
// workers. So beyond a number of workers other nodes carry the orders, many in
// one message: the ablest of each zone, for the workers of its zone. That takes
// 0.28 to 0.30 (scripts/measure-site 1100 300 8, two runs).
//
// Pure: nodes and what came of them in, routes out.
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
    // Workers whose orders a leader carries itself, for each processor that it
    // has. 350 workers took 0.25 to 0.29 of a processor of a leader with 0.5;
    // with 1,100 such a leader did not keep up on a calm day.
    double direct_workers_per_processor = 900;
    // One relay more for each so many workers of a zone. A relay of 367 workers
    // with 480 starts a second spends 0.09 of a processor on them.
    size_t workers_per_relay = 300;
    // A relay that did not answer carries nothing for so long, while its zone
    // has others. A leader that overloads its link would otherwise take all
    // orders back, and those overload it more.
    absl::Duration avoid = absl::Seconds(2);
  };
  struct Node {
    std::string name;
    std::string address;
    std::string zone;
    double capacity = 0;  // In processors.
  };

  explicit OrderRouting(Options options) : options_(options) {}

  // The other nodes that can carry orders, and what this one has itself.
  void SetNodes(std::vector<Node> nodes, double own_capacity);
  // A worker that orders go to, and one that is gone.
  void AddWorker(const std::string& worker, const std::string& zone);
  void RemoveWorker(const std::string& worker);
  // Null: this node carries the order itself, since it can, or since it hears
  // of no other in that zone. Valid until `SetNodes`.
  const Node* RouteOf(const std::string& worker, const std::string& zone,
                      absl::Time now) const;
  // Whether it was not avoided before.
  bool OnRelayFailure(const std::string& node, absl::Time now);
  // Whether other nodes carry orders.
  bool UsesRelays() const;

 private:
  const Options options_;
  double own_capacity_ = 1;
  std::map<std::string, std::vector<Node>> by_zone_;  // The ablest first.
  std::map<std::string, std::string> zone_of_worker_;
  std::map<std::string, size_t> workers_in_zone_;
  std::map<std::string, absl::Time> avoided_until_;  // By node.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_ORDER_ROUTING_H_
