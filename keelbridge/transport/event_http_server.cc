#include "keelbridge/transport/event_http_server.h"

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <optional>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
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

// Delay before the next accept after an accept failed, for example because the
// process ran out of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay(50);
// One iteration of a loaded loop takes 70 to 100 ms. With one accept per
// iteration, clients that reconnected waited for over a second, timed out, and
// connected again, so that a busy leader stayed unreachable.
constexpr int kMaxAcceptsPerIteration = 64;
// Initial capacity of the read buffer. A message of 20 KB then takes two loop
// iterations instead of the seven that a small, growing buffer takes.
constexpr size_t kReadBufferBytes = 16 << 10;
// Maximum number of reads of a body in one loop iteration (1 MB), so that one
// client does not delay the others.
constexpr int kMaxReadsPerIteration = 64;

void SetSocketOptions(Tcp::socket& socket, absl::Duration peer_timeout) {
  boost::system::error_code ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const int milliseconds =
      static_cast<int>(absl::ToInt64Milliseconds(peer_timeout));
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
             &milliseconds, sizeof(milliseconds));
}

void SplitTarget(const std::string& target, ServerRequest* request) {
  const size_t question_mark = target.find('?');
  request->path = target.substr(0, question_mark);
  if (question_mark == std::string::npos) return;
  for (absl::string_view pair :
       absl::StrSplit(absl::string_view(target).substr(question_mark + 1), '&',
                      absl::SkipEmpty())) {
    const std::pair<absl::string_view, absl::string_view> parts =
        absl::StrSplit(pair, absl::MaxSplits('=', 1));
    request->query.emplace(std::string(parts.first), std::string(parts.second));
  }
}

}  // namespace

class EventHttpConnection;

class EventHttpServer::Impl
    : public std::enable_shared_from_this<EventHttpServer::Impl> {
 public:
  Impl(asio::io_context& loop, Options options, Handler handler)
      : options_(std::move(options)),
        handler_(std::move(handler)),
        acceptor_(loop),
        accept_timer_(loop) {}

  Result<int> Listen() {
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(options_.listen.ip, error);
    if (!error) acceptor_.open(Tcp::v4(), error);
    if (!error) acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
    if (!error)
      acceptor_.bind({ip, static_cast<unsigned short>(options_.listen.port)},
                     error);
    if (!error)
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
      return MakeError(
          ErrorCode::kUnavailable,
          absl::StrCat("cannot listen on ", options_.listen.ToString(), ": ",
                       error.message()));
    }
    Accept();
    return static_cast<int>(acceptor_.local_endpoint().port());
  }

  void Close() {
    closed_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    accept_timer_.cancel();
  }

  const Options options_;
  const Handler handler_;
  bool draining_ = false;
  size_t in_flight_ = 0;
  size_t connections_ = 0;
  // Connections that wait for a request, the longest idle first.
  std::list<EventHttpConnection*> idle_;

 private:
  void Accept();
  // Accepts further pending connections, beyond the one that woke the loop.
  void AcceptPending();
  void Serve(Tcp::socket socket);
  // Closes the longest idle connection that may be evicted. Returns whether
  // there was one.
  bool EvictIdleConnection();

  Tcp::acceptor acceptor_;
  EventTimer accept_timer_;
  bool closed_ = false;
};

// One connection: repeatedly reads a request, waits for the reply of the
// handler and writes it.
class EventHttpConnection
    : public std::enable_shared_from_this<EventHttpConnection> {
 public:
  EventHttpConnection(std::shared_ptr<EventHttpServer::Impl> server,
                      Tcp::socket socket)
      : server_(std::move(server)), stream_(std::move(socket)) {
    buffer_.reserve(kReadBufferBytes);
    ++server_->connections_;
    SetSocketOptions(stream_.socket(), server_->options_.write_timeout);
  }
  ~EventHttpConnection() {
    RemoveFromIdle();
    --server_->connections_;
  }
  EventHttpConnection(const EventHttpConnection&) = delete;
  EventHttpConnection& operator=(const EventHttpConnection&) = delete;

  void Read() {
    parser_.emplace();
    parser_->header_limit(
        static_cast<uint32_t>(server_->options_.max_header_bytes));
    parser_->body_limit(server_->options_.max_body_bytes);
    stream_.expires_after(
        absl::ToChronoNanoseconds(server_->options_.idle_timeout));
    idle_since_ = SystemNow().mono;
    idle_position_ = server_->idle_.insert(server_->idle_.end(), this);
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          self->RemoveFromIdle();
          self->OnHeader(error);
        });
  }

  // Returns whether the connection has been idle for `evict_idle_after` and no
  // byte of a request has arrived.
  bool IsEvictable(absl::Time now) {
    boost::system::error_code ignored;
    return now - idle_since_ >= server_->options_.evict_idle_after &&
           buffer_.size() == 0 && stream_.socket().available(ignored) == 0;
  }

  void Close() {
    RemoveFromIdle();
    boost::system::error_code ignored;
    stream_.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    stream_.close();
  }

 private:
  void RemoveFromIdle() {
    if (idle_position_) server_->idle_.erase(*idle_position_);
    idle_position_.reset();
  }

  void OnHeader(beast::error_code error) {
    if (error) return OnBadRequest(error);
    // Reading the available bytes now lets a request of 60 KB take one loop
    // iteration instead of eight, and the smallest request one instead of
    // three.
    parser_->eager(true);
    error = internal::ReadAvailable(stream_.socket(), buffer_, *parser_,
                                    kMaxReadsPerIteration);
    if (error) return OnBadRequest(error);
    if (parser_->is_done()) return OnRequest({});
    stream_.expires_after(
        absl::ToChronoNanoseconds(server_->options_.read_timeout));
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](beast::error_code e, size_t) {
                       self->OnRequest(e);
                     });
  }

  void OnBadRequest(beast::error_code error) {
    if (error == http::error::header_limit) return Reject(431);
    if (error == http::error::body_limit) return Reject(413);
    const bool from_parser =
        error.category() ==
        http::make_error_code(http::error::bad_method).category();
    if (from_parser && error != http::error::end_of_stream &&
        error != http::error::partial_message)
      return Reject(400);
    Close();
  }

  void Reject(int status) {
    ++server_->in_flight_;
    answered_ = false;
    keep_alive_ = false;
    Write({status,
           {},
           "{\"error\":\"the request is malformed or too large\"}",
           "application/json"});
  }

  void OnRequest(beast::error_code error) {
    if (error) return OnBadRequest(error);
    stream_.expires_never();
    auto& message = parser_->get();
    if (server_->options_.skip_abandoned && IsAbandoned()) {
      LogEvent(Severity::kInfo, "abandoned_request_skipped",
               {{"path", std::string(message.target())},
                {"bytes", absl::StrCat(message.body().size())}});
      return Close();
    }
    ServerRequest request;
    request.method = std::string(message.method_string());
    SplitTarget(std::string(message.target()), &request);
    for (const auto& field : message)
      request.headers.emplace_back(std::string(field.name_string()),
                                   std::string(field.value()));
    request.body = std::move(message.body());
    keep_alive_ = message.keep_alive();
    answered_ = false;
    ++server_->in_flight_;
    const uint64_t number = ++request_number_;
    server_->handler_(
        request, [self = shared_from_this(), number](ServerResponse response) {
          if (number == self->request_number_) self->Write(std::move(response));
        });
  }

  // Returns whether the client has closed or reset the connection.
  bool IsAbandoned() {
    char byte = 0;
    const ssize_t n = ::recv(stream_.socket().native_handle(), &byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void Write(ServerResponse response) {
    if (answered_) return;
    answered_ = true;
    response_.emplace();
    response_->version(11);
    response_->result(static_cast<unsigned>(response.status));
    response_->set(http::field::content_type, response.content_type);
    for (const auto& [name, value] : response.headers)
      response_->set(name, value);
    if (server_->draining_ || response.close_connection) keep_alive_ = false;
    response_->keep_alive(keep_alive_);
    response_->body() = std::move(response.body);
    response_->prepare_payload();
    stream_.expires_after(
        absl::ToChronoNanoseconds(server_->options_.write_timeout));
    http::async_write(
        stream_, *response_,
        [self = shared_from_this()](beast::error_code error, size_t) {
          --self->server_->in_flight_;
          if (error || !self->keep_alive_) return self->Close();
          self->Read();
        });
  }

  std::shared_ptr<EventHttpServer::Impl> server_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::response<http::string_body>> response_;
  std::optional<std::list<EventHttpConnection*>::iterator> idle_position_;
  absl::Time idle_since_;
  uint64_t request_number_ = 0;
  bool keep_alive_ = true;
  bool answered_ = false;
};

void EventHttpServer::Impl::Accept() {
  if (closed_) return;
  acceptor_.async_accept(
      [self = shared_from_this()](boost::system::error_code error,
                                  Tcp::socket socket) {
        if (self->closed_) return;
        if (error) {
          self->accept_timer_.expires_after(kAcceptRetryDelay);
          self->accept_timer_.async_wait(
              [self](boost::system::error_code) { self->Accept(); });
          return;
        }
        self->Serve(std::move(socket));
        self->AcceptPending();
        self->Accept();
      });
}

void EventHttpServer::Impl::AcceptPending() {
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  for (int i = 0; i < kMaxAcceptsPerIteration && !error; ++i) {
    Tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (!error) Serve(std::move(socket));
  }
}

// A connection beyond the limit is closed immediately, so that its client tries
// another machine.
void EventHttpServer::Impl::Serve(Tcp::socket socket) {
  if (connections_ < options_.max_connections || EvictIdleConnection())
    std::make_shared<EventHttpConnection>(shared_from_this(), std::move(socket))
        ->Read();
}

// An idle connection may be dead without having been closed, so a new
// connection takes precedence over it.
bool EventHttpServer::Impl::EvictIdleConnection() {
  const absl::Time now = SystemNow().mono;
  for (EventHttpConnection* connection : idle_) {
    if (!connection->IsEvictable(now)) continue;
    connection->Close();
    return true;
  }
  return false;
}

EventHttpServer::EventHttpServer(asio::io_context& loop, Options options,
                                 Handler handler)
    : impl_(std::make_shared<Impl>(loop, std::move(options),
                                   std::move(handler))) {}
EventHttpServer::~EventHttpServer() { impl_->Close(); }
Result<int> EventHttpServer::Start() { return impl_->Listen(); }
void EventHttpServer::Drain() { impl_->draining_ = true; }
void EventHttpServer::StopAccepting() { impl_->Close(); }
size_t EventHttpServer::InFlight() const { return impl_->in_flight_; }
size_t EventHttpServer::Connections() const { return impl_->connections_; }

}  // namespace keelbridge
