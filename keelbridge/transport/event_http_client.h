// An HTTP/1.1 client for one address, with pooled keep-alive connections on an
// event loop.
//
// Each connection carries one request at a time. A request that finds all
// connections busy waits for one, up to its own timeout. A connection on which
// an error occurred is closed, so a late response cannot be delivered to
// another request. The outcome reports whether any byte of the request may have
// been sent. A connection may stop responding without being closed; after a
// request timed out, the client therefore reuses only connections that have
// carried a response since that request was sent.
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

// Not thread-safe: all calls must come from the loop's thread. Destroying the
// client aborts the requests in flight and calls their callbacks with a
// failure.
class EventHttpClient {
 public:
  struct Options {
    size_t max_connections = 4;
    size_t max_waiting = 1000;
    size_t max_body_bytes = 16 << 20;
    // Size of one read. A larger response takes several reads.
    size_t read_buffer_bytes = 4 << 10;
    absl::Duration connect_timeout = absl::Milliseconds(500);
    // A connection that has been idle for longer is not reused.
    absl::Duration idle_expiry = absl::Seconds(10);
    // Whether closing a connection discards data that the kernel has not
    // delivered yet, so that a request that timed out does not arrive after a
    // network partition heals.
    bool drop_unsent = false;
  };
  using Callback = std::function<void(HttpOutcome)>;

  EventHttpClient(boost::asio::io_context& loop, Address address,
                  Options options);
  ~EventHttpClient();
  EventHttpClient(const EventHttpClient&) = delete;
  EventHttpClient& operator=(const EventHttpClient&) = delete;

  // Sends `request` at most once and calls `callback` within `timeout`. Never
  // calls it before this function returns.
  void Send(HttpRequest request, absl::Duration timeout, Callback callback);

  const Address& address() const;

 private:
  friend class EventHttpClientConnection;
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_EVENT_HTTP_CLIENT_H_
