// Sends a leader's orders to workers through other nodes (relays) where there
// are too many workers for one node; see `order_routing.h`.
//
// Orders for one relay are collected for some milliseconds and sent in one
// message, and so are the replies. If a message gets no reply, it is unknown
// whether its orders were executed. They count as unanswered, like an order
// that a worker did not answer, and are never sent by another path, because the
// replies to two copies of an order cannot be distinguished. A relay that did
// not answer is skipped for a while. While a relay has too many unacknowledged
// messages, further orders wait, and those that wait too long are reported as
// not sent. A slow link or relay thus gets fewer orders instead of a growing
// queue.
//
//   OrderRelayClient orders(loop, direct, rpc, options);
//   orders.SetNodes(nodes, own_capacity);
//   orders.BeginTerm();
//   orders.Start(worker, order, [](OrderReply reply) { ... });

#ifndef KEELBRIDGE_DAEMON_ORDER_RELAY_CLIENT_H_
#define KEELBRIDGE_DAEMON_ORDER_RELAY_CLIENT_H_

#include <json/json.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/coordination/order_routing.h"
#include "keelbridge/daemon/order_messages.h"
#include "keelbridge/protocol/site_worker.h"
#include "keelbridge/transport/event_rpc.h"
#include "keelbridge/transport/event_timer.h"

namespace keelbridge {

// Not thread-safe: use it on the loop's thread only. Must outlive the handlers
// that the loop runs.
class OrderRelayClient : public WorkerOrders {
 public:
  // RPC methods for orders to relays and for their replies. The first is not
  // named "orders" because a relay of a version without worker incarnations
  // would accept that method and read an id as a name.
  static constexpr char kOrdersMethod[] = "orders_to_lives";
  static constexpr char kRepliesMethod[] = "order_replies";
  // How long a leader collects orders, and a relay collects replies, before
  // sending them in one message. This delays the start of a task by 15 ms and
  // limits the traffic of five relays to 660 messages per second in both
  // directions, whatever the number of orders.
  static constexpr absl::Duration kBatchDelay = absl::Milliseconds(15);

  struct Options {
    OrderRouting::Options routing;
    std::string own_address;  // Address that relays send replies to.
  };

  OrderRelayClient(boost::asio::io_context& loop, WorkerOrders& direct,
                   EventRpcClient& rpc, Options options);

  void SetNodes(std::vector<OrderRouting::Node> nodes, double own_capacity);
  // To be called when a term of this node begins. Only workers of this term
  // count for the choice of relays: those of an earlier one may be gone.
  void BeginTerm() { routing_.RemoveAllWorkers(); }
  // Handles a message of replies from a relay.
  void HandleReplies(const Json::Value& params);
  int64_t relayed() const { return relayed_; }
  int64_t unanswered() const { return unanswered_; }

  void Start(const WorkerRecord& worker, const StartOrder& order,
             std::function<void(OrderReply)> done) override;
  void Stop(const WorkerRecord& worker, const StopOrder& order,
            std::function<void(OrderReply)> done) override;
  void Observe(const WorkerRecord& worker, const ObserveOrder& order,
               std::function<void(ObserveReply)> done) override;
  void Forget(const std::string& worker_id) override;

 private:
  using Done = std::function<void(ObserveReply)>;
  struct Pending {
    Done done;
    absl::Duration deadline;  // On the clock `wait_clock_`.
    bool sent = false;        // Its message was sent, or may have been.
  };
  // A message to a relay, or the orders collected for the next one.
  struct Batch {
    std::vector<Json::Value> rows;
    std::vector<int64_t> numbers;  // Order numbers of `rows`.
  };
  struct Relay {
    OrderRouting::Node node;
    Batch queued;
    int in_flight = 0;  // Messages that it has not acknowledged yet.
  };

  const OrderRouting::Node* RelayFor(const WorkerRecord& worker);
  void Enqueue(const OrderRouting::Node& node, RelayedOrder order,
               absl::Duration reply_timeout, Done done);
  void ScheduleFlush();
  void FlushAll();
  void Flush(Relay& relay);
  void OnDelivered(const std::string& name, const std::vector<int64_t>& numbers,
                   const RpcOutcome& outcome);
  void Finish(int64_t number, ObserveReply reply);
  void ScheduleSweep();
  // Finishes orders whose replies are overdue.
  void ExpireOverdue();

  boost::asio::io_context& loop_;
  WorkerOrders& direct_;
  EventRpcClient& rpc_;
  const Options options_;
  OrderRouting routing_;
  absl::flat_hash_map<int64_t, Pending> pending_;  // By order number.
  std::map<std::string, Relay> relays_;            // By node name.
  // Starts at a random number, because a relay may still send replies to orders
  // of an earlier process of this node.
  int64_t next_number_;
  int64_t relayed_ = 0;
  int64_t unanswered_ = 0;
  EventTimer flush_timer_;
  EventTimer sweep_timer_;
  bool flush_scheduled_ = false;
  bool sweep_scheduled_ = false;
  // Clock for reply deadlines. It does not advance while the event loop is
  // blocked, so that replies still unread in a socket are not overdue.
  absl::Duration wait_clock_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_ORDER_RELAY_CLIENT_H_
