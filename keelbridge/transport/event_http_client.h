// An HTTP/1.1 client to one address on an event loop, with kept connections.
//
// One request at a time on each connection. A request that finds all
// connections busy waits, within its own time. A connection on which anything
// went wrong is closed, so a late answer cannot reach another request. The
// outcome says whether a byte of the request may have left. Connections may go
// silent for good, without an end: after a request that got no answer in time
// no connection is used again that has not carried an answer since it left.
//
//   auto client = std::make_shared<EventHttpClient>(loop, address, options);
//   client->Send(request, absl::Seconds(1), [](HttpOutcome outcome) {
//     if (outcome.response) Use(outcome.response->body);
//   });

#ifndef KEELBRIDGE_TRANSPORT_EVENT_HTTP_CLIENT_H_
#define KEELBRIDGE_TRANSPORT_EVENT_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "absl/time/time.h"
#include "keelbridge/transport/address.h"
#include "keelbridge/transport/http_client.h"

namespace keelbridge {

class EventHttpClientConnection;

// Not thread-safe: all calls from the loop's thread. Destroying it ends what is
// under way; the callbacks of these requests are then called with a failure.
class EventHttpClient {
 public:
  struct Options {
    size_t max_connections = 4;
    size_t max_waiting = 1000;
    size_t max_body_bytes = 16 << 20;
    // What is read at once; a larger answer takes several turns of the loop.
    size_t read_buffer_bytes = 4 << 10;
    absl::Duration connect_timeout = absl::Milliseconds(500);
    // A connection idle for longer is not used again.
    absl::Duration idle_expiry = absl::Seconds(10);
    // Closing a connection drops what the kernel has not delivered yet, so that
    // a request that was given up does not arrive once a cut link heals.
    bool drop_unsent = false;
  };
  using Callback = std::function<void(HttpOutcome)>;

  EventHttpClient(boost::asio::io_context& loop, Address address,
                  Options options);
  ~EventHttpClient();
  EventHttpClient(const EventHttpClient&) = delete;
  EventHttpClient& operator=(const EventHttpClient&) = delete;

  // Sends `request` at most once and calls back within `timeout`, never from
  // within this call.
  void Send(HttpRequest request, absl::Duration timeout, Callback callback);

  const Address& address() const;

 private:
  friend class EventHttpClientConnection;
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_EVENT_HTTP_CLIENT_H_
