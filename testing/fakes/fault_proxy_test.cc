#include "testing/fakes/fault_proxy.h"

#include <doctest/doctest.h>

#include "keelbridge/transport/event_http_client.h"
#include "keelbridge/transport/event_http_server.h"

namespace keelbridge::testing {
namespace {

// A server that answers when told to, a proxy before it, and a caller.
struct Site {
  boost::asio::io_context loop;
  EventHttpServer::Reply waiting;
  EventHttpServer server{
      loop, Listen(),
      [this](const ServerRequest&, EventHttpServer::Reply reply) {
        waiting = std::move(reply);
      }};
  Address target{"127.0.0.1", server.Start().value(), ""};
  FaultProxy proxy{loop, target};
  EventHttpClient client{loop, proxy.address(), EventHttpClient::Options()};
  bool over = false;
  int status = 0;

  static EventHttpServer::Options Listen() {
    EventHttpServer::Options options;
    options.listen = {"127.0.0.1", 0, ""};
    return options;
  }
  void Send() {
    over = false;
    status = 0;
    client.Send({"GET", "/", {}, "", ""}, absl::Seconds(5),
                [this](const HttpOutcome& outcome) {
                  over = true;
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
  Site site;
  site.Send();
  site.proxy.SetMode(FaultProxy::Mode::kSilent);
  site.waiting({});
  site.Run();
  site.proxy.HealQuietly();
  site.Run();
  CHECK_FALSE(site.over);
  // Another connection passes.
  EventHttpClient other(site.loop, site.proxy.address(),
                        EventHttpClient::Options());
  int status = 0;
  other.Send({"GET", "/", {}, "", ""}, absl::Seconds(5),
             [&](const HttpOutcome& outcome) {
               if (outcome.response) status = outcome.response->status;
             });
  site.Run();
  site.waiting({});
  site.Run();
  CHECK(status == 200);
  CHECK_FALSE(site.over);
}

TEST_CASE("fault proxy: answers share the link's rate") {
  Site site;
  site.proxy.SetAnswerRate(100e3);
  site.Send();
  EventHttpServer::Reply first = std::move(site.waiting);
  EventHttpClient other(site.loop, site.proxy.address(),
                        EventHttpClient::Options());
  bool other_over = false;
  other.Send({"GET", "/", {}, "", ""}, absl::Seconds(5),
             [&](const HttpOutcome& outcome) {
               other_over = outcome.response.has_value();
             });
  site.Run();
  const std::string body(20'000, 'x');  // 0.2 s.
  first({200, {}, body, "text/plain"});
  site.waiting({200, {}, body, "text/plain"});
  site.Run();
  CHECK_FALSE(site.over);
  CHECK_FALSE(other_over);
  site.Run();
  CHECK_FALSE((site.over && other_over));  // Both at once take 0.4 s.
  for (int i = 0; i < 4; ++i) site.Run();
  CHECK(site.status == 200);
  CHECK(other_over);
}

TEST_CASE("fault proxy: a call on which nothing was dropped goes on") {
  Site site;
  site.Send();
  site.proxy.SetMode(FaultProxy::Mode::kSilent);
  site.Run();
  site.proxy.HealQuietly();
  site.waiting({});
  site.Run();
  CHECK(site.status == 200);
}

TEST_CASE("fault proxy: what is open goes silent for good, new ones pass") {
  Site site;
  site.Send();
  site.proxy.SilenceOpen();
  site.waiting({});
  site.Run();
  CHECK_FALSE(site.over);
  CHECK(site.server.Connections() == 1);
  EventHttpClient other(site.loop, site.proxy.address(),
                        EventHttpClient::Options());
  int status = 0;
  other.Send({"GET", "/", {}, "", ""}, absl::Seconds(5),
             [&](const HttpOutcome& outcome) {
               if (outcome.response) status = outcome.response->status;
             });
  site.Run();
  site.waiting({});
  site.Run();
  CHECK(status == 200);
  // No mode ends the silence.
  site.waiting = nullptr;
  site.proxy.SetMode(FaultProxy::Mode::kReset);
  site.Run();
  CHECK_FALSE(site.over);
  CHECK(site.server.Connections() == 1);
}

TEST_CASE("fault proxy: passing again ends what is open") {
  Site site;
  site.Send();
  site.proxy.SetMode(FaultProxy::Mode::kSilent);
  site.Run();
  site.proxy.SetMode(FaultProxy::Mode::kPass);
  site.Run();
  CHECK(site.over);
  CHECK(site.status == 0);
}

}  // namespace
}  // namespace keelbridge::testing
