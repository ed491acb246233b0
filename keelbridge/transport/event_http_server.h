// An HTTP/1.1 server on one event loop, for machines with a fraction of a core.
//
// A connection costs a buffer, not a thread. A handler may reply
// asynchronously: it keeps the reply function and calls it once, from the
// loop's thread. The sizes of header and body, the number of connections, and
// the time a client may take are limited. A request whose header or body is too
// large gets a 4xx response, and its connection is closed.
//
//   EventHttpServer server(loop, options, [](const ServerRequest& request,
//                                            EventHttpServer::Reply reply) {
//     reply({200, {}, "hello", "text/plain"});
//   });
//   Result<int> port = server.Start();

#ifndef KEELBRIDGE_TRANSPORT_EVENT_HTTP_SERVER_H_
#define KEELBRIDGE_TRANSPORT_EVENT_HTTP_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "keelbridge/base/result.h"
#include "keelbridge/transport/address.h"
#include "keelbridge/transport/http_server.h"

namespace keelbridge {

// Not thread-safe: all calls must come from the loop's thread.
class EventHttpServer {
 public:
  struct Options {
    Address listen;  // Port 0 lets the kernel pick one.
    size_t max_connections = 1500;
    size_t max_header_bytes = 16 << 10;
    size_t max_body_bytes = 256 << 10;
    absl::Duration read_timeout = absl::Seconds(3);   // For one request.
    absl::Duration idle_timeout = absl::Seconds(15);  // Between requests.
    absl::Duration write_timeout = absl::Seconds(3);
    // When the server is full, a new connection replaces the longest idle one
    // if that has been idle for at least this long; otherwise the new
    // connection is closed.
    absl::Duration evict_idle_after = absl::InfiniteDuration();
    // Whether to skip the handler for a request whose client has already closed
    // the connection. Only for clients that never half-close a connection.
    bool skip_abandoned = false;
  };
  // Must be called exactly once per request; further calls have no effect.
  using Reply = std::function<void(ServerResponse)>;
  using Handler = std::function<void(const ServerRequest&, Reply)>;

  EventHttpServer(boost::asio::io_context& loop, Options options,
                  Handler handler);
  ~EventHttpServer();
  EventHttpServer(const EventHttpServer&) = delete;
  EventHttpServer& operator=(const EventHttpServer&) = delete;

  // Binds the address and starts accepting connections. Returns the port, or an
  // error if the address cannot be used.
  Result<int> Start();

  // Makes every further response close its connection, including responses on
  // connections that are idle now.
  void Drain();

  // Closes the listening socket. Open connections are still served.
  void StopAccepting();

  // Number of requests whose responses have not been written yet.
  size_t InFlight() const;
  // Number of open connections.
  size_t Connections() const;

 private:
  friend class EventHttpConnection;
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_EVENT_HTTP_SERVER_H_
