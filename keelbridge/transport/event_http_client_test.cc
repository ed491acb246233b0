#include "keelbridge/transport/event_http_client.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <optional>
#include <vector>

#include "keelbridge/base/clock.h"
#include "keelbridge/transport/event_http_server.h"
#include "testing/fakes/fault_proxy.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kTimeout = absl::Milliseconds(400);
// Calls of these tests are answered within a few milliseconds.
constexpr absl::Duration kAtOnce = absl::Milliseconds(200);

HttpRequest Get(const std::string& path) {
  HttpRequest request;
  request.path = path;
  return request;
}

// A server that answers at once, but for /held, which waits to be told; a proxy
// before it; a client with kept connections.
struct Site {
  // Sends `request`; the outcome comes later.
  std::shared_ptr<std::optional<HttpOutcome>> Send(
      const HttpRequest& request, absl::Duration timeout = kTimeout) {
    auto result = std::make_shared<std::optional<HttpOutcome>>();
    client.Send(request, timeout, [result](HttpOutcome outcome) {
      *result = std::move(outcome);
    });
    return result;
  }
  // Runs until there is an outcome, or `most` is over.
  bool Await(const std::shared_ptr<std::optional<HttpOutcome>>& result,
             absl::Duration most) {
    const absl::Time until = SystemNow().mono + most;
    while (!*result && SystemNow().mono < until) Run(absl::Milliseconds(2));
    return result->has_value();
  }
  void Run(absl::Duration time) {
    loop.restart();
    loop.run_for(absl::ToChronoNanoseconds(time));
  }
  // Leaves `count` connections idle, all opened.
  void KeepIdle(int count) {
    std::vector<std::shared_ptr<std::optional<HttpOutcome>>> calls;
    for (int i = 0; i < count; ++i) calls.push_back(Send(Get("/held")));
    while (held.size() < static_cast<size_t>(count)) Run(absl::Milliseconds(1));
    ReplyToAll();
    for (const auto& call : calls) REQUIRE(Await(call, kTimeout));
    REQUIRE(server.Connections() == static_cast<size_t>(count));
  }
  void ReplyToAll() {
    const auto replies = std::move(held);
    held.clear();
    for (const auto& reply : replies) reply({});
  }

  static EventHttpServer::Options Listen() {
    EventHttpServer::Options options;
    options.listen = {"127.0.0.1", 0, ""};
    return options;
  }
  static EventHttpClient::Options Keep() {
    EventHttpClient::Options options;
    options.most_connections = 8;
    return options;
  }

  boost::asio::io_context loop;
  std::vector<EventHttpServer::Reply> held;
  EventHttpServer server{
      loop, Listen(),
      [this](const ServerRequest& request, EventHttpServer::Reply reply) {
        if (request.path == "/held")
          held.push_back(std::move(reply));
        else
          reply({});
      }};
  testing::FaultProxy proxy{loop, {"127.0.0.1", server.Start().value(), ""}};
  EventHttpClient client{loop, proxy.address(), Keep()};
};

TEST_CASE("event http client: one time-out clears the pool of silent ones") {
  Site site;
  site.KeepIdle(8);
  site.proxy.SilenceOpen();
  const auto first = site.Send(Get("/"));
  REQUIRE(site.Await(first, 2 * kTimeout));
  CHECK_FALSE((*first)->response);
  CHECK((*first)->failure == SendFailure::kMayHaveSent);
  for (int i = 0; i < 8; ++i) {
    const auto next = site.Send(Get("/"));
    REQUIRE(site.Await(next, kAtOnce));
    CHECK((*next)->response);
  }
}

TEST_CASE("event http client: one slow answer ends no call of others") {
  Site site;
  site.KeepIdle(4);
  const auto slow = site.Send(Get("/held"));
  const auto waits = site.Send(Get("/held"), 4 * kTimeout);
  site.Run(kTimeout / 2);
  const auto quick = site.Send(Get("/"));
  REQUIRE(site.Await(quick, kAtOnce));
  REQUIRE(site.Await(slow, kTimeout));
  CHECK_FALSE((*slow)->response);
  CHECK_FALSE(waits->has_value());
  site.ReplyToAll();
  REQUIRE(site.Await(waits, kAtOnce));
  CHECK((*waits)->response);
}

TEST_CASE("event http client: a connection that answered since is kept") {
  Site site;
  site.KeepIdle(2);
  const auto slow = site.Send(Get("/held"));
  site.Run(kTimeout / 2);
  const auto quick = site.Send(Get("/"));
  REQUIRE(site.Await(quick, kAtOnce));
  REQUIRE(site.Await(slow, kTimeout));
  site.held.clear();  // It holds the connection.
  site.Run(kAtOnce);
  CHECK(site.server.Connections() == 1);
}

}  // namespace
}  // namespace keelbridge
