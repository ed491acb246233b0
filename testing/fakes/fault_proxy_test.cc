#include "testing/fakes/fault_proxy.h"

#include <doctest/doctest.h>

#include "keelbridge/transport/event_http_client.h"
#include "keelbridge/transport/event_http_server.h"

namespace keelbridge::testing {
namespace {

// A server that answers when told to, a proxy before it, and a caller.
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

TEST_CASE("fault proxy: a call whose answer was dropped hears nothing more") {
  ProxyFixture fixture;
  fixture.Send();
  fixture.proxy.SetMode(FaultProxy::Mode::kDropAll);
  fixture.pending_reply({});
  fixture.Run();
  fixture.proxy.ResumeForwarding();
  fixture.Run();
  CHECK_FALSE(fixture.completed);
  // Another connection passes.
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

TEST_CASE("fault proxy: answers share the link's rate") {
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
      (fixture.completed && other_completed));  // Both at once take 0.4 s.
  for (int i = 0; i < 4; ++i) fixture.Run();
  CHECK(fixture.status == 200);
  CHECK(other_completed);
}

TEST_CASE("fault proxy: a call on which nothing was dropped goes on") {
  ProxyFixture fixture;
  fixture.Send();
  fixture.proxy.SetMode(FaultProxy::Mode::kDropAll);
  fixture.Run();
  fixture.proxy.ResumeForwarding();
  fixture.pending_reply({});
  fixture.Run();
  CHECK(fixture.status == 200);
}

TEST_CASE("fault proxy: what is open goes silent for good, new ones pass") {
  ProxyFixture fixture;
  fixture.Send();
  fixture.proxy.SilenceOpenConnections();
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
  // No mode ends the silence.
  fixture.pending_reply = nullptr;
  fixture.proxy.SetMode(FaultProxy::Mode::kReset);
  fixture.Run();
  CHECK_FALSE(fixture.completed);
  CHECK(fixture.server.Connections() == 1);
}

TEST_CASE("fault proxy: passing again ends what is open") {
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
