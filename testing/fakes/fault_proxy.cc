#include "testing/fakes/fault_proxy.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <utility>

#include "keelbridge/base/clock.h"

namespace keelbridge::testing {
namespace {

using Tcp = boost::asio::ip::tcp;
constexpr size_t kChunkBytes = 16 << 10;

}  // namespace

// One proxied connection: two sockets with a read-write loop in each direction.
class ProxiedConnection
    : public std::enable_shared_from_this<ProxiedConnection> {
 public:
  ProxiedConnection(FaultProxy* proxy, Tcp::socket client)
      : proxy_(proxy), client_(std::move(client)), server_(proxy->loop_) {}

  void Start() {
    boost::system::error_code error;
    client_.set_option(Tcp::no_delay(true), error);
    const Tcp::endpoint to(boost::asio::ip::make_address(proxy_->target_.ip),
                           static_cast<unsigned short>(proxy_->target_.port));
    server_.async_connect(to, [self = shared_from_this()](
                                  boost::system::error_code e) {
      if (e && !self->blackholed_) return self->Close(false);
      self->Pump(self->client_, self->server_, &self->request_buffer_, false);
      self->Pump(self->server_, self->client_, &self->response_buffer_, true);
    });
  }

  void Close(bool reset) {
    boost::system::error_code ignored;
    if (reset)
      client_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    client_.close(ignored);
    server_.close(ignored);
    if (proxy_ != nullptr) proxy_->connections_.erase(shared_from_this());
  }

  void DetachFromProxy() { proxy_ = nullptr; }
  void Blackhole() { blackholed_ = true; }
  bool blackholed() const { return blackholed_; }

 private:
  using Chunk = std::array<char, kChunkBytes>;

  void Pump(Tcp::socket& from, Tcp::socket& to, Chunk* chunk,
            bool is_response) {
    from.async_read_some(
        boost::asio::buffer(*chunk),
        [self = shared_from_this(), &from, &to, chunk, is_response](
            boost::system::error_code error, size_t bytes) {
          if (self->blackholed_)
            return self->Discard(from, to, chunk, is_response, error);
          if (error) return self->Close(false);
          self->Forward(from, to, chunk, bytes, is_response);
        });
  }

  // Reads and discards the data of one side of a blackholed connection, and
  // does not propagate its close to the other side.
  void Discard(Tcp::socket& from, Tcp::socket& to, Chunk* chunk,
               bool is_response, boost::system::error_code error) {
    if (!error && proxy_ != nullptr) return Pump(from, to, chunk, is_response);
    boost::system::error_code ignored;
    from.close(ignored);
    if (!to.is_open() || proxy_ == nullptr) Close(false);
  }

  void Forward(Tcp::socket& from, Tcp::socket& to, Chunk* chunk, size_t bytes,
               bool is_response) {
    if (proxy_ == nullptr) return Close(false);
    const FaultProxy::Mode mode = proxy_->mode_;
    const bool dropped =
        mode == FaultProxy::Mode::kDropAll ||
        (mode == FaultProxy::Mode::kDropResponses && is_response);
    // After dropped data the rest of the byte stream is invalid, so this
    // direction stops reading while the connection stays open.
    if (dropped) return;
    absl::Duration delay = mode == FaultProxy::Mode::kDelay
                               ? proxy_->delay_
                               : absl::ZeroDuration();
    if (is_response) delay += proxy_->ReserveLinkTime(bytes);
    auto timer = std::make_shared<boost::asio::steady_timer>(
        proxy_->loop_, absl::ToChronoNanoseconds(delay));
    timer->async_wait([self = shared_from_this(), timer, &from, &to, chunk,
                       bytes, is_response](boost::system::error_code) {
      if (self->blackholed_) return self->Pump(from, to, chunk, is_response);
      boost::asio::async_write(to, boost::asio::buffer(chunk->data(), bytes),
                               [self, &from, &to, chunk, is_response](
                                   boost::system::error_code error, size_t) {
                                 if (error && !self->blackholed_)
                                   return self->Close(false);
                                 self->Pump(from, to, chunk, is_response);
                               });
    });
  }

  FaultProxy* proxy_;
  Tcp::socket client_;
  Tcp::socket server_;
  Chunk request_buffer_;
  Chunk response_buffer_;
  bool blackholed_ = false;
};

FaultProxy::FaultProxy(boost::asio::io_context& loop, Address target,
                       const Address& listen)
    : loop_(loop),
      target_(std::move(target)),
      acceptor_(loop, Tcp::endpoint(boost::asio::ip::make_address(listen.ip),
                                    static_cast<unsigned short>(listen.port))),
      address_{listen.ip, acceptor_.local_endpoint().port(), ""} {
  Accept();
}

FaultProxy::~FaultProxy() {
  const auto open = std::move(connections_);
  connections_.clear();
  for (const auto& connection : open) {
    connection->DetachFromProxy();
    connection->Close(false);
  }
}

void FaultProxy::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, Tcp::socket socket) {
        if (error) return;
        auto connection =
            std::make_shared<ProxiedConnection>(this, std::move(socket));
        connections_.insert(connection);
        if (mode_ == Mode::kReset)
          connection->Close(true);
        else
          connection->Start();
        Accept();
      });
}

absl::Duration FaultProxy::ReserveLinkTime(size_t bytes) {
  if (response_rate_ <= 0) return absl::ZeroDuration();
  const absl::Time now = SystemNow().mono;
  link_free_at_ = std::max(link_free_at_, now) +
                  absl::Seconds(static_cast<double>(bytes) / response_rate_);
  return link_free_at_ - now;
}

void FaultProxy::SetMode(Mode mode, absl::Duration delay) {
  mode_ = mode;
  delay_ = delay;
  if (mode != Mode::kReset && mode != Mode::kForward) return;
  const auto open = connections_;
  for (const auto& connection : open) {
    if (!connection->blackholed()) connection->Close(mode == Mode::kReset);
  }
}

void FaultProxy::BlackholeOpenConnections() {
  for (const auto& connection : connections_) connection->Blackhole();
}

}  // namespace keelbridge::testing
