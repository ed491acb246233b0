#include "keelbridge/daemon/store_failover.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <optional>
#include <vector>

#include "testing/fakes/fault_proxy.h"

namespace keelbridge {
namespace {

// The kernel picks the port: several runs of the tests may share a machine.
const Address kAnyPort{"127.0.0.1", 0, ""};

HttpOutcome CarryAndWait(boost::asio::io_context& loop,
                         StoreFailover& carrier) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/append";
  std::optional<HttpOutcome> result;
  carrier.Carry(request, absl::Seconds(2),
                [&](HttpOutcome outcome) { result = std::move(outcome); });
  for (int i = 0; i < 100 && !result; ++i) {
    loop.run_for(std::chrono::milliseconds(20));
    loop.restart();
  }
  REQUIRE(result);
  return *result;
}

// A peer that carries every call and says that it was done.
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
  bool unresponsive = false;  // It keeps what it would answer.
  std::vector<EventRpcServer::Reply> unanswered_calls;

 private:
  EventRpcServer server_;
};

TEST_CASE("store failover: what the store turned away goes through a peer") {
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
  StoreFailover carrier(loop, {"127.0.0.1", port.value(), ""}, rpc);
  carrier.SetPeers({peer.address});
  const HttpOutcome outcome = CarryAndWait(loop, carrier);
  REQUIRE(outcome.response);
  CHECK(outcome.response->status == 200);
  CHECK(peer.forwarded == 1);
  CHECK(asked == 1);
  CHECK(!carrier.direct());
  // Another answer is the store's own, whatever it says.
  status = 409;
  StoreFailover second(loop, {"127.0.0.1", port.value(), ""}, rpc);
  second.SetPeers({peer.address});
  CHECK(CarryAndWait(loop, second).response->status == 409);
  CHECK(peer.forwarded == 1);
}

// Its return was noticed by a try every 0.4 s, while the peer's own calls were
// still refused or hung; now by the next call.
TEST_CASE("store failover: a store that refuses is asked itself again") {
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
  StoreFailover carrier(loop, {"127.0.0.1", port.value(), ""}, rpc);
  carrier.SetPeers({peer.address});
  CarryAndWait(loop, carrier);
  CHECK(!carrier.direct());
  status = 200;
  CarryAndWait(loop, carrier);
  CHECK(carrier.direct());
  CHECK(peer.forwarded == 1);
}

TEST_CASE("store failover: what nobody can tell of is not sent twice") {
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
  StoreFailover carrier(loop, {"127.0.0.1", port.value(), ""}, rpc);
  carrier.SetPeers({peer.address});
  HttpRequest request;
  request.method = "POST";
  request.path = "/append";
  std::optional<HttpOutcome> result;
  carrier.Carry(request, absl::Milliseconds(300),
                [&](HttpOutcome outcome) { result = std::move(outcome); });
  loop.run_for(std::chrono::seconds(1));
  REQUIRE(result);
  CHECK(!result->response);
  CHECK(result->failure == SendFailure::kMayHaveSent);
  CHECK(peer.forwarded == 0);
}

// A peer may have lost its connections at the same moment.
TEST_CASE("store failover: a silent connection does not lead to a peer") {
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
  StoreFailover carrier(loop, proxy.address(), rpc);
  carrier.SetPeers({peer.address});
  const auto carry = [&](const std::string& method) {
    HttpRequest request;
    request.method = method;
    request.path = "/log";
    std::optional<HttpOutcome> result;
    carrier.Carry(request, absl::Milliseconds(300),
                  [&](HttpOutcome outcome) { result = std::move(outcome); });
    for (int i = 0; i < 100 && !result; ++i) {
      loop.run_for(std::chrono::milliseconds(10));
      loop.restart();
    }
    REQUIRE(result);
    return result->response.has_value();
  };
  CHECK(carry("GET"));
  proxy.SilenceOpenConnections();
  CHECK_FALSE(carry("POST"));
  // The pause of a writer before it tries again.
  loop.run_for(std::chrono::milliseconds(60));
  loop.restart();
  CHECK(carrier.direct());
  CHECK(carry("POST"));
  CHECK(peer.forwarded == 0);
  CHECK(appends == 1);
  // A store that does not answer new ones either is reached through a peer.
  proxy.SetMode(testing::FaultProxy::Mode::kDropAll);
  CHECK_FALSE(carry("POST"));
  CHECK(carry("POST"));
  CHECK(peer.forwarded == 1);
}

TEST_CASE(
    "store failover: a peer gives a silent store up as its caller would") {
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
  StoreFailover carrier(loop, {"127.0.0.1", port.value(), ""}, rpc);
  carrier.SetPeers({peer.address});
  HttpRequest request;
  request.path = "/log";
  request.progress_timeout = absl::Milliseconds(100);
  // The first goes to the store, the second to the peer.
  for (int i = 0; i < 2; ++i) {
    carrier.Carry(request, absl::Milliseconds(800), [](const HttpOutcome&) {});
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
  // None is told of when there is none.
  request.progress_timeout = absl::InfiniteDuration();
  carrier.Carry(request, absl::Milliseconds(800), [](const HttpOutcome&) {});
  loop.restart();
  loop.run_for(std::chrono::milliseconds(100));
  CHECK_FALSE(peer.last_params.isMember("silence_ms"));
}

TEST_CASE(
    "store failover: a read is answered by the store itself though its appends "
    "are not and the peer hangs") {
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
  StoreFailover carrier(loop, {"127.0.0.1", port.value(), ""}, rpc);
  carrier.SetPeers({Address{"127.0.0.1", peer_port.value(), ""}.ToString()});
  HttpRequest append;
  append.method = "POST";
  append.path = "/append";
  bool finished = false;
  carrier.Carry(append, absl::Milliseconds(200),
                [&](const HttpOutcome&) { finished = true; });
  loop.run_for(std::chrono::milliseconds(500));
  REQUIRE(finished);
  REQUIRE_FALSE(carrier.direct());
  HttpRequest read;
  read.path = "/read";
  std::string body;
  int answers = 0;
  carrier.Carry(read, absl::Milliseconds(600), [&](const HttpOutcome& outcome) {
    ++answers;
    if (outcome.response) body = outcome.response->body;
  });
  loop.restart();
  loop.run_for(std::chrono::milliseconds(300));
  CHECK(body == "of the store");
  CHECK(carrier.direct());
  // What the peer says later changes nothing.
  loop.restart();
  loop.run_for(std::chrono::milliseconds(700));
  CHECK(answers == 1);
}

// A node that does not lead asks the store seldom: what was kept open since may
// have gone silent, and to find that out costs a time-out.
TEST_CASE(
    "store failover: a call after a pause goes by a connection of its own") {
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
  StoreFailover carrier(loop, proxy.address(), rpc);
  HttpRequest read;
  read.path = "/read";
  int answered = 0;
  const auto carry = [&] {
    carrier.Carry(read, absl::Milliseconds(400),
                  [&](const HttpOutcome& outcome) {
                    answered += outcome.response.has_value() ? 1 : 0;
                  });
    loop.restart();
    loop.run_for(std::chrono::milliseconds(200));
  };
  carry();
  REQUIRE(answered == 1);
  loop.restart();
  loop.run_for(std::chrono::milliseconds(2200));
  proxy.SilenceOpenConnections();
  carry();
  CHECK(answered == 2);
}

TEST_CASE("store failover: a read takes the direct way that is back") {
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
  StoreFailover carrier(loop, proxy.address(), rpc);
  carrier.SetPeers({peer.address});
  HttpRequest request;
  request.path = "/log";
  int answers = 0;
  int calls = 0;
  const auto read = [&](absl::Duration timeout) {
    carrier.Carry(request, timeout, [&](const HttpOutcome& outcome) {
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
  CHECK(!carrier.direct());
  proxy.ResumeForwarding();
  read(absl::Seconds(2));
  run(300);
  CHECK(peer.forwarded == 1);
  CHECK(answers == 1);
  // What becomes of the call to the peer is heard by nobody.
  run(2200);
  CHECK(answers == 1);
  CHECK(calls == 2);  // The first read, and the second once.
}

// The first read of a node brings the whole configuration, which a thin link
// does not carry within a try.
TEST_CASE(
    "store failover: the direct way is not tried with a read that may bring "
    "much") {
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
  StoreFailover carrier(loop, {"127.0.0.1", port.value(), ""}, rpc);
  carrier.SetPeers({peer.address});
  const auto carry = [&](const std::string& method, const std::string& path,
                         absl::Duration timeout) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    carrier.Carry(request, timeout, [](const HttpOutcome&) {});
    loop.restart();
    loop.run_for(std::chrono::milliseconds(300));
  };
  carry("GET", "/configuration", absl::Milliseconds(2500));
  carry("GET", "/leader", absl::Milliseconds(800));
  reads.clear();
  carry("POST", "/append", absl::Milliseconds(200));
  CHECK(reads == std::vector<std::string>{"/leader"});
}

}  // namespace
}  // namespace keelbridge
