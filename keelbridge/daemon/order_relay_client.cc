#include "keelbridge/daemon/order_relay_client.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/transport/trace.h"

namespace keelbridge {
namespace {

// A relay acknowledges a message immediately, so this only covers the lag of
// two event loops and the network. The orders in it have timeouts of their own.
constexpr absl::Duration kDeliveryTimeout = absl::Seconds(1);
// Maximum number of unacknowledged messages per relay. A second one hides the
// round trip; further ones would only queue on a slow link.
constexpr int kMaxInFlight = 2;
// What a relay adds to an order's own timeout: two batch delays, four network
// hops, and the lag of two event loops.
constexpr absl::Duration kRelayAllowance = absl::Milliseconds(150);
constexpr absl::Duration kSweepInterval = absl::Milliseconds(50);

ObserveReply UnansweredReply(OrderResult result, std::string why) {
  ObserveReply reply;
  reply.order.result = result;
  reply.order.message = std::move(why);
  return reply;
}

}  // namespace

OrderRelayClient::OrderRelayClient(boost::asio::io_context& loop,
                                   WorkerOrders& direct, EventRpcClient& rpc,
                                   Options options)
    : loop_(loop),
      direct_(direct),
      rpc_(rpc),
      options_(std::move(options)),
      routing_(options_.routing),
      next_number_(static_cast<int64_t>(RandomId() >> 2)),
      flush_timer_(loop),
      sweep_timer_(loop) {}

void OrderRelayClient::SetNodes(std::vector<OrderRouting::Node> nodes,
                                double own_capacity) {
  routing_.SetNodes(std::move(nodes), own_capacity);
}

const OrderRouting::Node* OrderRelayClient::RelayFor(
    const WorkerRecord& worker) {
  routing_.AddWorker(worker.id, worker.zone);
  return routing_.RouteOf(worker.id, worker.zone, SystemNow().mono);
}

void OrderRelayClient::Start(const WorkerRecord& worker,
                             const StartOrder& order,
                             std::function<void(OrderReply)> done) {
  const OrderRouting::Node* relay = RelayFor(worker);
  if (relay == nullptr) return direct_.Start(worker, order, std::move(done));
  Enqueue(*relay, {0, worker, order}, order.timeout,
          [done = std::move(done)](const ObserveReply& reply) {
            done(reply.order);
          });
}

void OrderRelayClient::Stop(const WorkerRecord& worker, const StopOrder& order,
                            std::function<void(OrderReply)> done) {
  const OrderRouting::Node* relay = RelayFor(worker);
  if (relay == nullptr) return direct_.Stop(worker, order, std::move(done));
  Enqueue(*relay, {0, worker, order}, order.timeout,
          [done = std::move(done)](const ObserveReply& reply) {
            done(reply.order);
          });
}

void OrderRelayClient::Observe(const WorkerRecord& worker,
                               const ObserveOrder& order,
                               std::function<void(ObserveReply)> done) {
  const OrderRouting::Node* relay = RelayFor(worker);
  if (relay == nullptr) return direct_.Observe(worker, order, std::move(done));
  Enqueue(*relay, {0, worker, order},
          order.timeout + absl::Milliseconds(order.wait_ms), std::move(done));
}

void OrderRelayClient::Forget(const std::string& worker_id) {
  routing_.RemoveWorker(worker_id);
  direct_.Forget(worker_id);
}

void OrderRelayClient::Enqueue(const OrderRouting::Node& node,
                               RelayedOrder order, absl::Duration reply_timeout,
                               Done done) {
  order.number = next_number_++;
  ++relayed_;
  Relay& relay = relays_[node.name];
  relay.node = node;
  relay.queued.rows.push_back(ToRow(order));
  relay.queued.numbers.push_back(order.number);
  pending_.emplace(order.number, Pending{std::move(done),
                                         wait_clock_ + kBatchDelay +
                                             reply_timeout + kRelayAllowance});
  ScheduleFlush();
  ScheduleSweep();
}

void OrderRelayClient::ScheduleFlush() {
  if (std::exchange(flush_scheduled_, true)) return;
  flush_timer_.expires_after(absl::ToChronoNanoseconds(kBatchDelay));
  flush_timer_.async_wait([this](boost::system::error_code error) {
    flush_scheduled_ = false;
    if (!error) FlushAll();
  });
}

void OrderRelayClient::FlushAll() {
  for (auto& [name, relay] : relays_) Flush(relay);
}

void OrderRelayClient::Flush(Relay& relay) {
  if (relay.queued.rows.empty() || relay.in_flight >= kMaxInFlight) return;
  Batch batch = std::exchange(relay.queued, {});
  Json::Value params(Json::objectValue);
  params["reply_to"] = options_.own_address;
  Json::Value& rows = params["rows"] = Json::Value(Json::arrayValue);
  for (size_t i = 0; i < batch.rows.size(); ++i) {
    const auto pending = pending_.find(batch.numbers[i]);
    if (pending == pending_.end()) continue;  // Expired while it waited.
    pending->second.sent = true;
    rows.append(std::move(batch.rows[i]));
  }
  if (rows.empty()) return;
  ++relay.in_flight;
  rpc_.Call(
      relay.node.address, kOrdersMethod, std::move(params), kDeliveryTimeout,
      [this, name = relay.node.name, numbers = std::move(batch.numbers)](
          const RpcOutcome& outcome) { OnDelivered(name, numbers, outcome); },
      RpcLane::kOrders);
}

void OrderRelayClient::OnDelivered(const std::string& name,
                                   const std::vector<int64_t>& numbers,
                                   const RpcOutcome& outcome) {
  Relay& relay = relays_[name];
  --relay.in_flight;
  ScheduleFlush();
  if (outcome.answered) return;
  if (routing_.OnRelayFailure(name, SystemNow().mono)) {
    LogEvent(Severity::kWarning, "relay_silent",
             {{"relay", name},
              {"orders", absl::StrCat(numbers.size())},
              {"detail", outcome.error}});
  }
  const OrderResult result =
      outcome.sent ? OrderResult::kUnknown : OrderResult::kNotSent;
  for (const int64_t number : numbers)
    Finish(number, UnansweredReply(result, outcome.error));
}

void OrderRelayClient::HandleReplies(const Json::Value& params) {
  for (const Json::Value& row : params["rows"]) {
    auto reply = ReplyFromRow(row);
    if (reply) {
      Finish(reply->number, std::move(reply->reply));
      continue;
    }
    LogEvent(Severity::kError, "order_reply_unreadable",
             {{"row", ToJsonText(row).substr(0, 200)}});
  }
}

void OrderRelayClient::Finish(int64_t number, ObserveReply reply) {
  const auto found = pending_.find(number);
  if (found == pending_.end()) return;  // Already answered or expired.
  const Done done = std::move(found->second.done);
  pending_.erase(found);
  done(std::move(reply));
}

void OrderRelayClient::ScheduleSweep() {
  if (std::exchange(sweep_scheduled_, true)) return;
  sweep_timer_.expires_after(absl::ToChronoNanoseconds(kSweepInterval));
  sweep_timer_.async_wait([this](boost::system::error_code error) {
    sweep_scheduled_ = false;
    if (!error) ExpireOverdue();
  });
}

void OrderRelayClient::ExpireOverdue() {
  wait_clock_ += kSweepInterval;
  std::vector<int64_t> overdue;
  for (const auto& [number, pending] : pending_) {
    if (pending.deadline < wait_clock_) overdue.push_back(number);
  }
  for (const int64_t number : overdue) {
    const auto found = pending_.find(number);
    if (found == pending_.end()) continue;
    ++unanswered_;
    const bool sent = found->second.sent;
    Finish(number, sent ? UnansweredReply(OrderResult::kUnknown,
                                          "no answer through the relay")
                        : UnansweredReply(OrderResult::kNotAttempted,
                                          "the relay takes no orders"));
  }
  if (!pending_.empty()) ScheduleSweep();
}

}  // namespace keelbridge
