#include "keelbridge/transport/event_rpc.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <vector>

#include "keelbridge/base/clock.h"

namespace keelbridge {
namespace {

TEST_CASE("event rpc: a control call does not wait for work that is stuck") {
  boost::asio::io_context loop;
  const Address listen{"127.0.0.1", 18777, ""};
  EventRpcServer server(loop, listen);
  std::vector<EventRpcServer::Reply> held;
  server.Add("work", [&](const Json::Value&, EventRpcServer::Reply reply) {
    held.push_back(std::move(reply));
  });
  server.Add("control",
             [](const Json::Value&, const EventRpcServer::Reply& reply) {
               reply({Json::Value(true), 0, ""});
             });
  REQUIRE(server.Start());
  // Many peers, each with more work under way than it may have connections.
  std::vector<std::unique_ptr<EventRpcClient>> peers;
  int answered = 0;
  constexpr int kPeers = 43;
  constexpr int kCallsOfPeer = 30;
  for (int i = 0; i < kPeers; ++i) {
    peers.push_back(std::make_unique<EventRpcClient>(loop));
    for (int call = 0; call < kCallsOfPeer; ++call)
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
  const absl::Time until = SystemNow().mono + absl::Seconds(5);
  while (answered < kPeers && SystemNow().mono < until)
    loop.run_for(std::chrono::milliseconds(20));
  CHECK(answered == kPeers);
}

}  // namespace
}  // namespace keelbridge
