// A TCP proxy on the loopback interface that injects faults: it delays or drops
// traffic, resets connections, or drops responses only.
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

// Not thread-safe: use only on the thread of `loop`.
class FaultProxy {
 public:
  enum class Mode {
    kForward,
    kDelay,          // Each chunk of data is delayed by `delay`.
    kReset,          // Open and new connections are reset.
    kDropAll,        // All data is dropped; connections stay open.
    kDropResponses,  // Requests are forwarded, responses are dropped.
  };

  // Listens on `listen`; port 0 picks a free port.
  FaultProxy(boost::asio::io_context& loop, Address target,
             const Address& listen = {"127.0.0.1", 0, ""});
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const Address& address() const { return address_; }
  // kForward and kReset close all open connections (kReset with a TCP reset),
  // so that both sides learn at once that data may have been lost on them.
  // Connections that were blackholed stay open.
  void SetMode(Mode mode, absl::Duration delay = absl::Milliseconds(200));
  // Switches to kForward without closing connections. A connection on which
  // data was dropped stays open but forwards nothing more in that direction;
  // all other connections continue.
  void ResumeForwarding() { mode_ = Mode::kForward; }
  // Blackholes the connections that are open now: drops all further data on
  // them in both directions, permanently. They stay open: neither a change of
  // mode nor a close by one side closes the other side. New connections follow
  // the mode.
  void BlackholeOpenConnections();
  // Limits the rate of responses over all connections together, as a shared
  // network link does; 0 means unlimited.
  void SetResponseRate(double bytes_per_second) {
    response_rate_ = bytes_per_second;
  }

 private:
  friend class ProxiedConnection;
  void Accept();
  // Reserves the shared link for a chunk of a response. Returns the time until
  // the chunk has been transmitted, after all chunks that are already queued.
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
