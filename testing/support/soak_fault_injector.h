// Injects the faults of a soak test. They are drawn from its seed, come in
// series, and overlap.
//
//   SoakFaultInjector injector(cluster, node_disturbances, configurations,
//                              jobs, record, options);
//   injector.InjectFaults();  // Takes about `options.length`.

#ifndef KEELBRIDGE_TESTING_SUPPORT_SOAK_FAULT_INJECTOR_H_
#define KEELBRIDGE_TESTING_SUPPORT_SOAK_FAULT_INJECTOR_H_

#include <functional>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "testing/support/configuration_check.h"
#include "testing/support/node_disturbances.h"
#include "testing/support/site_soak.h"
#include "testing/support/site_test_cluster.h"
#include "testing/support/soak_jobs.h"
#include "testing/support/soak_record.h"

namespace keelbridge::testing {

// The kinds of faults. Unless stated otherwise, a fault lasts about 3 s or ends
// at once. Each `SoakFaultSet` is a range of these values. The order and the
// ranges are fixed, so that a seed that failed draws the same faults again.
enum class FaultKind {
  kKillNode,
  kStopNode,
  kPauseNode,
  // The following four kinds affect the path between one node and the store.
  kStoreBlackhole,  // All data is dropped.
  kStoreReset,
  kStoreOneWay,
  kStoreSlow,
  // The following three kinds affect the path from the other nodes to one node.
  kPeersBlackhole,  // All data is dropped.
  kPeersReset,
  kPeersOneWay,
  kZoneCut,  // The zone's nodes lose the store, and others cannot reach them.
  kWorkerCrash,
  kWorkerBlackhole,   // All data on the path to one worker is dropped.
  kStoreFault,        // The store is down, does not answer, or loses replies.
  kLostOrderReplies,  // Workers carry out orders but do not answer.
  kRollingStop,
  kKillAll,
  kNewConfiguration,
  kFirstKindsEnd,  // The end of `SoakFaultSet::kFirst`.

  // The following kinds last 1 to 5 s. When a fault that dropped data ends, no
  // connection is closed: a connection on which data was dropped never
  // transfers data again.

  // Polls get no answer while a change is written.
  kDropPollResponses = kFirstKindsEnd,
  // Polls do not receive a change for 1 s and are then disconnected.
  kChangeMissedByPolls,
  // One node and a random part of the others cannot reach the store while a
  // change is written.
  kChangeDuringOutage,
  // Like kChangeDuringOutage, and the store drops its history.
  kDroppedHistory,
  kStoreBlackholeWithoutReset,  // One node cannot reach the store.
  kLateAppends,  // Appends take effect seconds after their reply was lost.
  kLeaderPaused,
  kLeaderCut,       // The leader cannot reach the store, nor peers the leader.
  kAllPeersCut,     // Like kLeaderCut, and no peer can reach any other.
  kSecondKindsEnd,  // The end of `SoakFaultSet::kLater`.

  // The following kinds permanently drop all data on the connections that are
  // open, without closing them; new connections work. Such a fault ends at
  // once, like a reset.

  // Connections from one node to the store and from its peers.
  kNodeConnectionsBlackholed = kSecondKindsEnd,
  // Connections of all nodes, including those to workers.
  kAllConnectionsBlackholed,
  // Like kAllConnectionsBlackholed, soon followed by a change.
  kChangeAfterAllBlackholed,
  kThirdKindsEnd,  // The end of `SoakFaultSet::kSilences`.

  // A job whose tasks crash each worker that starts them.
  kCrashingJob = kThirdKindsEnd,
  kWorkerShrinks,           // To a third of its capacity, for 4 to 8 s.
  kCrashesAndLeaderKilled,  // A crashing job; soon after, the leader is killed.
  kCrashesAndAllPaused,     // A crashing job, and all nodes are paused.
  kFourthKindsEnd,          // The end of `SoakFaultSet::kWorkers`.

  // In the following kinds, workers restart under the same worker ids.

  // One worker restarts.
  kWorkerRestarts = kFourthKindsEnd,
  // Three workers restart in turn, and then the first one restarts again.
  kWorkersRestartInSeries,
  // Like kWorkersRestartInSeries, and then the leader is killed.
  kRestartsAndLeaderKilled,
  // All workers restart, and all nodes are killed.
  kPowerLoss,
  kFifthKindsEnd,  // The end of `SoakFaultSet::kRestarts`.

  // Like kWorkersRestartInSeries, while orders are carried out late.
  kRestartsAndLateOrders = kFifthKindsEnd,
  kCount,
};

class SoakFaultInjector {
 public:
  // The referenced objects must outlive this one.
  SoakFaultInjector(SiteTestCluster& cluster,
                    NodeDisturbances& node_disturbances,
                    ConfigurationCheck& configurations, SoakJobs& jobs,
                    SoakRecord& record, const SoakOptions& options);

  // Injects faults over `options.length` and returns once all have ended.
  void InjectFaults();

 private:
  // Threads of faults that have not ended.
  using FaultThreads = std::vector<std::thread>;

  // Each of these begins faults of one or more ranges of kinds.
  void BeginFirstKinds(FaultKind kind, int node, int worker,
                       FaultThreads* fault_threads);
  void BeginLaterKinds(FaultKind kind, int node, FaultThreads* fault_threads);
  void BeginWorkerKinds(FaultKind kind, int node, int worker,
                        FaultThreads* fault_threads);
  // Runs `step` after `delay` on a new thread in `fault_threads`.
  static void RunAfter(FaultThreads* fault_threads, absl::Duration delay,
                       std::function<void()> step);

  void Restart(int node, int signal, const char* what,
               FaultThreads* fault_threads);
  void Pause(int node, absl::Duration time, FaultThreads* fault_threads);
  void DisruptStorePath(int node, FaultProxy::Mode mode, const char* what,
                        FaultThreads* fault_threads);
  void DisruptPeerPath(const std::vector<int>& nodes, FaultProxy::Mode mode,
                       const char* what, FaultThreads* fault_threads);
  void CutZone(int zone, FaultThreads* fault_threads);
  void BlackholeStorePath(int node, absl::Duration time,
                          FaultThreads* fault_threads);
  void BlackholePeerPath(int node, absl::Duration time,
                         FaultThreads* fault_threads);

  void InjectStoreFault(FaultThreads* fault_threads);
  void SetStoreFaults(SiteStore::Faults faults);
  void SetLostOrderReplies(double share);
  void DropPollResponses(absl::Duration time, FaultThreads* fault_threads);
  void PublishChangeMissedByPolls(FaultThreads* fault_threads);
  void DelayAppends(absl::Duration time, FaultThreads* fault_threads);
  void PublishChangeDuringOutage(int node, bool drop_history,
                                 absl::Duration time,
                                 FaultThreads* fault_threads);
  void BlackholeNodeConnections(int node);
  void BlackholeAllConnections();
  void PublishNewConfiguration();
  void SubmitCrashingJob(int node);
  void ShrinkWorker(int worker, absl::Duration time);
  void BeginRestartKinds(FaultKind kind, int node, int worker,
                         FaultThreads* fault_threads);
  void RestartWorker(int worker, absl::Duration down);
  void RestartInSeries(int first, absl::Duration down);
  void SetLateOrders(double share);

  std::vector<int> OtherNodes(int node) const;
  // Returns the node that leads, or `fallback` if no node reports that it
  // does.
  int LeaderOr(int fallback);
  FaultKind DrawFaultKind();
  absl::Duration DrawDuration();
  static size_t IndexOf(int node) { return static_cast<size_t>(node); }

  SiteTestCluster& cluster_;
  NodeDisturbances& node_disturbances_;
  ConfigurationCheck& configurations_;
  SoakJobs& jobs_;
  SoakRecord& record_;
  const SoakOptions options_;
  std::mt19937_64 random_;
  std::vector<std::mutex> node_mutexes_;
  std::mutex configuration_mutex_;
  int64_t configuration_version_ = 1;
  uint64_t crashing_jobs_ = 0;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SOAK_FAULT_INJECTOR_H_
