// A small site of real processes on loopback: nodes of this build, the platform
// stand-in in a thread of the test, and a client.
//
//   SiteTestCluster cell({.nodes = 3});
//   REQUIRE(cell.AwaitReady(3));
//   CHECK(cell.SubmitAnywhere(1, SiteTestCluster::OneStepJob(2, 300)));
//   CHECK(cell.AwaitState(1, "completed"));

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
    bool proxies = false;  // Before the store of each node, each worker, and
                           // each node as its peers reach it.
    bool blocked_logs = false;  // Nobody reads what the nodes write.
    SitePlatform::Options platform;
  };

  explicit SiteTestCluster(Options options);
  ~SiteTestCluster();
  SiteTestCluster(const SiteTestCluster&) = delete;
  SiteTestCluster& operator=(const SiteTestCluster&) = delete;

  void StartNode(int index);
  ChildProcess& node(int index) { return *nodes_[Index(index)].process; }
  void RemoveNode(int index) { nodes_[Index(index)].process.reset(); }
  bool Alive(int index) const {
    return nodes_[Index(index)].process != nullptr;
  }
  // The node that leads, by its metrics; -1: none says so.
  int Leader();
  int64_t DroppedLogLines(int index);
  // The version that a node says is in force; -1: it does not answer.
  int64_t ConfigurationVersion(int index);

  bool Ready(int index);
  bool AwaitReady(int count);

  // A client's call at one node.
  HttpOutcome Call(int index, const std::string& method, uint64_t job,
                   const std::string& body = "");
  // Tries nodes in turn until one accepts; false when time runs out.
  bool SubmitAnywhere(uint64_t job, const std::string& body);
  // The state as any node tells it; empty when none does.
  std::string State(uint64_t job);
  bool AwaitState(uint64_t job, const std::string& state,
                  absl::Duration max_wait = absl::Seconds(20));
  // A further client of a node, whose connections stay open while it is idle.
  std::unique_ptr<HttpClient> NewClient(int index) const;
  HttpOutcome SendRequest(int index, const HttpRequest& request,
                          absl::Duration timeout = absl::Seconds(3));

  // With `proxies`: harms what passes.
  void SetStoreProxy(int node, FaultProxy::Mode mode);
  void SetWorkerProxy(int worker, FaultProxy::Mode mode);
  void SetPeerProxy(int node, FaultProxy::Mode mode);
  void HealStoreProxyWithoutReset(int node);
  void HealPeerProxyWithoutReset(int node);
  // The connections that are open now go silent for good, new ones pass: those
  // of `node` to the store and of its peers to it; all, also those to workers.
  void SilenceOpenConnectionsOf(int node);
  void SilenceAllOpenConnections();
  // Of all that the store answers a node; see `FaultProxy`.
  void SetStoreLink(int node, double bytes_per_second);
  int ZoneOf(int node) const { return node % kZones; }
  static constexpr int kZones = 3;

  // Runs `step` on the platform's thread and waits for it.
  void WithPlatform(const std::function<void(SitePlatform&)>& step);
  std::vector<std::string> Faults();
  size_t RunCount();
  const std::string& directory() const { return directory_; }

  // Bodies of jobs.
  static std::string OneStepJob(int tasks, int work_ms, int cpu = 2000);
  static std::string GangThenOneTaskJob(int members);
  // Tasks that crash each worker that starts them.
  static std::string CrashingTasksJob(int tasks);

 private:
  struct Node {
    std::unique_ptr<ChildProcess> process;
    std::string client_address;
    std::string ready_address;
    std::string peer_address;
    std::string metrics_address;
    std::string settings_path;
    // Callers keep their connections to a node as long as it does.
    std::unique_ptr<HttpClient> persistent_client;
  };
  // The address of a host of this cell, and of the one that a node runs on.
  std::string Host(int number) const;
  std::string HostOf(int node) const;
  // What each node last logged, on standard error.
  void PrintNodeStates();
  size_t Index(int index) const { return static_cast<size_t>(index); }
  // A gauge of a node's metrics, by its whole name; -1: none.
  int64_t Gauge(int index, const std::string& name);
  void WriteSettings(int index);
  void AddPeerProxy(const std::string& ip);
  void AddSeedProxy();

  const Options options_;
  const std::string subnet_;  // The first three numbers of its hosts.
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
  std::vector<int> log_pipes_;  // Held open, never read.
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SITE_TEST_CLUSTER_H_
