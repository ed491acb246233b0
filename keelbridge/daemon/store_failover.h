// Carries calls to the record store, directly or through a peer.
//
// A node that alone has lost the store is one hop from it. After a call failed
// without an answer or was turned away, the next ones go through a peer that
// still reaches the store; whether the direct way is back is tried beside them,
// and at once after the first failure, since a kept connection may have gone
// silent while new ones work. That a call failed says little of the way:
// answers of appends alone may be lost, and the peer may have lost the store
// meanwhile. So a read that is such a try goes both ways, and the first answer
// counts. Appends are fenced and numbered, so that a try that lands twice
// changes nothing.
//
//   StoreFailover carrier(loop, store_address, rpc);
//   carrier.SetPeers({"10.0.0.2:7720"});
//   carrier.Carry(request, absl::Seconds(1), done);

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

  void Carry(const HttpRequest& request, absl::Duration timeout,
             std::function<void(HttpOutcome)> done) override;

  // Peers that reached the store lately, by address.
  void SetPeers(std::vector<std::string> peers) { peers_ = std::move(peers); }
  // Answers a peer's call of `kMethod`.
  void ServePeer(const Json::Value& params, EventRpcServer::Reply reply);

  // Whether this node itself reached the store at its last try.
  bool direct() const { return failures_ == 0; }
  // Since when it did not; never: it does.
  absl::Time lost_since() const { return lost_since_; }
  int64_t calls() const { return calls_; }
  int64_t relayed() const { return relayed_; }

  static constexpr char kMethod[] = "relay";

 private:
  void SendDirect(const HttpRequest& request, absl::Duration timeout,
                  std::function<void(HttpOutcome)> done);
  void SendThroughPeer(const HttpRequest& request, absl::Duration timeout,
                       std::function<void(HttpOutcome)> done);
  // A read that goes both ways at once.
  void SendBothWays(const HttpRequest& request, absl::Duration timeout,
                    std::function<void(HttpOutcome)> done);
  // With a read that nobody waits for.
  void ProbeDirect();
  void OnDirectOutcome(const HttpOutcome& outcome);

  EventHttpClient store_;
  EventRpcClient& rpc_;
  std::vector<std::string> peers_;
  size_t next_peer_ = 0;
  int failures_ = 0;            // Direct tries in a row.
  bool read_failed_ = false;    // The last direct read did.
  bool store_refused_ = false;  // The store answered, but did nothing.
  absl::Time lost_since_ = absl::InfiniteFuture();
  absl::Time next_probe_ = absl::InfinitePast();
  HttpRequest probe_request_;  // What tries whether the direct way is back.
  int64_t calls_ = 0;
  int64_t relayed_ = 0;
};

// Carries calls that wait for a record; each has a connection of its own and
// there is nobody else to ask.
class StoreLongPolls : public StoreTransport {
 public:
  StoreLongPolls(boost::asio::io_context& loop, const Address& store);
  void Carry(const HttpRequest& request, absl::Duration timeout,
             std::function<void(HttpOutcome)> done) override;

 private:
  EventHttpClient store_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_DAEMON_STORE_FAILOVER_H_
