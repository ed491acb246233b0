#include "testing/fakes/fault_proxy.h"

#include <doctest/doctest.h>

#include "keelbridge/transport/event_http_client.h"
#include "keelbridge/transport/event_http_server.h"

namespace keelbridge::testing {
namespace {

// A server that answers only when the test invokes `pending_reply`, a proxy in
// front of it, and a client.
struct ProxyFixture {
  boost::asio::io_context loop;
  EventHttpServer::Reply pending_reply;
  EventHttpServer server{
      loop, Listen(),
      [this](const ServerRequest&, EventHttpServer::Reply reply) {
        pending_reply = std::move(reply);
      }};
  Address target{"127.0.0.1", server.Start().value(), ""};
  FaultProxy proxy{loop, target};
  EventHttpClient client{loop, proxy.address(), EventHttpClient::Options()};
  bool completed = false;
  int status = 0;

  static EventHttpServer::Options Listen() {
    EventHttpServer::Options options;
    options.listen = {"127.0.0.1", 0, ""};
    return options;
  }
  void Send() {
    completed = false;
    status = 0;
    client.Send({"GET", "/", {}, "", ""}, absl::Seconds(5),
                [this](const HttpOutcome& outcome) {
                  completed = true;
                  status = outcome.response ? outcome.response->status : 0;
                });
    Run();
  }
  void Run() {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(100));
  }
};

TEST_CASE("fault proxy: a call whose response was dropped stays unanswered") {
  ProxyFixture fixture;
  fixture.Send();
  fixture.proxy.SetMode(FaultProxy::Mode::kDropAll);
  fixture.pending_reply({});
  fixture.Run();
  fixture.proxy.ResumeForwarding();
  fixture.Run();
  CHECK_FALSE(fixture.completed);
  // A new connection works.
  EventHttpClient other(fixture.loop, fixture.proxy.address(),
                        EventHttpClient::Options());
  int status = 0;
  other.Send({"GET", "/", {}, "", ""}, absl::Seconds(5),
             [&](const HttpOutcome& outcome) {
               if (outcome.response) status = outcome.response->status;
             });
  fixture.Run();
  fixture.pending_reply({});
  fixture.Run();
  CHECK(status == 200);
  CHECK_FALSE(fixture.completed);
}

TEST_CASE("fault proxy: responses share the rate limit of the link") {
  ProxyFixture fixture;
  fixture.proxy.SetResponseRate(100e3);
  fixture.Send();
  EventHttpServer::Reply first = std::move(fixture.pending_reply);
  EventHttpClient other(fixture.loop, fixture.proxy.address(),
                        EventHttpClient::Options());
  bool other_completed = false;
  other.Send({"GET", "/", {}, "", ""}, absl::Seconds(5),
             [&](const HttpOutcome& outcome) {
               other_completed = outcome.response.has_value();
             });
  fixture.Run();
  const std::string body(20'000, 'x');  // 0.2 s.
  first({200, {}, body, "text/plain"});
  fixture.pending_reply({200, {}, body, "text/plain"});
  fixture.Run();
  CHECK_FALSE(fixture.completed);
  CHECK_FALSE(other_completed);
  fixture.Run();
  CHECK_FALSE(
      (fixture.completed && other_completed));  // Together they take 0.4 s.
  for (int i = 0; i < 4; ++i) fixture.Run();
  CHECK(fixture.status == 200);
  CHECK(other_completed);
}

TEST_CASE("fault proxy: a call without dropped data continues") {
  ProxyFixture fixture;
  fixture.Send();
  fixture.proxy.SetMode(FaultProxy::Mode::kDropAll);
  fixture.Run();
  fixture.proxy.ResumeForwarding();
  fixture.pending_reply({});
  fixture.Run();
  CHECK(fixture.status == 200);
}

TEST_CASE("fault proxy: blackholed connections stay open, new ones work") {
  ProxyFixture fixture;
  fixture.Send();
  fixture.proxy.BlackholeOpenConnections();
  fixture.pending_reply({});
  fixture.Run();
  CHECK_FALSE(fixture.completed);
  CHECK(fixture.server.Connections() == 1);
  EventHttpClient other(fixture.loop, fixture.proxy.address(),
                        EventHttpClient::Options());
  int status = 0;
  other.Send({"GET", "/", {}, "", ""}, absl::Seconds(5),
             [&](const HttpOutcome& outcome) {
               if (outcome.response) status = outcome.response->status;
             });
  fixture.Run();
  fixture.pending_reply({});
  fixture.Run();
  CHECK(status == 200);
  // No change of mode closes a blackholed connection.
  fixture.pending_reply = nullptr;
  fixture.proxy.SetMode(FaultProxy::Mode::kReset);
  fixture.Run();
  CHECK_FALSE(fixture.completed);
  CHECK(fixture.server.Connections() == 1);
}

TEST_CASE("fault proxy: a return to forwarding closes open connections") {
  ProxyFixture fixture;
  fixture.Send();
  fixture.proxy.SetMode(FaultProxy::Mode::kDropAll);
  fixture.Run();
  fixture.proxy.SetMode(FaultProxy::Mode::kForward);
  fixture.Run();
  CHECK(fixture.completed);
  CHECK(fixture.status == 0);
}

}  // namespace
}  // namespace keelbridge::testing
