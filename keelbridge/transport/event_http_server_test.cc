#include "keelbridge/transport/event_http_server.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "keelbridge/transport/event_http_client.h"

namespace keelbridge {
namespace {

TEST_CASE("event http server: a response may close its connection") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  bool should_close = false;
  EventHttpServer server(
      loop, options,
      [&](const ServerRequest&, const EventHttpServer::Reply& reply) {
        ServerResponse response;
        response.close_connection = should_close;
        reply(std::move(response));
      });
  const auto port = server.Start();
  REQUIRE(port);
  EventHttpClient client(loop, {"127.0.0.1", port.value(), ""},
                         EventHttpClient::Options());
  const auto fetch_connection_header = [&] {
    std::string connection = "no answer";
    HttpRequest request;
    request.method = "GET";
    request.path = "/";
    client.Send(request, absl::Seconds(5), [&](const HttpOutcome& outcome) {
      if (!outcome.response) return;
      connection.clear();
      for (const auto& [name, value] : outcome.response->headers) {
        if (name == "Connection") connection = value;
      }
    });
    loop.run_for(std::chrono::milliseconds(200));
    loop.restart();
    return connection;
  };
  CHECK(fetch_connection_header() == "");
  CHECK(server.Connections() == 1);
  should_close = true;
  CHECK(fetch_connection_header() == "close");
  CHECK(server.Connections() == 0);
}

// An iteration of a busy loop takes 70 to 100 ms and runs one operation per
// connection. If a request that has arrived completely is read in up to four
// iterations, first its header and then 16 KB of its body at a time, a busy
// leader responds late by as many iterations.
TEST_CASE(
    "event http server: a request that has arrived is read in one iteration") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  size_t requests = 0;
  size_t body_bytes = 0;
  EventHttpServer server(
      loop, options,
      [&](const ServerRequest& request, const EventHttpServer::Reply&) {
        ++requests;
        body_bytes = request.body.size();
      });
  const auto port = server.Start();
  REQUIRE(port);
  for (const size_t bytes : {0, 300, 60000}) {
    boost::asio::io_context caller_loop;
    boost::asio::ip::tcp::socket socket(caller_loop);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                    static_cast<uint16_t>(port.value())});
    loop.run_for(std::chrono::milliseconds(50));  // Accepts the connection.
    loop.restart();
    const std::string text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                             std::to_string(bytes) + "\r\n\r\n" +
                             std::string(bytes, 'x');
    boost::asio::write(socket, boost::asio::buffer(text));
    const size_t before = requests;
    size_t iterations = 0;  // Iterations that ran a handler.
    for (int i = 0; i < 100 && requests == before; ++i) {
      iterations += loop.poll_one();
      loop.restart();
    }
    CAPTURE(bytes);
    MESSAGE("loop iterations for ", bytes, " bytes: ", iterations);
    CHECK(requests == before + 1);
    CHECK(body_bytes == bytes);
    CHECK(iterations <= 1);
  }
}

// A server with a limit of three connections, and clients with one connection
// each. Replies to /held are kept until the test sends them.
struct FullServer {
  using Result = std::shared_ptr<std::optional<HttpOutcome>>;

  explicit FullServer(absl::Duration evict_idle_after)
      : server(
            loop, MakeOptions(evict_idle_after),
            [this](const ServerRequest& request, EventHttpServer::Reply reply) {
              if (request.path == "/held")
                pending_replies.push_back(std::move(reply));
              else
                reply({});
            }),
        address{"127.0.0.1", server.Start().value(), ""} {}

  static EventHttpServer::Options MakeOptions(absl::Duration evict_idle_after) {
    EventHttpServer::Options options;
    options.listen = {"127.0.0.1", 0, ""};
    options.max_connections = 3;
    options.evict_idle_after = evict_idle_after;
    return options;
  }
  // Sends a request from a new client, whose connection stays open.
  Result Send(const std::string& path) {
    callers.push_back(std::make_unique<EventHttpClient>(
        loop, address, EventHttpClient::Options()));
    auto result = std::make_shared<std::optional<HttpOutcome>>();
    HttpRequest request;
    request.path = path;
    callers.back()->Send(
        request, absl::Seconds(5),
        [result](HttpOutcome outcome) { *result = std::move(outcome); });
    loop.restart();
    loop.run_for(std::chrono::milliseconds(50));
    return result;
  }
  static bool IsAnswered(const Result& result) {
    return result->has_value() && (*result)->response.has_value();
  }

  boost::asio::io_context loop;
  std::vector<EventHttpServer::Reply> pending_replies;
  EventHttpServer server;
  Address address;
  std::vector<std::unique_ptr<EventHttpClient>> callers;
};

TEST_CASE(
    "event http server: a full server closes the longest idle connection") {
  FullServer fixture(/*evict_idle_after=*/absl::Milliseconds(20));
  const auto oldest = fixture.Send("/held");
  CHECK(FullServer::IsAnswered(fixture.Send("/")));
  CHECK(FullServer::IsAnswered(fixture.Send("/")));
  CHECK(fixture.server.Connections() == 3);
  const auto fourth = fixture.Send("/held");
  CHECK(fixture.pending_replies.size() == 2);
  CHECK(fixture.server.Connections() == 3);
  const auto fifth = fixture.Send("/held");
  CHECK(fixture.pending_replies.size() == 3);
  // All connections have a request in flight, so the next one is rejected.
  CHECK_FALSE(FullServer::IsAnswered(fixture.Send("/")));
  for (const auto& reply : fixture.pending_replies) reply({});
  fixture.loop.restart();
  fixture.loop.run_for(std::chrono::milliseconds(50));
  CHECK(FullServer::IsAnswered(oldest));
  CHECK(FullServer::IsAnswered(fourth));
  CHECK(FullServer::IsAnswered(fifth));
}

TEST_CASE(
    "event http server: a full server rejects new connections otherwise") {
  FullServer fixture(absl::InfiniteDuration());
  for (int i = 0; i < 3; ++i) CHECK(FullServer::IsAnswered(fixture.Send("/")));
  CHECK_FALSE(FullServer::IsAnswered(fixture.Send("/")));
  CHECK(fixture.server.Connections() == 3);
  // A connection that was used recently is not evicted either.
  FullServer other(absl::Seconds(2));
  for (int i = 0; i < 3; ++i) CHECK(FullServer::IsAnswered(other.Send("/")));
  CHECK_FALSE(FullServer::IsAnswered(other.Send("/")));
}

// An iteration of a busy loop is long, so clients that connect at the same time
// must not wait one iteration each.
TEST_CASE(
    "event http server: pending connections are accepted in one iteration") {
  constexpr size_t kCallers = 60;
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  EventHttpServer server(
      loop, options,
      [](const ServerRequest&, const EventHttpServer::Reply&) {});
  const auto port = server.Start();
  REQUIRE(port);
  boost::asio::io_context client_loop;
  std::vector<boost::asio::ip::tcp::socket> callers;
  for (size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back(client_loop);
    callers.back().connect({boost::asio::ip::make_address("127.0.0.1"),
                            static_cast<unsigned short>(port.value())});
  }
  loop.poll_one();
  MESSAGE("accepted in one loop iteration: ", server.Connections(),
          " (1 with one accept per iteration)");
  CHECK(server.Connections() == kCallers);
}

}  // namespace
}  // namespace keelbridge
