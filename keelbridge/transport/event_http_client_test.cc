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
// Successful calls of these tests complete within a few milliseconds.
constexpr absl::Duration kPromptTimeout = absl::Milliseconds(200);

HttpRequest Get(const std::string& path) {
  HttpRequest request;
  request.path = path;
  return request;
}

// A client that connects to a server through a fault-injecting proxy. The
// server replies immediately, except to /held, whose replies are kept until
// `ReplyToAll`.
struct ProxyFixture {
  // Sends `request`. The outcome is stored in the result when it arrives.
  std::shared_ptr<std::optional<HttpOutcome>> Send(
      const HttpRequest& request, absl::Duration timeout = kTimeout) {
    auto result = std::make_shared<std::optional<HttpOutcome>>();
    client.Send(request, timeout, [result](HttpOutcome outcome) {
      *result = std::move(outcome);
    });
    return result;
  }
  // Runs the loop until there is an outcome or `max_wait` has passed.
  bool Await(const std::shared_ptr<std::optional<HttpOutcome>>& result,
             absl::Duration max_wait) {
    const absl::Time deadline = SystemNow().mono + max_wait;
    while (!*result && SystemNow().mono < deadline) Run(absl::Milliseconds(2));
    return result->has_value();
  }
  void Run(absl::Duration time) {
    loop.restart();
    loop.run_for(absl::ToChronoNanoseconds(time));
  }
  // Opens `count` connections and leaves them idle.
  void OpenIdleConnections(int count) {
    std::vector<std::shared_ptr<std::optional<HttpOutcome>>> calls;
    calls.reserve(static_cast<size_t>(count));
    for (int i = 0; i < count; ++i) calls.push_back(Send(Get("/held")));
    while (pending_replies.size() < static_cast<size_t>(count))
      Run(absl::Milliseconds(1));
    ReplyToAll();
    for (const auto& call : calls) REQUIRE(Await(call, kTimeout));
    REQUIRE(server.Connections() == static_cast<size_t>(count));
  }
  void ReplyToAll() {
    const auto replies = std::move(pending_replies);
    pending_replies.clear();
    for (const auto& reply : replies) reply({});
  }

  static EventHttpServer::Options ServerOptions() {
    EventHttpServer::Options options;
    options.listen = {"127.0.0.1", 0, ""};
    return options;
  }
  static EventHttpClient::Options ClientOptions() {
    EventHttpClient::Options options;
    options.max_connections = 8;
    return options;
  }

  boost::asio::io_context loop;
  std::vector<EventHttpServer::Reply> pending_replies;
  EventHttpServer server{
      loop, ServerOptions(),
      [this](const ServerRequest& request, EventHttpServer::Reply reply) {
        if (request.path == "/held")
          pending_replies.push_back(std::move(reply));
        else
          reply({});
      }};
  testing::FaultProxy proxy{loop, {"127.0.0.1", server.Start().value(), ""}};
  EventHttpClient client{loop, proxy.address(), ClientOptions()};
};

TEST_CASE(
    "event http client: one timeout drops all idle connections that may be "
    "dead") {
  ProxyFixture fixture;
  fixture.OpenIdleConnections(8);
  fixture.proxy.BlackholeOpenConnections();
  const auto first = fixture.Send(Get("/"));
  REQUIRE(fixture.Await(first, 2 * kTimeout));
  CHECK_FALSE((*first)->response);
  CHECK((*first)->failure == SendFailure::kMayHaveSent);
  for (int i = 0; i < 8; ++i) {
    const auto next = fixture.Send(Get("/"));
    REQUIRE(fixture.Await(next, kPromptTimeout));
    CHECK((*next)->response);
  }
}

// Guards against a busy client that is taken for an unreachable peer.
TEST_CASE(
    "event http client: a request that finds no free connection tells that "
    "from a peer that cannot be reached") {
  ProxyFixture fixture;
  std::vector<std::shared_ptr<std::optional<HttpOutcome>>> busy;
  for (size_t i = 0; i < ProxyFixture::ClientOptions().max_connections; ++i)
    busy.push_back(fixture.Send(Get("/held"), 4 * kTimeout));
  const auto waiting = fixture.Send(Get("/"));
  REQUIRE(fixture.Await(waiting, 2 * kTimeout));
  CHECK((*waiting)->failure == SendFailure::kNotAttempted);
  CHECK(NothingWasSent((*waiting)->failure));
  EventHttpClient unreachable(fixture.loop, {"127.0.0.1", 1, ""},
                              ProxyFixture::ClientOptions());
  std::optional<HttpOutcome> refused;
  unreachable.Send(Get("/"), kTimeout,
                   [&](HttpOutcome outcome) { refused = std::move(outcome); });
  fixture.Run(kTimeout);
  REQUIRE(refused.has_value());
  CHECK(refused->failure == SendFailure::kNothingSent);
  CHECK(NothingWasSent(refused->failure));
}

TEST_CASE("event http client: a slow response does not fail other calls") {
  ProxyFixture fixture;
  fixture.OpenIdleConnections(4);
  const auto slow = fixture.Send(Get("/held"));
  const auto patient = fixture.Send(Get("/held"), 4 * kTimeout);
  fixture.Run(kTimeout / 2);
  const auto quick = fixture.Send(Get("/"));
  REQUIRE(fixture.Await(quick, kPromptTimeout));
  REQUIRE(fixture.Await(slow, kTimeout));
  CHECK_FALSE((*slow)->response);
  CHECK_FALSE(patient->has_value());
  fixture.ReplyToAll();
  REQUIRE(fixture.Await(patient, kPromptTimeout));
  CHECK((*patient)->response);
}

TEST_CASE("event http client: a connection that responded meanwhile is kept") {
  ProxyFixture fixture;
  fixture.OpenIdleConnections(2);
  const auto slow = fixture.Send(Get("/held"));
  fixture.Run(kTimeout / 2);
  const auto quick = fixture.Send(Get("/"));
  REQUIRE(fixture.Await(quick, kPromptTimeout));
  REQUIRE(fixture.Await(slow, kTimeout));
  // A pending reply keeps its connection open.
  fixture.pending_replies.clear();
  fixture.Run(kPromptTimeout);
  CHECK(fixture.server.Connections() == 1);
}

// A server that sends one response in pieces, each after a pause, and a client
// that requests it. The first piece is the header.
class PiecewiseServer {
 public:
  using Tcp = boost::asio::ip::tcp;

  PiecewiseServer(std::vector<absl::Duration> pauses, std::string piece)
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
            if (!e) SendPiece(0);
          });
    });
  }

  HttpOutcome Fetch(absl::Duration timeout, absl::Duration progress_timeout) {
    HttpRequest request = Get("/");
    request.progress_timeout = progress_timeout;
    std::optional<HttpOutcome> result;
    const absl::Time start = SystemNow().mono;
    client_.Send(request, timeout,
                 [&](HttpOutcome outcome) { result = std::move(outcome); });
    while (!result && SystemNow().mono < start + absl::Seconds(10)) {
      loop_.restart();
      loop_.run_for(std::chrono::milliseconds(2));
    }
    elapsed = SystemNow().mono - start;
    REQUIRE(result);
    return *result;
  }

  absl::Duration elapsed;

 private:
  // Sends piece `number` after its pause, then the remaining pieces.
  void SendPiece(size_t number) {
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
            if (!e) SendPiece(number + 1);
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

constexpr absl::Duration kProgressTimeout = absl::Milliseconds(150);
constexpr absl::Duration kLongTimeout = absl::Seconds(3);

TEST_CASE("event http client: a request without a response byte fails early") {
  PiecewiseServer server({absl::Seconds(8), absl::Milliseconds(1)}, "body");
  const HttpOutcome outcome = server.Fetch(kLongTimeout, kProgressTimeout);
  CHECK_FALSE(outcome.response);
  CHECK(outcome.failure == SendFailure::kMayHaveSent);
  CHECK(server.elapsed >= kProgressTimeout);
  CHECK(server.elapsed < 3 * kProgressTimeout);
}

TEST_CASE("event http client: a response that stalls midway fails early") {
  const absl::Duration short_pause = absl::Milliseconds(20);
  PiecewiseServer server(
      {short_pause, short_pause, short_pause, absl::Seconds(8), short_pause},
      std::string(2000, 'x'));
  const HttpOutcome outcome = server.Fetch(kLongTimeout, kProgressTimeout);
  CHECK_FALSE(outcome.response);
  CHECK(server.elapsed >= kProgressTimeout);
  CHECK(server.elapsed < 4 * kProgressTimeout);
}

TEST_CASE("event http client: a response that makes progress may take longer") {
  const std::vector<absl::Duration> pauses(20, kProgressTimeout / 3);
  PiecewiseServer server(pauses, std::string(2000, 'x'));
  const HttpOutcome outcome = server.Fetch(kLongTimeout, kProgressTimeout);
  REQUIRE(outcome.response);
  CHECK(outcome.response->body == std::string(size_t{19} * 2000, 'x'));
  CHECK(server.elapsed > 5 * kProgressTimeout);
}

TEST_CASE("event http client: a slow response fails at the overall timeout") {
  const std::vector<absl::Duration> pauses(200, kProgressTimeout / 10);
  PiecewiseServer server(pauses, std::string(20, 'x'));
  const HttpOutcome outcome =
      server.Fetch(2 * kProgressTimeout, kProgressTimeout);
  CHECK_FALSE(outcome.response);
  CHECK(server.elapsed < 4 * kProgressTimeout);
}

TEST_CASE(
    "event http client: without a progress timeout a response may pause") {
  PiecewiseServer server(
      {3 * kProgressTimeout, kProgressTimeout, kProgressTimeout}, "body");
  const HttpOutcome outcome =
      server.Fetch(kLongTimeout, absl::InfiniteDuration());
  REQUIRE(outcome.response);
  CHECK(outcome.response->body == "bodybody");
}

// The client of a worker is destroyed when the worker is forgotten, possibly
// during an observation. The call in flight must then end exactly once.
TEST_CASE("event http client: destruction during a call calls back once") {
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
  int callback_count = 0;
  const auto count = [&callback_count](const HttpOutcome&) {
    ++callback_count;
  };
  client->Send(Get("/"), kTimeout, count);
  loop.run_for(absl::ToChronoNanoseconds(kPromptTimeout));
  REQUIRE(callback_count == 1);
  client->Send(Get("/"), kTimeout, count);  // On the kept connection.
  client.reset();
  loop.restart();
  loop.run_for(absl::ToChronoNanoseconds(kPromptTimeout));
  CHECK(callback_count == 2);
}

// An iteration of a busy loop is long, so a large response must not take one
// iteration per read.
TEST_CASE("event http client: a large response takes few loop iterations") {
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
  // The server has sent much more data than one read takes before each
  // iteration of the client's loop.
  int iterations = 0;
  while (bytes == 0 && iterations < 1000) {
    server_loop.run_for(std::chrono::milliseconds(2));
    server_loop.restart();
    loop.poll_one();
    loop.restart();
    ++iterations;
  }
  CHECK(bytes == kBytes);
  MESSAGE("loop iterations for 1 MB: ", iterations,
          " (541 with one read per iteration)");
  CHECK(iterations <= 16);
}

}  // namespace
}  // namespace keelbridge
