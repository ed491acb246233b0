// A test cluster of real processes on loopback addresses: nodes of this build,
// the fake platform in a thread of the test, and a client.
//
//   SiteTestCluster cluster({.nodes = 3});
//   REQUIRE(cluster.AwaitReady(3));
//   CHECK(cluster.SubmitAnywhere(1, SiteTestCluster::OneStepJob(2, 300)));
//   CHECK(cluster.AwaitState(1, "completed"));

#ifndef KEELBRIDGE_TESTING_SUPPORT_SITE_TEST_CLUSTER_H_
#define KEELBRIDGE_TESTING_SUPPORT_SITE_TEST_CLUSTER_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "keelbridge/transport/http_client.h"
#include "testing/fakes/fault_proxy.h"
#include "testing/fakes/site_platform.h"
#include "testing/support/child_process.h"

namespace keelbridge::testing {

class SiteTestCluster {
 public:
  struct Options {
    int nodes = 3;
    // Puts a proxy between each node and the store, in front of each worker,
    // and in front of each node for calls from its peers.
    bool proxies = false;
    // The nodes send their heartbeats along a tree in which each has at most
    // two children.
    bool heartbeat_tree = false;
    // The nodes write their logs to pipes that nobody reads.
    bool blocked_logs = false;
    SitePlatform::Options platform;
    // Key of a client account that calls carry; empty: they carry none.
    std::string key;
  };

  explicit SiteTestCluster(const Options& options);
  ~SiteTestCluster();
  SiteTestCluster(const SiteTestCluster&) = delete;
  SiteTestCluster& operator=(const SiteTestCluster&) = delete;

  void StartNode(int index);
  ChildProcess& node(int index) { return *nodes_[Index(index)].process; }
  void RemoveNode(int index) { nodes_[Index(index)].process.reset(); }
  bool Alive(int index) const {
    return nodes_[Index(index)].process != nullptr;
  }
  // Returns the node that leads according to its own metrics, or -1 if no node
  // reports that it leads.
  int Leader();
  int64_t DroppedLogLines(int index);
  // Returns the configuration version that the node reports as in force, or -1
  // if the node does not answer.
  int64_t ConfigurationVersion(int index);

  // Returns the address at which the node serves other nodes.
  const std::string& PeerAddress(int index) const {
    return nodes_[Index(index)].peer_address;
  }
  // Returns how many members of the site the node knows, by its own metrics, or
  // -1 if the node does not answer.
  int64_t MemberCount(int index);
  // Returns the number of hops between the node and the leader, by its own
  // metrics, or -1 if the node does not answer.
  int64_t HeartbeatDepth(int index);

  bool Ready(int index);
  bool AwaitReady(int count);

  // Returns the headers of a client call: the queue's host, and the key if
  // there is one.
  HttpHeaders RequestHeaders() const;
  // Sends a client call about a job to one node.
  HttpOutcome Call(int index, const std::string& method, uint64_t job,
                   const std::string& body = "",
                   absl::Duration timeout = absl::Seconds(3));
  // Tries the nodes in turn until one accepts the job. Returns false on
  // timeout.
  bool SubmitAnywhere(uint64_t job, const std::string& body);
  // Returns the job's state as reported by the first node that knows it, or an
  // empty string if no node does.
  std::string State(uint64_t job);
  bool AwaitState(uint64_t job, const std::string& state,
                  absl::Duration max_wait = absl::Seconds(20));
  // Returns a new client of a node. Its idle connections stay open for up to
  // 10 s.
  std::unique_ptr<HttpClient> NewClient(int index) const;
  HttpOutcome SendRequest(int index, const HttpRequest& request,
                          absl::Duration timeout = absl::Seconds(3));

  // The following functions control the proxies and require `Options::proxies`.
  void SetStoreProxy(int node, FaultProxy::Mode mode);
  void SetWorkerProxy(int worker, FaultProxy::Mode mode);
  void SetPeerProxy(int node, FaultProxy::Mode mode);
  void HealStoreProxyWithoutReset(int node);
  void HealPeerProxyWithoutReset(int node);
  // Permanently drops all data on the connections that are open now between
  // `node` and the store and from its peers to `node`. They are not closed, and
  // new connections work.
  void BlackholeOpenConnectionsOf(int node);
  // Like `BlackholeOpenConnectionsOf`, for all nodes, and also for the
  // connections to workers.
  void BlackholeAllOpenConnections();
  // Limits the rate of the store's replies to a node; see `FaultProxy`.
  void SetStoreLinkRate(int node, double bytes_per_second);
  int ZoneOf(int node) const { return node % kZones; }
  static constexpr int kZones = 3;

  // Runs `step` on the platform's thread and waits until it is done.
  void WithPlatform(const std::function<void(SitePlatform&)>& step);
  std::vector<std::string> Violations();
  size_t RunCount();
  const std::string& directory() const { return directory_; }

  // Each returns the body of a request that submits a job.
  static std::string OneStepJob(int tasks, int work_ms, int cpu = 2000);
  // A gang step, followed by a step of one task.
  static std::string GangThenOneTaskJob(int members);
  // The tasks crash each worker that starts them.
  static std::string CrashingTasksJob(int tasks);

 private:
  struct Node {
    std::unique_ptr<ChildProcess> process;
    std::string client_address;
    std::string ready_address;
    std::string peer_address;
    std::string metrics_address;
    std::string settings_path;
    // Client whose connections stay open until the node closes them.
    std::unique_ptr<HttpClient> persistent_client;
  };
  // Returns the IP address with this last octet in the cluster's subnet.
  std::string Host(int number) const;
  // Returns the IP address of the host on which the node runs.
  std::string HostOf(int node) const;
  // Prints the last log lines of each node to standard error.
  void PrintNodeStates();
  size_t Index(int index) const { return static_cast<size_t>(index); }
  // Returns the value of the metric with exactly this name on a node, or -1 if
  // it is not available.
  int64_t ReadGauge(int index, const std::string& name);
  void WriteSettings(int index);
  void AddPeerProxy(const std::string& ip);
  void AddSeedProxy();

  const Options options_;
  const std::string subnet_;  // The first three octets of the IP addresses.
  std::string directory_;
  boost::asio::io_context loop_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::unique_ptr<SitePlatform> platform_;
  std::thread thread_;
  std::vector<std::unique_ptr<FaultProxy>> store_proxies_;  // By node.
  std::vector<std::unique_ptr<FaultProxy>> peer_proxies_;   // By node.
  std::unique_ptr<FaultProxy> seed_proxy_;
  std::vector<Node> nodes_;
  std::vector<int> log_pipes_;  // Log pipes, kept open and never read.
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SITE_TEST_CLUSTER_H_
