#include "keelbridge/transport/event_rpc.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <vector>

#include "keelbridge/base/clock.h"

namespace keelbridge {
namespace {

TEST_CASE("event rpc: a control call does not wait for stuck work calls") {
  boost::asio::io_context loop;
  EventRpcServer server(loop, {"127.0.0.1", 0, ""});
  std::vector<EventRpcServer::Reply> pending_replies;
  server.Add("work", [&](const Json::Value&, EventRpcServer::Reply reply) {
    pending_replies.push_back(std::move(reply));
  });
  server.Add("control",
             [](const Json::Value&, const EventRpcServer::Reply& reply) {
               reply({Json::Value(true), 0, ""});
             });
  const auto port = server.Start();
  REQUIRE(port);
  const Address listen{"127.0.0.1", port.value(), ""};
  // Many peers, each with more work calls in flight than it may have
  // connections.
  std::vector<std::unique_ptr<EventRpcClient>> peers;
  int answered = 0;
  constexpr int kPeers = 43;
  constexpr int kCallsPerPeer = 30;
  for (int i = 0; i < kPeers; ++i) {
    peers.push_back(std::make_unique<EventRpcClient>(loop));
    for (int call = 0; call < kCallsPerPeer; ++call)
      peers.back()->Call(listen.ToString(), "work", Json::Value(),
                         absl::Seconds(20), [](const RpcOutcome&) {});
  }
  loop.run_for(std::chrono::milliseconds(500));
  for (const auto& peer : peers) {
    peer->Call(
        listen.ToString(), "control", Json::Value(), absl::Seconds(2),
        [&](const RpcOutcome& outcome) { answered += outcome.answered; },
        RpcLane::kControl);
  }
  const absl::Time deadline = SystemNow().mono + absl::Seconds(5);
  while (answered < kPeers && SystemNow().mono < deadline)
    loop.run_for(std::chrono::milliseconds(20));
  CHECK(answered == kPeers);
}

// Calls `address` and waits until the call has timed out.
RpcOutcome CallUntilTimeout(const Address& address, const Json::Value& params) {
  boost::asio::io_context loop;
  EventRpcClient client(loop);
  std::optional<RpcOutcome> result;
  client.Call(address.ToString(), "work", params, absl::Milliseconds(200),
              [&](const RpcOutcome& outcome) { result = outcome; });
  loop.run_for(std::chrono::seconds(2));
  REQUIRE(result);
  return *result;
}

TEST_CASE("event rpc: a stalled peer does not run calls that timed out") {
  boost::asio::io_context loop;
  EventRpcServer server(loop, {"127.0.0.1", 0, ""});
  int run_count = 0;
  server.Add("work",
             [&](const Json::Value&, const EventRpcServer::Reply& reply) {
               ++run_count;
               reply({Json::Value(true), 0, ""});
             });
  const auto port = server.Start();
  REQUIRE(port);
  // The server's loop does not run during the call.
  const RpcOutcome outcome =
      CallUntilTimeout({"127.0.0.1", port.value(), ""}, Json::Value());
  CHECK(!outcome.answered);
  CHECK(outcome.sent);
  loop.run_for(std::chrono::milliseconds(300));
  CHECK(run_count == 0);
}

TEST_CASE("event rpc: a call that timed out is not sent later") {
  using Tcp = boost::asio::ip::tcp;
  boost::asio::io_context loop;
  Tcp::acceptor acceptor(loop, Tcp::v4());
  // A small receive buffer, so that most of the call stays in the send buffer
  // of the client.
  acceptor.set_option(boost::asio::socket_base::receive_buffer_size(16 << 10));
  acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
  acceptor.listen();
  const Address address{"127.0.0.1", acceptor.local_endpoint().port(), ""};
  constexpr size_t kCallBytes = 1 << 20;
  const RpcOutcome outcome =
      CallUntilTimeout(address, Json::Value(std::string(kCallBytes, 'x')));
  CHECK(!outcome.answered);
  CHECK(outcome.sent);
  Tcp::socket socket = acceptor.accept();
  std::string received(4 * kCallBytes, ' ');
  size_t total = 0;
  boost::system::error_code error;
  while (!error)
    total += socket.read_some(
        boost::asio::buffer(&received[total], received.size() - total), error);
  CHECK(total < kCallBytes);
}

// Without an error response the caller would wait until its timeout.
TEST_CASE("event rpc: a call with parameters of the wrong type gets an error") {
  boost::asio::io_context loop;
  EventRpcServer server(loop, {"127.0.0.1", 0, ""});
  server.Add("add",
             [](const Json::Value& params, const EventRpcServer::Reply& reply) {
               reply({Json::Value(params["a"].asInt() + 1), 0, ""});
             });
  const auto port = server.Start();
  REQUIRE(port);
  EventRpcClient client(loop);
  Json::Value wrong_type(Json::objectValue);
  wrong_type["a"] = "text";
  for (const Json::Value& params : {wrong_type, Json::Value("text")}) {
    std::optional<RpcOutcome> result;
    client.Call(Address{"127.0.0.1", port.value(), ""}.ToString(), "add",
                params, absl::Seconds(5),
                [&](const RpcOutcome& outcome) { result = outcome; });
    CHECK_NOTHROW(loop.run_for(std::chrono::milliseconds(300)));
    REQUIRE(result);
    CHECK(!result->answered);
    CHECK(result->sent);
    CHECK_FALSE(result->error.empty());
  }
}

// An uncaught exception would end the call without calling its callback.
TEST_CASE("event rpc: a malformed response fails the call") {
  for (const std::string body :
       {"", "[]", "{}", R"({"error":"text"})", R"({"error":{"message":[]}})"}) {
    CAPTURE(body);
    boost::asio::io_context loop;
    EventHttpServer::Options options;
    options.listen = {"127.0.0.1", 0, ""};
    EventHttpServer server(
        loop, options,
        [&](const ServerRequest&, const EventHttpServer::Reply& reply) {
          reply({200, {}, body, "application/json"});
        });
    const auto port = server.Start();
    REQUIRE(port);
    EventRpcClient client(loop);
    std::optional<RpcOutcome> result;
    client.Call(Address{"127.0.0.1", port.value(), ""}.ToString(), "any",
                Json::Value(), absl::Seconds(5),
                [&](const RpcOutcome& outcome) { result = outcome; });
    CHECK_NOTHROW(loop.run_for(std::chrono::milliseconds(200)));
    REQUIRE(result);
    CHECK(!result->answered);
    CHECK(result->sent);
    CHECK_FALSE(result->error.empty());
  }
}

}  // namespace
}  // namespace keelbridge
