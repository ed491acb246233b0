// Serves HTTP with bounded threads, bodies and waits.
//
// One thread serves one connection. When all are busy, a further connection is
// answered at once with 503 and `Retry-After` by a thread kept for that.
// `Drain` makes every answer carry `Connection: close`, so that callers move
// away before `Stop`, which finishes the requests in flight.
//
//   HttpServer server({.ip = "127.0.0.1", .port = 0}, [](const ServerRequest&
//   request) {
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

struct ServerRequest {
  std::string method;
  std::string path;  // Without the query.
  std::multimap<std::string, std::string> query;
  HttpHeaders headers;
  std::string body;

  // The first value of `key` in the query, or `otherwise`.
  std::string Query(const std::string& key,
                    const std::string& fallback = "") const;
};

struct ServerResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  std::string content_type = "application/json";
  // Announce a longer body than is sent, then close. For stand-ins that cut
  // answers off.
  size_t truncated_bytes = 0;
  // The connection ends with this answer.
  bool close_connection = false;
};

class HttpServer {
 public:
  struct Options {
    std::string ip = "127.0.0.1";
    int port = 0;  // 0: the kernel picks one.
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

  // Binds and serves on threads of its own. Returns the port, or says why the
  // address cannot be used.
  Result<int> Start();

  // From now on every answer asks its caller to close the connection.
  void Drain();

  // Stops accepting, finishes what is in flight, and returns when all threads
  // have ended.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_TRANSPORT_HTTP_SERVER_H_
