// A TCP proxy on loopback that harms what passes: delays it, resets it,
// silences it, or drops one direction.
//
//   FaultProxy proxy(loop, store_address);
//   settings.store = proxy.address();
//   proxy.SetMode(FaultProxy::Mode::kDropAll);

#ifndef KEELBRIDGE_TESTING_FAKES_FAULT_PROXY_H_
#define KEELBRIDGE_TESTING_FAKES_FAULT_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "absl/time/time.h"
#include "keelbridge/transport/address.h"

namespace keelbridge::testing {

class ProxiedConnection;

// All on the loop's thread.
class FaultProxy {
 public:
  enum class Mode {
    kForward,
    kDelay,          // Each piece waits for `delay`.
    kReset,          // Open connections are reset, new ones too.
    kDropAll,        // Nothing passes; connections stay open.
    kDropResponses,  // Requests pass, answers do not.
  };

  // Listens on `listen`; port 0: any that is free.
  FaultProxy(boost::asio::io_context& loop, Address target,
             const Address& listen = {"127.0.0.1", 0, ""});
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const Address& address() const { return address_; }
  // Passing again ends the connections that are open, so that both sides learn
  // at once that something went wrong on them.
  void SetMode(Mode mode, absl::Duration delay = absl::Milliseconds(200));
  // Passes again and tells nobody: a connection on which something was dropped
  // stays open and says nothing more, one on which nothing was goes on.
  void ResumeForwarding() { mode_ = Mode::kForward; }
  // All connections that are open now stay open and say nothing more, in either
  // direction, for good: neither a mode nor the end of one side ends the other.
  // New ones pass as the mode says.
  void SilenceOpenConnections();
  // Answers of all connections share a link of this rate; 0: it has no bound.
  void SetResponseRate(double bytes_per_second) {
    response_rate_ = bytes_per_second;
  }

 private:
  friend class ProxiedConnection;
  void Accept();
  // How long a piece of an answer is on the link, behind those before it.
  absl::Duration ReserveLinkTime(size_t bytes);

  boost::asio::io_context& loop_;
  const Address target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Address address_;
  Mode mode_ = Mode::kForward;
  absl::Duration delay_;
  double response_rate_ = 0;
  absl::Time link_free_at_ = absl::InfinitePast();
  std::set<std::shared_ptr<ProxiedConnection>> connections_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_FAULT_PROXY_H_
