// A leader's orders to workers, carried by other nodes where there are too many
// workers for one node; see `order_routing.h`.
//
// Orders for one relay are gathered for some milliseconds and travel together,
// and so do the answers on their way back. Of an order whose message got no
// answer nobody can tell whether it was carried out: it counts as unanswered,
// as one that a worker did not answer, and is never sent by another way, since
// two copies of an order cannot be told apart by their answers. A relay that
// did not answer is passed over for a while. While a relay has messages that it
// did not take yet, further orders wait, and those that wait for too long were
// never sent: a slow link or relay gets less instead of a queue.
//
//   OrderRelayClient orders(loop, direct, rpc, options);
//   orders.SetNodes(nodes, own_capacity);
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

// All on the loop's thread. Must outlive what the loop runs.
class OrderRelayClient : public WorkerOrders {
 public:
  // By which relays are given orders, and give their answers. Not "orders": a
  // relay of a version that knew no lives would take an id for a name.
  static constexpr char kOrdersMethod[] = "orders_to_lives";
  static constexpr char kRepliesMethod[] = "order_replies";
  // Orders are gathered for so long, and answers at the relay. With five relays
  // that makes 660 messages a second in both directions at most, whatever the
  // number of orders, for 15 ms more until a task starts.
  static constexpr absl::Duration kBatchDelay = absl::Milliseconds(15);

  struct Options {
    OrderRouting::Options routing;
    std::string own_address;  // Where relays send answers.
  };

  OrderRelayClient(boost::asio::io_context& loop, WorkerOrders& direct,
                   EventRpcClient& rpc, Options options);

  void SetNodes(std::vector<OrderRouting::Node> nodes, double own_capacity);
  // The answers that a relay sent.
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
    absl::Duration deadline;  // On `wait_clock_`.
    bool sent = false;        // Its message left, or may have.
  };
  // A message to a relay, or what is gathered for it.
  struct Batch {
    std::vector<Json::Value> rows;
    std::vector<int64_t> numbers;  // Of the rows.
  };
  struct Relay {
    OrderRouting::Node node;
    Batch queued;
    int in_flight = 0;  // Messages that it has not taken yet.
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
  // Ends orders whose answers did not come.
  void ExpireOverdue();

  boost::asio::io_context& loop_;
  WorkerOrders& direct_;
  EventRpcClient& rpc_;
  const Options options_;
  OrderRouting routing_;
  absl::flat_hash_map<int64_t, Pending> pending_;  // By number.
  std::map<std::string, Relay> relays_;            // By name.
  // Not from 1: a relay may still send the answers of an earlier life.
  int64_t next_number_;
  int64_t relayed_ = 0;
  int64_t unanswered_ = 0;
  EventTimer flush_timer_;
  EventTimer sweep_timer_;
  bool flush_scheduled_ = false;
  bool sweep_scheduled_ = false;
  // The time that answers were waited for since the beginning. It stands while
  // the loop does: what lies unread in a socket then is not late.
  absl::Duration wait_clock_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_ORDER_RELAY_CLIENT_H_
