// An HTTP server with limits on threads, body sizes and waiting times.
//
// Each thread serves one connection. When all threads are busy, a separate
// thread immediately answers a further connection with 503 and `Retry-After`.
// `Drain` adds `Connection: close` to every response, so that clients move to
// another server before `Stop`, which completes the requests in flight.
//
//   HttpServer::Options options;
//   options.port = 8080;
//   HttpServer server(options, [](const ServerRequest& request) {
//     return ServerResponse{200, {}, "hello", "text/plain"};
//   });
//   Result<int> port = server.Start();

#ifndef KEELBRIDGE_TRANSPORT_HTTP_SERVER_H_
#define KEELBRIDGE_TRANSPORT_HTTP_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/time/time.h"
#include "keelbridge/base/result.h"
#include "keelbridge/transport/http_client.h"

namespace keelbridge {

// A request as a handler receives it.
struct ServerRequest {
  std::string method;
  std::string path;  // Without the query string.
  std::multimap<std::string, std::string> query;
  HttpHeaders headers;
  std::string body;

  // Returns the first value of `key` in the query string, or `fallback`.
  std::string Query(const std::string& key,
                    const std::string& fallback = "") const;
};

// A handler's response.
struct ServerResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  std::string content_type = "application/json";
  // Number of bytes by which the announced length exceeds the body that is sent
  // before the connection closes. For fake servers that truncate responses.
  size_t truncated_bytes = 0;
  // Whether to close the connection after this response.
  bool close_connection = false;
};

class HttpServer {
 public:
  struct Options {
    std::string ip = "127.0.0.1";
    int port = 0;  // 0 lets the kernel pick one.
    size_t max_threads = 64;
    size_t max_body_bytes = 4 << 20;  // A longer body is answered with 413.
    absl::Duration read_timeout = absl::Seconds(5);
    absl::Duration keep_alive = absl::Seconds(1);
  };
  using Handler = std::function<ServerResponse(const ServerRequest&)>;

  HttpServer(Options options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Binds the address and serves on threads owned by the server. Returns the
  // port, or an error if the address cannot be used.
  Result<int> Start();

  // Makes every further response ask the client to close the connection.
  void Drain();

  // Stops accepting connections, completes the requests in flight, and returns
  // when all threads have ended.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_HTTP_SERVER_H_
