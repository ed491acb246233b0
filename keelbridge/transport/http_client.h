// Calls over HTTP on pooled keep-alive connections, one request at a time on
// each.
//
// A failure says whether any byte of the request may have left, which is what a
// verdict is made from. A connection on which anything went wrong is closed and
// never used again, so a late answer cannot reach another request.
//
//   HttpClient client(address, {.max_connections = 8});
//   HttpOutcome outcome = client.Send({.method = "GET", .path = "/healthz"},
//   absl::Seconds(1)); if (outcome.response) Use(outcome.response->body);

#ifndef KEELBRIDGE_TRANSPORT_HTTP_CLIENT_H_
#define KEELBRIDGE_TRANSPORT_HTTP_CLIENT_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/transport/address.h"

namespace keelbridge {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// The value of the first header `name`, compared without case; empty when there
// is none.
std::string FindHeader(const HttpHeaders& headers, const std::string& name);

struct HttpRequest {
  std::string method = "GET";
  std::string path;
  HttpHeaders headers;
  std::string body;
  // `EventHttpClient` sends this in place of `body` on a connection that has
  // carried no answer yet, and closes a connection whose answer is not 200: on
  // one that is used again, the process that gave the answers is known.
  std::optional<std::string> first_body;
  std::string content_type = "application/json";
  // `EventHttpClient` gives a request up once its answer has made no progress
  // for this long, however much of its time is left: no byte since the request
  // was written, or since the last one came.
  absl::Duration progress_timeout = absl::InfiniteDuration();
};

struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// How far a request without an answer came.
enum class SendFailure {
  kNone,         // There is an answer.
  kNothingSent,  // No byte left this process: the other side cannot have seen
                 // the request.
  kMayHaveSent,  // The other side may have seen all of it.
};

struct HttpOutcome {
  std::optional<HttpResponse> response;
  SendFailure failure = SendFailure::kNone;
  std::string message;   // Why there is no answer.
  bool refused = false;  // The port is closed: nobody listens there.
};

// Thread-safe: each call takes a connection of its own from the pool.
class HttpClient {
 public:
  struct Options {
    size_t max_idle = 16;  // Connections kept open between requests.
    size_t max_body_bytes = 16 << 20;  // A longer answer is a failure.
    absl::Duration connect_timeout =
        absl::Seconds(1);  // At most; the call's own time may be less.
    absl::Duration idle_expiry =
        absl::Milliseconds(800);  // Shorter than the server's keep-alive time.
  };

  HttpClient(Address address, Options options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends `request` once, never twice, and waits up to `timeout` for the whole
  // answer.
  HttpOutcome Send(const HttpRequest& request, absl::Duration timeout);

 private:
  class Pool;
  std::unique_ptr<Pool> pool_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_HTTP_CLIENT_H_
