// Sends calls to the record store, directly or through a peer.
//
// If only this node has lost its connection to the store, a peer can forward
// its calls. After a call has failed without an answer or with a refusal, the
// next calls go through a peer that still reaches the store. Meanwhile the
// direct path is probed, and also immediately after the first failure, because
// a kept-alive connection may be dead while new ones work. A failed call is
// weak evidence that a path is down: perhaps only answers to appends are lost,
// or the peer has lost the store too. So a read that serves as a probe is sent
// over both paths, and the first answer counts. Appends carry an epoch and a
// sequence number, so that an append that reaches the store twice has no
// further effect.
//
//   StoreFailover failover(loop, store_address, rpc);
//   failover.SetPeers({"10.0.0.2:7720"});
//   failover.Send(request, absl::Seconds(1), done);

#ifndef KEELBRIDGE_DAEMON_STORE_FAILOVER_H_
#define KEELBRIDGE_DAEMON_STORE_FAILOVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/protocol/record_store.h"
#include "keelbridge/transport/event_rpc.h"

namespace keelbridge {

class StoreFailover : public StoreTransport {
 public:
  StoreFailover(boost::asio::io_context& loop, const Address& store,
                EventRpcClient& rpc);

  void Send(const HttpRequest& request, absl::Duration timeout,
            std::function<void(HttpOutcome)> done) override;

  // Sets the addresses of the peers that reached the store recently.
  void SetPeers(std::vector<std::string> peers) { peers_ = std::move(peers); }
  // Serves a peer's call of `kMethod`.
  void ServePeer(const Json::Value& params, EventRpcServer::Reply reply);

  // Returns whether this node's last direct call reached the store.
  bool direct() const { return failures_ == 0; }
  // Returns the time of the first of the current consecutive direct failures,
  // or `InfiniteFuture` if the last direct call succeeded.
  absl::Time lost_since() const { return lost_since_; }
  int64_t calls() const { return calls_; }
  int64_t relayed() const { return relayed_; }

  static constexpr char kMethod[] = "relay";

 private:
  void SendDirect(const HttpRequest& request, absl::Duration timeout,
                  std::function<void(HttpOutcome)> done);
  void SendThroughPeer(const HttpRequest& request, absl::Duration timeout,
                       std::function<void(HttpOutcome)> done);
  // Sends a read directly and through a peer at the same time.
  void SendBothWays(const HttpRequest& request, absl::Duration timeout,
                    std::function<void(HttpOutcome)> done);
  // Probes the direct path with a read whose answer is discarded.
  void ProbeDirect();
  void OnDirectOutcome(const HttpOutcome& outcome);

  EventHttpClient store_;
  EventRpcClient& rpc_;
  std::vector<std::string> peers_;
  size_t next_peer_ = 0;
  int failures_ = 0;            // Consecutive failures of direct calls.
  bool read_failed_ = false;    // Whether the last direct read failed.
  bool store_refused_ = false;  // The store answered, but refused the call.
  absl::Time lost_since_ = absl::InfiniteFuture();
  absl::Time next_probe_ = absl::InfinitePast();
  // The last small read, which is repeated as a probe.
  HttpRequest probe_request_;
  int64_t calls_ = 0;
  int64_t relayed_ = 0;
};

// Sends long-poll calls, which wait for a record, to the store. Each has its
// own connection, and there is no failover through a peer.
class StoreLongPolls : public StoreTransport {
 public:
  StoreLongPolls(boost::asio::io_context& loop, const Address& store);
  void Send(const HttpRequest& request, absl::Duration timeout,
            std::function<void(HttpOutcome)> done) override;

 private:
  EventHttpClient store_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_STORE_FAILOVER_H_
