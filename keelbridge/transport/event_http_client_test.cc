#include "keelbridge/transport/event_http_client.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "absl/strings/str_cat.h"
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
    calls.reserve(static_cast<size_t>(count));
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

// A server that sends an answer piece by piece, by hand.
class Pieces {
 public:
  using Tcp = boost::asio::ip::tcp;

  Pieces(std::vector<absl::Duration> pauses, std::string piece)
      : pauses_(std::move(pauses)),
        piece_(std::move(piece)),
        acceptor_(loop_,
                  Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        socket_(loop_),
        timer_(loop_),
        client_(loop_, {"127.0.0.1", acceptor_.local_endpoint().port(), ""},
                EventHttpClient::Options()) {
    acceptor_.async_accept(socket_, [this](boost::system::error_code error) {
      REQUIRE_FALSE(error);
      boost::asio::async_read_until(
          socket_, request_, "\r\n\r\n",
          [this](boost::system::error_code e, size_t) {
            if (!e) Next(0);
          });
    });
  }

  HttpOutcome Ask(absl::Duration timeout, absl::Duration silence) {
    HttpRequest request = Get("/");
    request.silence = silence;
    std::optional<HttpOutcome> result;
    const absl::Time begun = SystemNow().mono;
    client_.Send(request, timeout,
                 [&](HttpOutcome outcome) { result = std::move(outcome); });
    while (!result && SystemNow().mono < begun + absl::Seconds(10)) {
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(2));
    }
    took = SystemNow().mono - begun;
    REQUIRE(result);
    return *result;
  }

  absl::Duration took;

 private:
  // Sends piece `number` after its pause.
  void Next(size_t number) {
    if (number == pauses_.size()) return;
    timer_.expires_after(absl::ToChronoNanoseconds(pauses_[number]));
    timer_.async_wait([this, number](boost::system::error_code error) {
      if (error) return;
      out_ = number == 0 ? absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ",
                                        piece_.size() * (pauses_.size() - 1),
                                        "\r\n\r\n")
                         : piece_;
      boost::asio::async_write(
          socket_, boost::asio::buffer(out_),
          [this, number](boost::system::error_code e, size_t) {
            if (!e) Next(number + 1);
          });
    });
  }

  const std::vector<absl::Duration> pauses_;
  const std::string piece_;
  std::string out_;
  boost::asio::streambuf request_;
  boost::asio::io_context loop_;
  Tcp::acceptor acceptor_;
  Tcp::socket socket_;
  boost::asio::steady_timer timer_;
  EventHttpClient client_;
};

constexpr absl::Duration kSilence = absl::Milliseconds(150);
constexpr absl::Duration kLong = absl::Seconds(3);

TEST_CASE("event http client: an answer without a byte is given up early") {
  Pieces server({absl::Seconds(8), absl::Milliseconds(1)}, "body");
  const HttpOutcome outcome = server.Ask(kLong, kSilence);
  CHECK_FALSE(outcome.response);
  CHECK(outcome.failure == SendFailure::kMayHaveSent);
  CHECK(server.took >= kSilence);
  CHECK(server.took < 3 * kSilence);
}

TEST_CASE("event http client: an answer that stops midway is given up early") {
  const absl::Duration soon = absl::Milliseconds(20);
  Pieces server({soon, soon, soon, absl::Seconds(8), soon},
                std::string(2000, 'x'));
  const HttpOutcome outcome = server.Ask(kLong, kSilence);
  CHECK_FALSE(outcome.response);
  CHECK(server.took >= kSilence);
  CHECK(server.took < 4 * kSilence);
}

TEST_CASE("event http client: an answer that goes on may take its whole time") {
  const std::vector<absl::Duration> pauses(20, kSilence / 3);
  Pieces server(pauses, std::string(2000, 'x'));
  const HttpOutcome outcome = server.Ask(kLong, kSilence);
  REQUIRE(outcome.response);
  CHECK(outcome.response->body == std::string(size_t{19} * 2000, 'x'));
  CHECK(server.took > 5 * kSilence);
}

TEST_CASE("event http client: a slow answer ends with its time") {
  const std::vector<absl::Duration> pauses(200, kSilence / 10);
  Pieces server(pauses, std::string(20, 'x'));
  const HttpOutcome outcome = server.Ask(2 * kSilence, kSilence);
  CHECK_FALSE(outcome.response);
  CHECK(server.took < 4 * kSilence);
}

TEST_CASE("event http client: without a silence an answer may take its time") {
  Pieces server({3 * kSilence, kSilence, kSilence}, "body");
  const HttpOutcome outcome = server.Ask(kLong, absl::InfiniteDuration());
  REQUIRE(outcome.response);
  CHECK(outcome.response->body == "bodybody");
}

// A worker that is gone is forgotten with a look at it on its way.
TEST_CASE("event http client: one that is destroyed in a call ends it once") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  EventHttpServer server(
      loop, options,
      [](const ServerRequest&, const EventHttpServer::Reply& reply) {
        reply({});
      });
  const auto port = server.Start();
  REQUIRE(port);
  auto client = std::make_unique<EventHttpClient>(
      loop, Address{"127.0.0.1", port.value(), ""}, EventHttpClient::Options());
  int ends = 0;
  const auto count = [&ends](const HttpOutcome&) { ++ends; };
  client->Send(Get("/"), kTimeout, count);
  loop.run_for(absl::ToChronoNanoseconds(kAtOnce));
  REQUIRE(ends == 1);
  client->Send(Get("/"), kTimeout, count);  // On the kept connection.
  client.reset();
  loop.restart();
  loop.run_for(absl::ToChronoNanoseconds(kAtOnce));
  CHECK(ends == 2);
}

// A turn of a busy loop is long: an answer must not take one for each piece.
TEST_CASE("event http client: a large answer takes few turns of the loop") {
  constexpr size_t kBytes = 1 << 20;
  boost::asio::io_context server_loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  EventHttpServer server(
      server_loop, options,
      [&](const ServerRequest&, const EventHttpServer::Reply& reply) {
        ServerResponse response;
        response.body = std::string(kBytes, 'x');
        reply(std::move(response));
      });
  const auto port = server.Start();
  REQUIRE(port);
  boost::asio::io_context loop;
  EventHttpClient client(loop, {"127.0.0.1", port.value(), ""},
                         EventHttpClient::Options());
  size_t bytes = 0;
  HttpRequest request;
  request.method = "GET";
  request.path = "/";
  client.Send(request, absl::Seconds(5), [&](const HttpOutcome& outcome) {
    if (outcome.response) bytes = outcome.response->body.size();
  });
  // The server is far ahead whenever the client's loop takes a turn.
  int turns = 0;
  while (bytes == 0 && turns < 1000) {
    server_loop.run_for(std::chrono::milliseconds(2));
    server_loop.restart();
    loop.poll_one();
    loop.restart();
    ++turns;
  }
  CHECK(bytes == kBytes);
  MESSAGE("turns for 1 MB: 541 before, ", turns, " after");
  CHECK(turns <= 16);
}

}  // namespace
}  // namespace keelbridge
