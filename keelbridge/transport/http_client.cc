#include "keelbridge/transport/http_client.h"

#include <httplib.h>

#include <algorithm>

#include "absl/base/thread_annotations.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "keelbridge/base/clock.h"

namespace keelbridge {
namespace {

// Lower bound of socket timeouts; no socket call can complete within less.
constexpr absl::Duration kMinTimeout = absl::Milliseconds(1);

struct Connection {
  std::unique_ptr<httplib::Client> client;
  absl::Time last_used;
};

bool ProvesNothingSent(httplib::Error error) {
  return error == httplib::Error::Connection ||
         error == httplib::Error::ConnectionTimeout ||
         error == httplib::Error::BindIPAddress;
}

void SetTimeouts(httplib::Client& client, absl::Duration timeout,
                 absl::Duration connect_timeout) {
  const timeval io = absl::ToTimeval(std::max(timeout, kMinTimeout));
  const timeval connect = absl::ToTimeval(
      std::max(std::min(timeout, connect_timeout), kMinTimeout));
  client.set_connection_timeout(connect.tv_sec, connect.tv_usec);
  client.set_read_timeout(io.tv_sec, io.tv_usec);
  client.set_write_timeout(io.tv_sec, io.tv_usec);
}

// Returns whether the response declares where its body ends. A body that ends
// with the connection may have been truncated.
bool HasKnownLength(const httplib::Response& response) {
  return response.has_header("Content-Length") ||
         response.has_header("Transfer-Encoding") || response.status == 204 ||
         response.status == 304;
}

httplib::Request ToLibraryRequest(const HttpRequest& request,
                                  const Address& address) {
  httplib::Request out;
  out.method = request.method;
  out.path = address.prefix + request.path;
  for (const auto& [name, value] : request.headers)
    out.headers.emplace(name, value);
  if (!request.body.empty() || request.method == "POST" ||
      request.method == "PUT") {
    out.body = request.body;
    out.headers.emplace("Content-Type", request.content_type);
  }
  return out;
}

}  // namespace

std::string FindHeader(const HttpHeaders& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (absl::EqualsIgnoreCase(key, name)) return value;
  }
  return "";
}

class HttpClient::Pool {
 public:
  Pool(Address address, Options options)
      : address_(std::move(address)), options_(options) {}

  const Address& address() const { return address_; }
  const Options& options() const { return options_; }

  Connection Acquire(absl::Time now) {
    {
      absl::MutexLock lock(&mutex_);
      while (!idle_.empty()) {
        Connection connection = std::move(idle_.back());
        idle_.pop_back();
        if (now - connection.last_used < options_.idle_expiry)
          return connection;
      }
    }
    Connection connection;
    connection.client =
        std::make_unique<httplib::Client>(address_.ip, address_.port);
    connection.client->set_keep_alive(true);
    connection.client->set_tcp_nodelay(true);
    connection.client->set_follow_location(false);
    return connection;
  }

  void Return(Connection connection, absl::Time now) {
    connection.last_used = now;
    absl::MutexLock lock(&mutex_);
    if (idle_.size() < options_.max_idle)
      idle_.push_back(std::move(connection));
  }

 private:
  const Address address_;
  const Options options_;
  absl::Mutex mutex_;
  std::vector<Connection> idle_ ABSL_GUARDED_BY(mutex_);
};

HttpClient::HttpClient(Address address, Options options)
    : pool_(std::make_unique<Pool>(std::move(address), options)) {}

HttpClient::~HttpClient() = default;

HttpOutcome HttpClient::Send(const HttpRequest& request,
                             absl::Duration timeout) {
  const absl::Time start = SystemNow().mono;
  Connection connection = pool_->Acquire(start);
  SetTimeouts(*connection.client, timeout, pool_->options().connect_timeout);

  httplib::Request out = ToLibraryRequest(request, pool_->address());
  std::string body;
  const size_t body_limit = pool_->options().max_body_bytes;
  out.content_receiver = [&body, body_limit, start, timeout](
                             const char* data, size_t length, uint64_t,
                             uint64_t) {
    if (body.size() + length > body_limit || SystemNow().mono - start > timeout)
      return false;
    body.append(data, length);
    return true;
  };

  httplib::Result result = connection.client->send(out);
  HttpOutcome outcome;
  if (!result) {
    outcome.failure = ProvesNothingSent(result.error())
                          ? SendFailure::kNothingSent
                          : SendFailure::kMayHaveSent;
    outcome.message = absl::StrCat(pool_->address().ToString(), ": ",
                                   httplib::to_string(result.error()));
    return outcome;
  }
  if (!HasKnownLength(*result)) {
    outcome.failure = SendFailure::kMayHaveSent;
    outcome.message = absl::StrCat(pool_->address().ToString(),
                                   ": the answer does not say where it ends");
    return outcome;
  }
  HttpResponse response;
  response.status = result->status;
  response.body = std::move(body);
  for (const auto& [name, value] : result->headers)
    response.headers.emplace_back(name, value);
  if (!absl::EqualsIgnoreCase(FindHeader(response.headers, "Connection"),
                              "close")) {
    pool_->Return(std::move(connection), SystemNow().mono);
  }
  outcome.response = std::move(response);
  return outcome;
}

}  // namespace keelbridge
