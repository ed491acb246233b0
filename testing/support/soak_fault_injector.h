// The troubles of a soak: drawn from its seed, in series and over each other,
// and what they do to the site.
//
//   SoakFaultInjector troubles(cell, touch, configurations, record, options);
//   troubles.Play();  // Takes about `options.length`.

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

// Each lasts about 3 s, but for those that are over at once and those of which
// something else is said.
enum class FaultKind {
  kKillNode,
  kStopNode,
  kPauseNode,
  kStoreSilent,  // Between one node and the store, as the next three.
  kStoreReset,
  kStoreOneWay,
  kStoreSlow,
  kPeersSilent,  // One node cannot be reached by the others, as the next two.
  kPeersReset,
  kPeersOneWay,
  kZoneCut,  // The nodes of a zone lose the store, and the others them.
  kWorkerCrash,
  kWorkerSilent,
  kStoreFault,  // The store itself: down, silent, or losing answers.
  kLostOrders,  // Workers carry orders out and do not answer.
  kRollingStop,
  kKillAll,
  kNewConfiguration,
  kFirstKindsEnd,  // So many were there when the first failing seeds were
                   // drawn.

  // These last 1 to 5 s. What is silent heals quietly: no connection ends, and
  // those on which something was dropped say nothing more.
  kUnansweredPolls =
      kFirstKindsEnd,  // A change is written; polls get no answer.
  kPollsMissChange,    // Polls hear nothing of a change for a second, then are
                       // cut.
  kChangeDuringSilence,  // Some nodes do not reach the store when it changes.
  kDroppedHistory,       // The same, and the store forgets its history.
  kStorePathSilent,      // Between one node and the store.
  kLateAppends,          // Done seconds after their answer was lost.
  kLeaderPaused,
  kLeaderCut,    // No store for the leader, and no peer reaches it.
  kAllPeersCut,  // The same, and it reaches no peer: no peer reaches another.
  kSecondKindsEnd,  // So many were there when the next failing seeds were
                    // drawn.

  // What is open goes silent for good, without an end; new connections pass.
  // Like a reset, it is over at once.
  kNodeConnectionsSilent =
      kSecondKindsEnd,    // One node's ways to the store and of peers.
  kAllConnectionsSilent,  // All ways of all nodes, to workers too.
  kChangeAfterAllSilent,  // The same, and soon a change is written.
  kThirdKindsEnd,  // So many were there when the next failing seeds were drawn.

  kCrashingJob =
      kThirdKindsEnd,       // Its tasks crash each worker that starts them.
  kWorkerShrinks,           // To a third, for 1 to 5 s and three more.
  kCrashesAndLeaderKilled,  // A crashing job, and soon the leader is killed.
  kCrashesAndAllPaused,     // The same, and all nodes stand still for a while.
  kFourthKindsEnd,  // So many were there when the next failing seeds were
                    // drawn.

  // Workers start again under the ids that they had: one, three in turn and the
  // first again, the same with the leader killed in between, and with all nodes
  // and workers losing power.
  kWorkerRestarts = kFourthKindsEnd,
  kWorkersRestartInSeries,
  kRestartsAndLeaderKilled,
  kPowerLoss,
  kFifthKindsEnd,

  // Three in turn as well, and orders are carried out late.
  kRestartsAndLateOrders = kFifthKindsEnd,
  kCount,
};

class SoakFaultInjector {
 public:
  // What is passed must outlive this.
  SoakFaultInjector(SiteTestCluster& cluster,
                    NodeDisturbances& node_disturbances,
                    ConfigurationCheck& configurations, SoakJobs& jobs,
                    SoakRecord& record, const SoakOptions& options);

  // Returns once all troubles are over.
  void InjectFaults();

 private:
  using FaultThreads = std::vector<std::thread>;  // Troubles that are not over.

  void BeginFirstKinds(FaultKind kind, int node, int worker,
                       FaultThreads* fault_threads);
  void BeginLaterKinds(FaultKind kind, int node, FaultThreads* fault_threads);
  void BeginWorkerKinds(FaultKind kind, int node, int worker,
                        FaultThreads* fault_threads);
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
  void SilenceStorePath(int node, absl::Duration time,
                        FaultThreads* fault_threads);
  void SilencePeerPath(int node, absl::Duration time,
                       FaultThreads* fault_threads);

  void StoreFault(FaultThreads* fault_threads);
  void SetStoreFaults(SiteStore::Faults faults);
  void SetLostOrders(double share);
  void UnansweredPolls(absl::Duration time, FaultThreads* fault_threads);
  void PollsMissChange(FaultThreads* fault_threads);
  void LateAppends(absl::Duration time, FaultThreads* fault_threads);
  void ChangeDuringSilence(int node, bool drop_history, absl::Duration time,
                           FaultThreads* fault_threads);
  void SilenceNodeConnections(int node);
  void SilenceAllConnections();
  void NewConfiguration();
  void CrashingJob(int node);
  void ShrinkWorker(int worker, absl::Duration time);
  void BeginRestartKinds(FaultKind kind, int node, int worker,
                         FaultThreads* fault_threads);
  void RestartWorker(int worker, absl::Duration down);
  void RestartInSeries(int first, absl::Duration down);
  void SetLateOrders(double share);

  std::vector<int> OtherNodes(int node) const;
  // The node that leads; `otherwise` when none says so.
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
  int64_t configuration_ = 1;
  uint64_t crashing_jobs_ = 0;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_SOAK_FAULT_INJECTOR_H_
