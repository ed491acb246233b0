#include "keelbridge/transport/event_http_server.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>

#include "keelbridge/transport/event_http_client.h"

namespace keelbridge {
namespace {

TEST_CASE("event http server: an answer may end its connection") {
  boost::asio::io_context loop;
  EventHttpServer::Options options;
  options.listen = {"127.0.0.1", 0, ""};
  bool ends = false;
  EventHttpServer server(
      loop, options,
      [&](const ServerRequest&, const EventHttpServer::Reply& reply) {
        ServerResponse response;
        response.close_connection = ends;
        reply(std::move(response));
      });
  const auto port = server.Start();
  REQUIRE(port);
  EventHttpClient client(loop, {"127.0.0.1", port.value(), ""},
                         EventHttpClient::Options());
  const auto ask = [&] {
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
  CHECK(ask() == "");
  CHECK(server.Connections() == 1);
  ends = true;
  CHECK(ask() == "close");
  CHECK(server.Connections() == 0);
}

}  // namespace
}  // namespace keelbridge
