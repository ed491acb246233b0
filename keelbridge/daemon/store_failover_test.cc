#include "keelbridge/daemon/store_failover.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <optional>
#include <vector>

#include "testing/fakes/fault_proxy.h"

namespace keelbridge {
namespace {

// Port 0 lets the kernel choose a free port, because several test runs may
// share a machine.
const Address kAnyPort{"127.0.0.1", 0, ""};

HttpOutcome CallAndWait(boost::asio::io_context& loop,
                        StoreFailover& failover) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/append";
  std::optional<HttpOutcome> result;
  failover.Send(request, absl::Seconds(2),
                [&](HttpOutcome outcome) { result = std::move(outcome); });
  for (int i = 0; i < 100 && !result; ++i) {
    loop.run_for(std::chrono::milliseconds(20));
    loop.restart();
  }
  REQUIRE(result);
  return *result;
}

// A peer that counts forwarded calls and answers each with success.
class Peer {
 public:
  explicit Peer(boost::asio::io_context& loop) : server_(loop, kAnyPort) {
    server_.Add(
        StoreFailover::kMethod,
        [this](const Json::Value& params, const EventRpcServer::Reply& reply) {
          ++forwarded;
          last_params = params;
          if (unresponsive) return unanswered_calls.push_back(reply);
          Json::Value out(Json::objectValue);
          out["status"] = 200;
          reply({out, 0, ""});
        });
    const auto port = server_.Start();
    REQUIRE(port);
    address = Address{"127.0.0.1", port.value(), ""}.ToString();
  }
  std::string address;
  int forwarded = 0;
  Json::Value last_params;
  bool unresponsive = false;  // It does not answer calls.
  std::vector<EventRpcServer::Reply> unanswered_calls;

 private:
  EventRpcServer server_;
};

TEST_CASE("store failover: a call that the store refused goes through a peer") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  int status = 503;
  int asked = 0;
  EventHttpServer store(
      loop, options,
      [&](const ServerRequest&, const EventHttpServer::Reply& reply) {
        ++asked;
        ServerResponse response;
        response.status = status;
        reply(std::move(response));
      });
  const auto port = store.Start();
  REQUIRE(port);
  Peer peer(loop);
  EventRpcClient rpc(loop);
  StoreFailover failover(loop, {"127.0.0.1", port.value(), ""}, rpc);
  failover.SetPeers({peer.address});
  const HttpOutcome outcome = CallAndWait(loop, failover);
  REQUIRE(outcome.response);
  CHECK(outcome.response->status == 200);
  CHECK(peer.forwarded == 1);
  CHECK(asked == 1);
  CHECK(!failover.direct());
  // Any other status is the store's answer and is returned as is.
  status = 409;
  StoreFailover second(loop, {"127.0.0.1", port.value(), ""}, rpc);
  second.SetPeers({peer.address});
  CHECK(CallAndWait(loop, second).response->status == 409);
  CHECK(peer.forwarded == 1);
}

// If calls went only through a peer, whose own calls may be refused or hang,
// the store's recovery would be noticed only by a periodic probe (every 0.4 s)
// instead of by the next call.
TEST_CASE(
    "store failover: a store that refused a call is called directly again") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  int status = 503;
  EventHttpServer store(
      loop, options,
      [&](const ServerRequest&, const EventHttpServer::Reply& reply) {
        ServerResponse response;
        response.status = status;
        reply(std::move(response));
      });
  const auto port = store.Start();
  REQUIRE(port);
  Peer peer(loop);
  EventRpcClient rpc(loop);
  StoreFailover failover(loop, {"127.0.0.1", port.value(), ""}, rpc);
  failover.SetPeers({peer.address});
  CallAndWait(loop, failover);
  CHECK(!failover.direct());
  status = 200;
  CallAndWait(loop, failover);
  CHECK(failover.direct());
  CHECK(peer.forwarded == 1);
}

TEST_CASE("store failover: a call with an unknown outcome is not sent twice") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  std::vector<EventHttpServer::Reply> unanswered;
  EventHttpServer store(
      loop, options, [&](const ServerRequest&, EventHttpServer::Reply reply) {
        unanswered.push_back(std::move(reply));
      });
  const auto port = store.Start();
  REQUIRE(port);
  Peer peer(loop);
  EventRpcClient rpc(loop);
  StoreFailover failover(loop, {"127.0.0.1", port.value(), ""}, rpc);
  failover.SetPeers({peer.address});
  HttpRequest request;
  request.method = "POST";
  request.path = "/append";
  std::optional<HttpOutcome> result;
  failover.Send(request, absl::Milliseconds(300),
                [&](HttpOutcome outcome) { result = std::move(outcome); });
  loop.run_for(std::chrono::seconds(1));
  REQUIRE(result);
  CHECK(!result->response);
  CHECK(result->failure == SendFailure::kMayHaveSent);
  CHECK(peer.forwarded == 0);
}

// A peer may have lost its connections at the same time.
TEST_CASE(
    "store failover: a dead connection does not cause a failover to a peer") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  int appends = 0;
  EventHttpServer store(
      loop, options,
      [&](const ServerRequest& request, const EventHttpServer::Reply& reply) {
        appends += request.method == "POST" ? 1 : 0;
        reply({});
      });
  const auto port = store.Start();
  REQUIRE(port);
  testing::FaultProxy proxy(loop, {"127.0.0.1", port.value(), ""});
  Peer peer(loop);
  EventRpcClient rpc(loop);
  StoreFailover failover(loop, proxy.address(), rpc);
  failover.SetPeers({peer.address});
  const auto send = [&](const std::string& method) {
    HttpRequest request;
    request.method = method;
    request.path = "/log";
    std::optional<HttpOutcome> result;
    failover.Send(request, absl::Milliseconds(300),
                  [&](HttpOutcome outcome) { result = std::move(outcome); });
    for (int i = 0; i < 100 && !result; ++i) {
      loop.run_for(std::chrono::milliseconds(10));
      loop.restart();
    }
    REQUIRE(result);
    return result->response.has_value();
  };
  CHECK(send("GET"));
  proxy.BlackholeOpenConnections();
  CHECK_FALSE(send("POST"));
  // A writer's delay before it retries.
  loop.run_for(std::chrono::milliseconds(60));
  loop.restart();
  CHECK(failover.direct());
  CHECK(send("POST"));
  CHECK(peer.forwarded == 0);
  CHECK(appends == 1);
  // If the store does not answer on new connections either, a peer is used.
  proxy.SetMode(testing::FaultProxy::Mode::kDropAll);
  CHECK_FALSE(send("POST"));
  CHECK(send("POST"));
  CHECK(peer.forwarded == 1);
}

TEST_CASE(
    "store failover: a peer applies the caller's limit on an unresponsive "
    "store") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  std::vector<EventHttpServer::Reply> unanswered;
  EventHttpServer store(
      loop, options, [&](const ServerRequest&, EventHttpServer::Reply reply) {
        unanswered.push_back(std::move(reply));
      });
  const auto port = store.Start();
  REQUIRE(port);
  Peer peer(loop);
  EventRpcClient rpc(loop);
  StoreFailover failover(loop, {"127.0.0.1", port.value(), ""}, rpc);
  failover.SetPeers({peer.address});
  HttpRequest request;
  request.path = "/log";
  request.progress_timeout = absl::Milliseconds(100);
  // The first call goes to the store, the second to the peer.
  for (int i = 0; i < 2; ++i) {
    failover.Send(request, absl::Milliseconds(800), [](const HttpOutcome&) {});
    loop.run_for(std::chrono::milliseconds(300));
    loop.restart();
  }
  REQUIRE(peer.forwarded == 1);
  CHECK(peer.last_params["silence_ms"].asInt64() == 100);
  StoreFailover other(loop, {"127.0.0.1", port.value(), ""}, rpc);
  bool answered = false;
  other.ServePeer(peer.last_params,
                  [&](const JsonRpcReply&) { answered = true; });
  loop.run_for(std::chrono::milliseconds(500));
  CHECK(answered);
  // Without such a limit the field is left out.
  request.progress_timeout = absl::InfiniteDuration();
  failover.Send(request, absl::Milliseconds(800), [](const HttpOutcome&) {});
  loop.restart();
  loop.run_for(std::chrono::milliseconds(100));
  CHECK_FALSE(peer.last_params.isMember("silence_ms"));
}

TEST_CASE(
    "store failover: a read succeeds directly while appends get no answer and "
    "the peer hangs") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  std::vector<EventHttpServer::Reply> unanswered;
  EventHttpServer store(
      loop, options,
      [&](const ServerRequest& request, EventHttpServer::Reply reply) {
        if (request.method == "POST")
          unanswered.push_back(std::move(reply));
        else
          reply({200, {}, "of the store", "text/plain"});
      });
  const auto port = store.Start();
  REQUIRE(port);
  std::vector<EventRpcServer::Reply> hanging;
  EventRpcServer peer(loop, kAnyPort);
  peer.Add(StoreFailover::kMethod,
           [&](const Json::Value&, EventRpcServer::Reply reply) {
             hanging.push_back(std::move(reply));
           });
  const auto peer_port = peer.Start();
  REQUIRE(peer_port);
  EventRpcClient rpc(loop);
  StoreFailover failover(loop, {"127.0.0.1", port.value(), ""}, rpc);
  failover.SetPeers({Address{"127.0.0.1", peer_port.value(), ""}.ToString()});
  HttpRequest append;
  append.method = "POST";
  append.path = "/append";
  bool finished = false;
  failover.Send(append, absl::Milliseconds(200),
                [&](const HttpOutcome&) { finished = true; });
  loop.run_for(std::chrono::milliseconds(500));
  REQUIRE(finished);
  REQUIRE_FALSE(failover.direct());
  HttpRequest read;
  read.path = "/read";
  std::string body;
  int answers = 0;
  failover.Send(read, absl::Milliseconds(600), [&](const HttpOutcome& outcome) {
    ++answers;
    if (outcome.response) body = outcome.response->body;
  });
  loop.restart();
  loop.run_for(std::chrono::milliseconds(300));
  CHECK(body == "of the store");
  CHECK(failover.direct());
  // A later answer from the peer is ignored.
  loop.restart();
  loop.run_for(std::chrono::milliseconds(700));
  CHECK(answers == 1);
}

// A node that does not lead rarely calls the store, so its idle connection may
// be dead, and discovering that costs a timeout.
TEST_CASE(
    "store failover: a call after an idle period opens a new connection") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  EventHttpServer store(loop, options,
                        [](const ServerRequest&,
                           const EventHttpServer::Reply& reply) { reply({}); });
  const auto port = store.Start();
  REQUIRE(port);
  testing::FaultProxy proxy(loop, {"127.0.0.1", port.value(), ""});
  EventRpcClient rpc(loop);
  StoreFailover failover(loop, proxy.address(), rpc);
  HttpRequest read;
  read.path = "/read";
  int answered = 0;
  const auto send = [&] {
    failover.Send(read, absl::Milliseconds(400),
                  [&](const HttpOutcome& outcome) {
                    answered += outcome.response.has_value() ? 1 : 0;
                  });
    loop.restart();
    loop.run_for(std::chrono::milliseconds(200));
  };
  send();
  REQUIRE(answered == 1);
  loop.restart();
  loop.run_for(std::chrono::milliseconds(2200));
  proxy.BlackholeOpenConnections();
  send();
  CHECK(answered == 2);
}

TEST_CASE("store failover: a read uses the direct path once it works again") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  EventHttpServer store(
      loop, options,
      [&](const ServerRequest&, const EventHttpServer::Reply& reply) {
        reply({});
      });
  const auto port = store.Start();
  REQUIRE(port);
  testing::FaultProxy proxy(loop, {"127.0.0.1", port.value(), ""});
  proxy.SetMode(testing::FaultProxy::Mode::kDropAll);
  Peer peer(loop);
  peer.unresponsive = true;
  EventRpcClient rpc(loop);
  StoreFailover failover(loop, proxy.address(), rpc);
  failover.SetPeers({peer.address});
  HttpRequest request;
  request.path = "/log";
  int answers = 0;
  int calls = 0;
  const auto read = [&](absl::Duration timeout) {
    failover.Send(request, timeout, [&](const HttpOutcome& outcome) {
      ++calls;
      answers += outcome.response ? 1 : 0;
    });
  };
  const auto run = [&](int milliseconds) {
    loop.run_for(std::chrono::milliseconds(milliseconds));
    loop.restart();
  };
  read(absl::Milliseconds(200));
  run(1000);
  CHECK(answers == 0);
  CHECK(!failover.direct());
  proxy.ResumeForwarding();
  read(absl::Seconds(2));
  run(300);
  CHECK(peer.forwarded == 1);
  CHECK(answers == 1);
  // The outcome of the call to the peer is not reported.
  run(2200);
  CHECK(answers == 1);
  CHECK(calls == 2);  // One for the first read and one for the second.
}

// A node's first read returns the whole configuration, which a slow link cannot
// transfer within a probe.
TEST_CASE(
    "store failover: the direct path is not probed with a potentially large "
    "read") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  std::vector<EventHttpServer::Reply> unanswered;
  std::vector<std::string> reads;
  EventHttpServer store(
      loop, options,
      [&](const ServerRequest& request, EventHttpServer::Reply reply) {
        if (request.method == "POST")
          return unanswered.push_back(std::move(reply));
        reads.push_back(request.path);
        reply({});
      });
  const auto port = store.Start();
  REQUIRE(port);
  Peer peer(loop);
  EventRpcClient rpc(loop);
  StoreFailover failover(loop, {"127.0.0.1", port.value(), ""}, rpc);
  failover.SetPeers({peer.address});
  const auto send = [&](const std::string& method, const std::string& path,
                        absl::Duration timeout) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    failover.Send(request, timeout, [](const HttpOutcome&) {});
    loop.restart();
    loop.run_for(std::chrono::milliseconds(300));
  };
  send("GET", "/configuration", absl::Milliseconds(2500));
  send("GET", "/leader", absl::Milliseconds(800));
  reads.clear();
  send("POST", "/append", absl::Milliseconds(200));
  CHECK(reads == std::vector<std::string>{"/leader"});
}

}  // namespace
}  // namespace keelbridge
