// An HTTP/1.1 server on one event loop, for machines with a fraction of a core.
//
// A connection costs a buffer, not a thread. A handler may answer later: it
// keeps the reply function and calls it once, from the loop's thread. Header,
// body, connection count, and the time a caller may take are bounded; what is
// over a bound gets 4xx and its connection is closed.
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

// Not thread-safe: all calls from the loop's thread.
class EventHttpServer {
 public:
  struct Options {
    Address listen;  // Port 0: the kernel picks one.
    size_t max_connections = 1500;
    size_t max_header_bytes = 16 << 10;
    size_t max_body_bytes = 256 << 10;
    absl::Duration read_timeout = absl::Seconds(3);   // Of one whole request.
    absl::Duration idle_timeout = absl::Seconds(15);  // Between requests.
    absl::Duration write_timeout = absl::Seconds(3);
    // A server that is full closes the connection that idles longest for a new
    // one, if it has idled for this long. Infinite: the new one is turned away.
    absl::Duration evict_idle_after = absl::InfiniteDuration();
    // A request whose caller has closed the connection meanwhile is not passed
    // to the handler. Only for callers that never close one direction alone.
    bool skip_abandoned = false;
  };
  // Must be called exactly once for each request; later calls do nothing.
  using Reply = std::function<void(ServerResponse)>;
  using Handler = std::function<void(const ServerRequest&, Reply)>;

  EventHttpServer(boost::asio::io_context& loop, Options options,
                  Handler handler);
  ~EventHttpServer();
  EventHttpServer(const EventHttpServer&) = delete;
  EventHttpServer& operator=(const EventHttpServer&) = delete;

  // Binds and starts to accept. The port, or why the address cannot be used.
  Result<int> Start();

  // From now on every answer closes its connection, idle connections included
  // once they ask.
  void Drain();

  // Closes the listening socket; open connections go on.
  void StopAccepting();

  // Requests that were read and not answered yet.
  size_t InFlight() const;
  size_t Connections() const;

 private:
  friend class EventHttpConnection;
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_EVENT_HTTP_SERVER_H_
