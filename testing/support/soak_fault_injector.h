// The troubles of a soak: drawn from its seed, in series and over each other,
// and what they do to the site.
//
//   SoakTroubles troubles(cell, touch, configurations, record, options);
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
enum class Trouble {
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
  kFirstKinds,  // So many were there when the first failing seeds were drawn.

  // These last 1 to 5 s. What is silent heals quietly: no connection ends, and
  // those on which something was dropped say nothing more.
  kSilentPolls = kFirstKinds,  // A change is written; polls get no answer.
  kDeafPolls,  // Polls hear nothing of a change for a second, then are cut.
  kChangeBehindSilence,  // Some nodes do not reach the store when it changes.
  kForgottenHistory,     // The same, and the store forgets its history.
  kQuietStoreLoss,       // Between one node and the store.
  kLateAppends,          // Done seconds after their answer was lost.
  kLeaderPaused,
  kLeaderCut,    // No store for the leader, and no peer reaches it.
  kLeaderAlone,  // The same, and it reaches no peer: no peer reaches another.
  kSecondKinds,  // So many were there when the next failing seeds were drawn.

  // What is open goes silent for good, without an end; new connections pass.
  // Like a reset, it is over at once.
  kNodeGoesSilent = kSecondKinds,  // One node's ways to the store and of peers.
  kAllGoSilent,                    // All ways of all nodes, to workers too.
  kChangeAfterAllGoSilent,         // The same, and soon a change is written.
  kThirdKinds,  // So many were there when the next failing seeds were drawn.

  kCrashingJob = kThirdKinds,  // Its tasks crash each worker that starts them.
  kWorkerShrinks,              // To a third, for 1 to 5 s and three more.
  kCrashesAndLeaderGoes,       // A crashing job, and soon the leader is killed.
  kCrashesAndAllPaused,  // The same, and all nodes stand still for a while.
  kFourthKinds,  // So many were there when the next failing seeds were drawn.

  // Workers start again under the ids that they had: one, three in turn and the
  // first again, the same with the leader killed in between, and with all nodes
  // and workers losing power.
  kWorkerRestarts = kFourthKinds,
  kWorkersRestartInSeries,
  kRestartsAndLeaderGoes,
  kPowerLost,
  kFifthKinds,

  // Three in turn as well, and orders are carried out late.
  kRestartsAndLateOrders = kFifthKinds,
  kCount,
};

class SoakTroubles {
 public:
  // What is passed must outlive this.
  SoakTroubles(SiteCell& cell, NodeTouch& touch,
               ConfigurationCheck& configurations, SoakJobs& jobs,
               SoakRecord& record, const SoakOptions& options);

  // Returns once all troubles are over.
  void Play();

 private:
  using Open = std::vector<std::thread>;  // Troubles that are not over.

  void Begin(Trouble trouble, int node, int worker, Open* open);
  void BeginLater(Trouble trouble, int node, Open* open);
  void BeginWithWorkers(Trouble trouble, int node, int worker, Open* open);
  static void Later(Open* open, absl::Duration delay,
                    std::function<void()> step);

  void Restart(int node, int signal, const char* what, Open* open);
  void Pause(int node, absl::Duration time, Open* open);
  void HarmStorePath(int node, FaultProxy::Mode mode, const char* what,
                     Open* open);
  void HarmPeerPath(const std::vector<int>& nodes, FaultProxy::Mode mode,
                    const char* what, Open* open);
  void CutZone(int zone, Open* open);
  void SilenceStoreQuietly(int node, absl::Duration time, Open* open);
  void SilencePeersQuietly(int node, absl::Duration time, Open* open);

  void StoreFault(Open* open);
  void SetStoreFaults(SiteStore::Faults faults);
  void SetLostOrders(double share);
  void SilentPolls(absl::Duration time, Open* open);
  void DeafPolls(Open* open);
  void LateAppends(absl::Duration time, Open* open);
  void ChangeBehindSilence(int node, bool forget, absl::Duration time,
                           Open* open);
  void NodeGoesSilent(int node);
  void AllGoSilent();
  void NewConfiguration();
  void CrashingJob(int node);
  void ShrinkWorker(int worker, absl::Duration time);
  void BeginRestarts(Trouble trouble, int node, int worker, Open* open);
  void RestartWorker(int worker, absl::Duration down);
  void RestartInSeries(int first, absl::Duration down);
  void SetLateOrders(double share);

  std::vector<int> Others(int node) const;
  // The node that leads; `otherwise` when none says so.
  int LeaderOr(int otherwise);
  Trouble DrawTrouble();
  absl::Duration DrawTime();
  static size_t At(int node) { return static_cast<size_t>(node); }

  SiteCell& cell_;
  NodeTouch& touch_;
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
