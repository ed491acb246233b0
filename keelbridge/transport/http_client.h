// A blocking HTTP client with pooled keep-alive connections, each of which
// carries one request at a time.
//
// A failure reports whether any byte of the request may have been sent, from
// which callers derive the verdict. A connection on which an error occurred is
// closed and never reused, so a late response cannot be delivered to another
// request.
//
//   HttpClient client(address, HttpClient::Options());
//   HttpRequest request;
//   request.path = "/healthz";
//   HttpOutcome outcome = client.Send(request, absl::Seconds(1));
//   if (outcome.response) Use(outcome.response->body);

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

// Returns the value of the first header whose name equals `name`, ignoring
// case, or an empty string if there is none.
std::string FindHeader(const HttpHeaders& headers, const std::string& name);

// A request of `HttpClient` or `EventHttpClient`.
struct HttpRequest {
  std::string method = "GET";
  std::string path;
  HttpHeaders headers;
  std::string body;
  // `EventHttpClient` sends this instead of `body` on a connection that has not
  // carried a response yet, and closes a connection whose response is not 200.
  // On a reused connection the identity of the responding process is therefore
  // known.
  std::optional<std::string> first_body;
  std::string content_type = "application/json";
  // `EventHttpClient` fails a request, even before its overall timeout, if no
  // byte of the response arrives for this long after the request was written or
  // after the last byte arrived.
  absl::Duration progress_timeout = absl::InfiniteDuration();
};

struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

// How far a request without a response got.
enum class SendFailure {
  kNone,         // There is a response.
  kNothingSent,  // No byte was sent: the peer cannot have seen the request.
  kMayHaveSent,  // The peer may have received the whole request.
  // The client had no connection for the request. Nothing was sent, and nothing
  // is known of the peer.
  kNotAttempted,
};

// Returns whether the peer certainly has not seen a request that failed so.
inline bool NothingWasSent(SendFailure failure) {
  return failure == SendFailure::kNothingSent ||
         failure == SendFailure::kNotAttempted;
}

// The result of a request: a response, or the reason why there is none.
struct HttpOutcome {
  std::optional<HttpResponse> response;
  SendFailure failure = SendFailure::kNone;
  std::string message;   // Why there is no response.
  bool refused = false;  // Connection refused: no process listens on the port.
};

// Thread-safe: each call uses its own connection from the pool.
class HttpClient {
 public:
  struct Options {
    size_t max_idle = 16;              // Idle connections kept in the pool.
    size_t max_body_bytes = 16 << 20;  // A longer body is a failure.
    // The timeout of the request applies as well if it is shorter.
    absl::Duration connect_timeout = absl::Seconds(1);
    // Must be shorter than the server's keep-alive time.
    absl::Duration idle_expiry = absl::Milliseconds(800);
  };

  HttpClient(Address address, Options options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends `request` at most once and waits up to `timeout` for the complete
  // response.
  HttpOutcome Send(const HttpRequest& request, absl::Duration timeout);

 private:
  class Pool;
  std::unique_ptr<Pool> pool_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_HTTP_CLIENT_H_
