#include "keelbridge/daemon/order_relay_server.h"

#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/order_relay_client.h"
#include "keelbridge/transport/event_timer.h"

namespace keelbridge {
namespace {

// A leader acknowledges replies immediately, so this only covers the lag of its
// event loop and the network.
constexpr absl::Duration kRepliesTimeout = absl::Milliseconds(700);
// Unacknowledged replies are sent again; the leader handles each reply once. A
// leader stops waiting for an order after at most 1.8 s.
constexpr int kMaxTries = 3;
constexpr absl::Duration kRetryDelay = absl::Milliseconds(50);
// Connections to a worker that receives no orders are closed after this. A
// leader observes each worker every second.
constexpr absl::Duration kIdleTimeout = absl::Seconds(20);
constexpr absl::Duration kIdleCheckInterval = absl::Seconds(5);

}  // namespace

OrderRelayServer::OrderRelayServer(boost::asio::io_context& loop,
                                   WorkerOrders& workers, EventRpcClient& rpc)
    : loop_(loop), workers_(workers), rpc_(rpc) {}

void OrderRelayServer::HandleOrders(const Json::Value& params) {
  const std::string reply_to = params["reply_to"].asString();
  for (const Json::Value& row : params["rows"]) {
    const auto order = OrderFromRow(row);
    if (order) {
      ForwardOrder(*order, reply_to);
      continue;
    }
    LogEvent(Severity::kError, "order_unreadable",
             {{"leader", reply_to}, {"row", ToJsonText(row).substr(0, 200)}});
  }
  CloseIdleConnections();
}

void OrderRelayServer::ForwardOrder(const RelayedOrder& order,
                                    const std::string& reply_to) {
  ++forwarded_;
  last_order_times_[order.worker.id] = SystemNow().mono;
  const auto answer = [this, reply_to,
                       number = order.number](OrderReply reply) {
    ObserveReply out;
    out.order = std::move(reply);
    QueueReply(reply_to, number, std::move(out));
  };
  if (const auto* start = std::get_if<StartOrder>(&order.order))
    return workers_.Start(order.worker, *start, answer);
  if (const auto* stop = std::get_if<StopOrder>(&order.order))
    return workers_.Stop(order.worker, *stop, answer);
  workers_.Observe(order.worker, std::get<ObserveOrder>(order.order),
                   [this, reply_to, number = order.number](ObserveReply reply) {
                     QueueReply(reply_to, number, std::move(reply));
                   });
}

void OrderRelayServer::QueueReply(const std::string& reply_to, int64_t number,
                                  ObserveReply reply) {
  Json::Value& rows = queued_replies_[reply_to];
  const bool first = rows.empty();
  rows.append(ToRow(RelayedReply{number, std::move(reply)}));
  if (!first) return;
  RunAfter(loop_, OrderRelayClient::kBatchDelay,
           [this, reply_to] { Flush(reply_to); });
}

void OrderRelayServer::Flush(const std::string& reply_to) {
  const auto found = queued_replies_.find(reply_to);
  if (found == queued_replies_.end()) return;
  Json::Value params(Json::objectValue);
  params["rows"] = std::move(found->second);
  queued_replies_.erase(found);
  Send(reply_to, params, 1);
}

void OrderRelayServer::Send(const std::string& reply_to,
                            const Json::Value& params, int tries) {
  rpc_.Call(
      reply_to, OrderRelayClient::kRepliesMethod, params, kRepliesTimeout,
      [this, reply_to, params, tries](const RpcOutcome& outcome) {
        if (outcome.answered) return;
        LogEvent(Severity::kWarning, "order_replies_not_taken",
                 {{"leader", reply_to},
                  {"answers", absl::StrCat(params["rows"].size())},
                  {"tries", absl::StrCat(tries)},
                  {"detail", outcome.error}});
        if (tries >= kMaxTries) return;
        RunAfter(loop_, kRetryDelay, [this, reply_to, params, tries] {
          Send(reply_to, params, tries + 1);
        });
      },
      RpcLane::kOrders);
}

void OrderRelayServer::CloseIdleConnections() {
  const absl::Time now = SystemNow().mono;
  if (now < next_idle_check_) return;
  next_idle_check_ = now + kIdleCheckInterval;
  std::vector<std::string> idle;
  for (const auto& [worker, last] : last_order_times_) {
    if (now - last > kIdleTimeout) idle.push_back(worker);
  }
  for (const std::string& worker : idle) {
    workers_.Forget(worker);
    last_order_times_.erase(worker);
  }
}

}  // namespace keelbridge
