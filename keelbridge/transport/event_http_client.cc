#include "keelbridge/transport/event_http_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/transport/event_timer.h"
#include "keelbridge/transport/read_available.h"

namespace keelbridge {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

HttpOutcome Failure(SendFailure failure, std::string message) {
  HttpOutcome outcome;
  outcome.failure = failure;
  outcome.message = std::move(message);
  return outcome;
}

// Limits the log lines about unresponsive connections to `kMaxLogLines` per
// `kLogLinePeriod`, because all connections of a process may stop responding at
// the same moment.
constexpr int kMaxLogLines = 5;
constexpr absl::Duration kLogLinePeriod = absl::Seconds(10);

// Maximum number of reads, of about 4 KB each, that one loop iteration makes
// for a response. With one read per iteration, a response of 1 MB took 541
// iterations of 70 to 100 ms each in a loaded loop and timed out after 1.5 s,
// so that a leader learned 10 s late which workers were leaving.
constexpr int kMaxReadsPerIteration = 256;

// Counts the log lines written in the current period and the lines suppressed
// since the last one that was written.
struct LogLineCounter {
  absl::Mutex mutex;
  absl::Time period_start = absl::InfinitePast();
  int written = 0;
  int64_t suppressed = 0;
};

// Returns the number of lines suppressed since the last one that was written,
// or nullopt if the current line must be suppressed too.
std::optional<int64_t> AcquireLogLine(absl::Time now) {
  static LogLineCounter& lines = *new LogLineCounter();
  const absl::MutexLock lock(&lines.mutex);
  if (now - lines.period_start >= kLogLinePeriod) {
    lines.period_start = now;
    lines.written = 0;
  }
  if (lines.written >= kMaxLogLines) {
    ++lines.suppressed;
    return std::nullopt;
  }
  ++lines.written;
  return std::exchange(lines.suppressed, 0);
}

void LogUnresponsive(const Address& address, absl::Duration waited,
                     std::optional<absl::Duration> idle, size_t dropped) {
  // A timeout on a new connection that dropped no other connection is left to
  // the caller to report.
  if (!idle && dropped == 0) return;
  const auto suppressed = AcquireLogLine(SystemNow().mono);
  if (!suppressed) return;
  const auto milliseconds = [](absl::Duration time) {
    return absl::StrCat(absl::ToInt64Milliseconds(time));
  };
  LogEvent(Severity::kWarning, "connection_silent",
           {{"address", address.ToString()},
            {"waited_ms", milliseconds(waited)},
            {"idle_before_ms", idle ? milliseconds(*idle) : "new"},
            {"others_dropped", absl::StrCat(dropped)},
            {"lines_left_out", absl::StrCat(*suppressed)}});
}

// A request that is queued or in flight. Its callback is called exactly once.
struct PendingRequest {
  HttpRequest request;
  EventHttpClient::Callback callback;
  absl::Time deadline;
  std::unique_ptr<EventTimer> timer;  // Set while waiting for a connection.
};

}  // namespace

class EventHttpClient::Impl
    : public std::enable_shared_from_this<EventHttpClient::Impl> {
 public:
  Impl(asio::io_context& loop, Address address, Options options)
      : loop_(loop), address_(std::move(address)), options_(options) {}

  void Send(HttpRequest request, absl::Duration timeout, Callback callback);
  void Release(const std::shared_ptr<EventHttpClientConnection>& connection,
               bool reusable);
  // Called when a connection has made no progress since `since`. `idle` is how
  // long it was idle before the request, or nullopt if it was new. Connections
  // that have not carried a response since `since` may be dead as well and are
  // not reused.
  void OnUnresponsive(absl::Time since, std::optional<absl::Duration> idle);
  bool IsPresumedDead(absl::Time last_answer) const {
    return last_answer < presumed_dead_before_;
  }
  void Close();

  asio::io_context& loop_;
  const Address address_;
  const Options options_;
  bool closed_ = false;

 private:
  void Dispatch();
  void ExpireWaiting(const std::shared_ptr<PendingRequest>& pending);

  std::deque<std::shared_ptr<PendingRequest>> waiting_;
  std::set<std::shared_ptr<EventHttpClientConnection>> busy_;
  std::deque<std::shared_ptr<EventHttpClientConnection>> idle_;
  absl::Time presumed_dead_before_ = absl::InfinitePast();
};

// One keep-alive connection of the pool.
class EventHttpClientConnection
    : public std::enable_shared_from_this<EventHttpClientConnection> {
 public:
  explicit EventHttpClientConnection(
      std::shared_ptr<EventHttpClient::Impl> pool)
      : pool_(std::move(pool)), stream_(pool_->loop_) {
    buffer_.reserve(pool_->options_.read_buffer_bytes);
  }

  // Returns whether the connection can carry another request: it is open, has
  // no unread data, is not presumed dead, and has not been idle for too long.
  bool IsUsable() {
    if (!stream_.socket().is_open()) return false;
    if (pool_->IsPresumedDead(last_answer_)) return false;
    if (SystemNow().mono - last_used_ > pool_->options_.idle_expiry)
      return false;
    char byte = 0;
    const ssize_t n = ::recv(stream_.socket().native_handle(), &byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void Start(std::shared_ptr<PendingRequest> pending) {
    pending_ = std::move(pending);
    pending_->timer.reset();
    // The connection may have become presumed dead since it was selected.
    if (stream_.socket().is_open() && pool_->IsPresumedDead(last_answer_))
      CloseStream();
    idle_.reset();
    if (stream_.socket().is_open()) {
      idle_ = SystemNow().mono - last_used_;
      return Write();
    }
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(pool_->address_.ip, error);
    if (error) return Finish(Failure(SendFailure::kNothingSent, "bad address"));
    stream_.expires_after(absl::ToChronoNanoseconds(
        std::min(pool_->options_.connect_timeout, Remaining())));
    stream_.async_connect(
        Tcp::endpoint(ip, static_cast<unsigned short>(pool_->address_.port)),
        [self = shared_from_this()](beast::error_code e) {
          if (e) {
            HttpOutcome outcome =
                Failure(SendFailure::kNothingSent, "connect: " + e.message());
            outcome.refused = e == boost::asio::error::connection_refused ||
                              e == boost::asio::error::connection_reset;
            return self->Finish(std::move(outcome));
          }
          self->OnConnected();
        });
  }

  void CloseStream() {
    stream_.close();
    buffer_.clear();
  }

  absl::Time last_answer() const { return last_answer_; }

  void Abort() {
    stream_.close();
    if (pending_) Finish(Failure(SendFailure::kMayHaveSent, "client closed"));
  }

 private:
  absl::Duration Remaining() const {
    return std::max(pending_->deadline - SystemNow().mono,
                    absl::Milliseconds(1));
  }

  void OnConnected() {
    if (!pending_) return;  // The request was aborted during the connect.
    answered_ = false;
    boost::system::error_code ignored;
    stream_.socket().set_option(Tcp::no_delay(true), ignored);
    const int milliseconds = 3000;
    setsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &milliseconds, sizeof(milliseconds));
    if (pool_->options_.drop_unsent)
      stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    Write();
  }

  void Write() {
    const HttpRequest& http_request = pending_->request;
    const std::string& body = http_request.first_body && !answered_
                                  ? *http_request.first_body
                                  : http_request.body;
    request_ = {};
    request_.version(11);
    request_.method_string(http_request.method);
    request_.target(pool_->address_.prefix + http_request.path);
    request_.set(http::field::host, pool_->address_.ip + ":" +
                                        std::to_string(pool_->address_.port));
    if (!body.empty())
      request_.set(http::field::content_type, http_request.content_type);
    for (const auto& [name, value] : http_request.headers)
      request_.set(name, value);
    request_.body() = body;
    request_.prepare_payload();
    last_progress_ = SystemNow().mono;
    stream_.expires_after(absl::ToChronoNanoseconds(Remaining()));
    http::async_write(stream_, request_,
                      [self = shared_from_this()](beast::error_code e, size_t) {
                        if (e) return self->Fail("write: ", e);
                        self->Read();
                      });
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(pool_->options_.max_body_bytes);
    parser_->eager(true);  // Parse header and body as they arrive.
    ReadSome();
  }

  // Reads the next part of the response. Each read has its own timeout, the
  // smaller of the remaining time and the request's progress timeout, so that a
  // stalled response is detected.
  void ReadSome() {
    if (!pending_) return;  // The request was aborted during the read.
    if (SystemNow().mono >= pending_->deadline)
      return Fail("read: ", beast::error::timeout);
    stream_.expires_after(absl::ToChronoNanoseconds(
        std::min(Remaining(), pending_->request.progress_timeout)));
    http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code e, size_t) {
          if (!e)
            e = internal::ReadAvailable(self->stream_.socket(), self->buffer_,
                                        *self->parser_, kMaxReadsPerIteration);
          if (e) return self->Fail("read: ", e);
          self->last_progress_ = SystemNow().mono;
          if (!self->parser_->is_done()) return self->ReadSome();
          self->OnResponse();
        });
  }

  void Fail(const char* step, beast::error_code error) {
    const bool is_timeout = error == beast::error::timeout ||
                            error == boost::asio::error::timed_out;
    if (is_timeout) pool_->OnUnresponsive(last_progress_, idle_);
    Finish(Failure(SendFailure::kMayHaveSent, step + error.message()));
  }

  void OnResponse() {
    auto& message = parser_->get();
    HttpOutcome outcome;
    outcome.response.emplace();
    outcome.response->status = static_cast<int>(message.result_int());
    for (const auto& field : message)
      outcome.response->headers.emplace_back(std::string(field.name_string()),
                                             std::string(field.value()));
    outcome.response->body = std::move(message.body());
    // Bytes after the response belong to no request, so the connection cannot
    // be reused.
    const bool may_be_another_process =
        pending_->request.first_body && outcome.response->status != 200;
    reusable_ =
        message.keep_alive() && buffer_.size() == 0 && !may_be_another_process;
    answered_ = true;
    Finish(std::move(outcome));
  }

  void Finish(HttpOutcome outcome) {
    if (!pending_) return;
    const auto pending = std::move(pending_);
    pending_ = nullptr;
    const bool reusable = outcome.response.has_value() && reusable_;
    last_used_ = SystemNow().mono;
    if (reusable) {
      stream_.expires_never();
      last_answer_ = last_used_;
    } else {
      CloseStream();
    }
    pool_->Release(shared_from_this(), reusable);
    pending->callback(std::move(outcome));
  }

  std::shared_ptr<EventHttpClient::Impl> pool_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::shared_ptr<PendingRequest> pending_;
  absl::Time last_used_;
  absl::Time last_answer_ = absl::InfinitePast();
  // When the last bytes arrived, or when the write of the request began.
  absl::Time last_progress_;
  // How long the connection was idle before the current request; nullopt if it
  // is new.
  std::optional<absl::Duration> idle_;
  bool reusable_ = true;
  bool answered_ = false;  // Whether a response arrived since the connect.
};

void EventHttpClient::Impl::Send(HttpRequest request, absl::Duration timeout,
                                 Callback callback) {
  auto pending = std::make_shared<PendingRequest>();
  pending->request = std::move(request);
  pending->callback = std::move(callback);
  pending->deadline = SystemNow().mono + timeout;
  if (closed_ || waiting_.size() >= options_.max_waiting) {
    asio::post(loop_, [pending] {
      pending->callback(
          Failure(SendFailure::kNotAttempted, "too many waiting"));
    });
    return;
  }
  waiting_.push_back(pending);
  Dispatch();
  const bool still_waiting = !waiting_.empty() && waiting_.back() == pending;
  if (!still_waiting) return;
  pending->timer =
      std::make_unique<EventTimer>(loop_, absl::ToChronoNanoseconds(timeout));
  pending->timer->async_wait(
      [self = shared_from_this(), pending](boost::system::error_code error) {
        if (!error) self->ExpireWaiting(pending);
      });
}

void EventHttpClient::Impl::ExpireWaiting(
    const std::shared_ptr<PendingRequest>& pending) {
  const auto at = std::find(waiting_.begin(), waiting_.end(), pending);
  if (at == waiting_.end()) return;
  waiting_.erase(at);
  pending->callback(Failure(SendFailure::kNotAttempted, "no free connection"));
}

void EventHttpClient::Impl::Dispatch() {
  while (!waiting_.empty()) {
    std::shared_ptr<EventHttpClientConnection> connection;
    while (!connection && !idle_.empty()) {
      connection = idle_.back();
      idle_.pop_back();
      if (!connection->IsUsable()) connection = nullptr;
    }
    if (!connection) {
      if (busy_.size() >= options_.max_connections) return;
      connection =
          std::make_shared<EventHttpClientConnection>(shared_from_this());
    }
    busy_.insert(connection);
    const auto pending = waiting_.front();
    waiting_.pop_front();
    asio::post(loop_, [connection, pending] { connection->Start(pending); });
  }
}

void EventHttpClient::Impl::Release(
    const std::shared_ptr<EventHttpClientConnection>& connection,
    bool reusable) {
  busy_.erase(connection);
  if (closed_) return;
  if (reusable) idle_.push_back(connection);
  Dispatch();
}

void EventHttpClient::Impl::OnUnresponsive(absl::Time since,
                                           std::optional<absl::Duration> idle) {
  presumed_dead_before_ = std::max(presumed_dead_before_, since);
  const size_t before = idle_.size();
  const auto presumed_dead = std::remove_if(
      idle_.begin(), idle_.end(),
      [this](const auto& kept) { return IsPresumedDead(kept->last_answer()); });
  idle_.erase(presumed_dead, idle_.end());
  LogUnresponsive(address_, SystemNow().mono - since, idle,
                  before - idle_.size());
}

void EventHttpClient::Impl::Close() {
  closed_ = true;
  idle_.clear();
  const auto waiting = std::move(waiting_);
  waiting_.clear();
  for (const auto& pending : waiting) {
    asio::post(loop_, [pending] {
      pending->callback(Failure(SendFailure::kNotAttempted, "client closed"));
    });
  }
  for (const auto& connection : busy_)
    asio::post(loop_, [connection] { connection->Abort(); });
}

EventHttpClient::EventHttpClient(asio::io_context& loop, Address address,
                                 Options options)
    : impl_(std::make_shared<Impl>(loop, std::move(address), options)) {}
EventHttpClient::~EventHttpClient() { impl_->Close(); }
void EventHttpClient::Send(HttpRequest request, absl::Duration timeout,
                           Callback callback) {
  impl_->Send(std::move(request), timeout, std::move(callback));
}
const Address& EventHttpClient::address() const { return impl_->address_; }

}  // namespace keelbridge
