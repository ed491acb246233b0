// Tests orders through a relay over real loopback connections.

#include "keelbridge/daemon/order_relay_client.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "keelbridge/daemon/order_relay_server.h"

namespace keelbridge {
namespace {

constexpr char kZone[] = "zone-1";

// Workers that give the reply that the test sets, or none.
class FakeWorkers : public WorkerOrders {
 public:
  void Start(const WorkerRecord& worker, const StartOrder& order,
             std::function<void(OrderReply)> done) override {
    starts.push_back({worker, order});
    if (!unresponsive) done(reply.order);
  }
  void Stop(const WorkerRecord&, const StopOrder& order,
            std::function<void(OrderReply)> done) override {
    stops.push_back(order);
    if (!unresponsive) done(reply.order);
  }
  void Observe(const WorkerRecord&, const ObserveOrder& order,
               std::function<void(ObserveReply)> done) override {
    observations.push_back(order);
    if (!unresponsive) done(reply);
  }
  void Forget(const std::string&) override {}

  bool unresponsive = false;
  ObserveReply reply;
  std::vector<std::pair<WorkerRecord, StartOrder>> starts;
  std::vector<StopOrder> stops;
  std::vector<ObserveOrder> observations;
};

// A leader and one relay, each with a server of its own.
class Pair {
 public:
  explicit Pair(double direct_workers = 0)
      : client_(loop),
        leader_server_(loop, {"127.0.0.1", 0, ""}),
        relay_server_(loop, {"127.0.0.1", 0, ""}),
        relay_(loop, workers, client_) {
    const auto leader_port = leader_server_.Start();
    relay_port_ = relay_server_.Start().value();
    OrderRelayClient::Options options;
    options.routing.direct_workers_per_processor = direct_workers;
    options.own_address = absl::StrCat("127.0.0.1:", leader_port.value());
    orders = std::make_unique<OrderRelayClient>(loop, direct, client_, options);
    leader_server_.Add(
        OrderRelayClient::kRepliesMethod,
        [this](const Json::Value& params, const EventRpcServer::Reply& done) {
          done({Json::Value(Json::objectValue), 0, ""});
          orders->HandleReplies(params);
        });
    relay_server_.Add(
        OrderRelayClient::kOrdersMethod,
        [this](const Json::Value& params, const EventRpcServer::Reply& done) {
          ++messages;
          done({Json::Value(Json::objectValue), 0, ""});
          relay_.HandleOrders(params);
        });
    UseRelay(absl::StrCat("127.0.0.1:", relay_port_));
  }

  void UseRelay(const std::string& address) {
    orders->SetNodes({{"relay", address, kZone, 1.0}}, 1.0);
  }

  WorkerRecord Worker(const std::string& zone = kZone) const {
    WorkerRecord worker;
    worker.id = "w";
    worker.address = "10.0.0.1:80";
    worker.zone = zone;
    return worker;
  }

  std::optional<OrderResult> Start(const WorkerRecord& worker,
                                   absl::Duration time) {
    // The reply may arrive while a later call runs the loop.
    const auto result = std::make_shared<std::optional<OrderResult>>();
    StartOrder order;
    order.task = {7, 0, 1, 2};
    order.run = 3;
    order.payload = "payload";
    order.checkpoint = "saved";
    order.ticket = "ticket";
    order.lease_until_ms = 9000;
    order.fence = 5;
    orders->Start(worker, order, [result](const OrderReply& reply) {
      *result = reply.result;
    });
    Run(time);
    return *result;
  }

  void Run(absl::Duration time) {
    loop.run_for(absl::ToChronoMilliseconds(time));
  }

  boost::asio::io_context loop;
  FakeWorkers workers;  // Reached through the relay.
  FakeWorkers direct;   // Reached directly by the leader.
  std::unique_ptr<OrderRelayClient> orders;
  int messages = 0;

 private:
  EventRpcClient client_;
  EventRpcServer leader_server_;
  EventRpcServer relay_server_;
  OrderRelayServer relay_;
  int relay_port_ = 0;
};

TEST_CASE(
    "relayed orders: a start arrives with all fields, and its reply is "
    "returned") {
  Pair pair;
  pair.workers.reply.order.result = OrderResult::kNoCapacity;
  CHECK(pair.Start(pair.Worker(), absl::Milliseconds(200)) ==
        OrderResult::kNoCapacity);
  REQUIRE(pair.workers.starts.size() == 1);
  const auto& [worker, order] = pair.workers.starts[0];
  CHECK(worker.id == "w");
  CHECK(worker.address == "10.0.0.1:80");
  CHECK(order.task == TaskId{7, 0, 1, 2});
  CHECK(order.run == 3);
  CHECK(order.payload == "payload");
  CHECK(order.checkpoint == "saved");
  CHECK(order.ticket == "ticket");
  CHECK(order.lease_until_ms == 9000);
  CHECK(order.fence == 5);
  CHECK(pair.direct.starts.empty());
}

TEST_CASE("relayed orders: an observation returns running and ended tasks") {
  Pair pair;
  pair.workers.reply.order.result = OrderResult::kDone;
  pair.workers.reply.order.clock_ms = 1234;
  pair.workers.reply.running = {{{7, 0, 0, 1}, 2, "saved", 40}};
  pair.workers.reply.ended = {{9, {7, 0, 0, 2}, 1, RunEnd::kStopped, "kept"}};
  pair.workers.reply.more_ends = true;
  std::optional<ObserveReply> received;
  ObserveOrder observe;
  observe.ends_acknowledged = 8;
  observe.lease_until_ms = 4000;
  observe.wait_ms = 100;
  pair.orders->Observe(pair.Worker(), observe, [&](ObserveReply reply) {
    received = std::move(reply);
  });
  pair.Run(absl::Milliseconds(200));
  REQUIRE(received.has_value());
  REQUIRE(pair.workers.observations.size() == 1);
  CHECK(pair.workers.observations[0].ends_acknowledged == 8);
  CHECK(pair.workers.observations[0].lease_until_ms == 4000);
  CHECK(pair.workers.observations[0].wait_ms == 100);
  CHECK(received->order.result == OrderResult::kDone);
  CHECK(received->order.clock_ms == 1234);
  REQUIRE(received->running.size() == 1);
  CHECK(received->running[0].task == TaskId{7, 0, 0, 1});
  CHECK(received->running[0].percent == 40);
  REQUIRE(received->ended.size() == 1);
  CHECK(received->ended[0].number == 9);
  CHECK(received->ended[0].end == RunEnd::kStopped);
  CHECK(received->more_ends);
}

// 200 orders at once take one message in each direction per 15 ms instead of
// 200.
TEST_CASE("relayed orders: simultaneous orders share a message") {
  Pair pair;
  pair.workers.reply.order.result = OrderResult::kDone;
  int answered = 0;
  for (int i = 0; i < 200; ++i) {
    pair.orders->Stop(pair.Worker(), StopOrder(),
                      [&](const OrderReply&) { ++answered; });
  }
  pair.Run(absl::Milliseconds(300));
  CHECK(answered == 200);
  MESSAGE("messages for 200 orders: 200 unbatched, ", pair.messages,
          " batched");
  CHECK(pair.messages <= 2);
}

// A start that was never sent has not run, so the task may start elsewhere
// immediately.
TEST_CASE(
    "relayed orders: an order through an unreachable relay is reported as not "
    "sent") {
  Pair pair;
  pair.UseRelay("127.0.0.1:1");
  CHECK(pair.Start(pair.Worker(), absl::Milliseconds(300)) ==
        OrderResult::kNotSent);
}

// Guards against workers that are taken for silent because the relay
// acknowledges nothing: the orders behind the messages in flight were not sent.
TEST_CASE(
    "relayed orders: an order that a relay has no room for is reported as not "
    "attempted") {
  Pair pair;
  boost::asio::ip::tcp::acceptor silent(
      pair.loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  pair.UseRelay(absl::StrCat("127.0.0.1:", silent.local_endpoint().port()));
  // Two messages, with one order each, are in flight.
  pair.Start(pair.Worker(), absl::Milliseconds(50));
  pair.Start(pair.Worker(), absl::Milliseconds(50));
  CHECK(pair.Start(pair.Worker(), absl::Milliseconds(850)) ==
        OrderResult::kNotAttempted);
}

// The worker may have received the order, so it must not be reported as not
// executed.
TEST_CASE("relayed orders: an order without a reply has an unknown result") {
  Pair pair;
  pair.workers.unresponsive = true;
  CHECK_FALSE(pair.Start(pair.Worker(), absl::Milliseconds(300)).has_value());
  CHECK(pair.Start(pair.Worker(), absl::Seconds(1)) == OrderResult::kUnknown);
  CHECK(pair.orders->unanswered() == 2);
}

TEST_CASE(
    "relayed orders: orders to a zone without a relay are sent directly") {
  Pair pair;
  pair.direct.reply.order.result = OrderResult::kDone;
  CHECK(pair.Start(pair.Worker("elsewhere"), absl::Milliseconds(50)) ==
        OrderResult::kDone);
  CHECK(pair.direct.starts.size() == 1);
}

// Guards against a leader that sends orders through relays because of workers
// of its earlier terms, which may be gone.
TEST_CASE("relayed orders: only the workers of this term count") {
  Pair pair(/*direct_workers=*/1);
  pair.direct.reply.order.result = OrderResult::kDone;
  WorkerRecord first = pair.Worker();
  WorkerRecord second = pair.Worker();
  second.id = "w2";
  pair.Start(first, absl::Milliseconds(10));
  pair.Start(second, absl::Milliseconds(10));
  CHECK(pair.direct.starts.size() == 1);
  pair.orders->BeginTerm();
  pair.Start(second, absl::Milliseconds(10));
  CHECK(pair.direct.starts.size() == 2);
}

// A relay may still send replies to orders of an earlier process that had the
// leader's address.
TEST_CASE(
    "relayed orders: a reply to an order of an earlier process is ignored") {
  Pair pair;
  pair.workers.unresponsive = true;
  std::optional<OrderResult> result;
  pair.orders->Start(
      pair.Worker(), StartOrder(),
      [&result](const OrderReply& reply) { result = reply.result; });
  pair.Run(absl::Milliseconds(50));
  Json::Value params(Json::objectValue);
  for (int64_t number = 0; number < 100; ++number) {
    RelayedReply stale;
    stale.number = number;
    stale.reply.order.result = OrderResult::kNoCapacity;
    params["rows"].append(ToRow(stale));
  }
  pair.orders->HandleReplies(params);
  CHECK_FALSE(result.has_value());
}

TEST_CASE("order messages: malformed orders and replies are rejected") {
  CHECK_FALSE(OrderFromRow(Json::Value("text")).has_value());
  CHECK_FALSE(OrderFromRow(Json::Value(Json::arrayValue)).has_value());
  Json::Value row = ToRow(RelayedOrder{1, WorkerRecord(), StopOrder()});
  CHECK(OrderFromRow(row).has_value());
  row[1] = 99;  // An unknown order kind.
  CHECK_FALSE(OrderFromRow(row).has_value());
  CHECK_FALSE(ReplyFromRow(Json::Value(Json::arrayValue)).has_value());
}

}  // namespace
}  // namespace keelbridge
