// Why a worker was lost, as far as the leader can tell.
//
//   LogDecision("runs_lost", {{"why", WorkerLossName(WorkerLoss::kCrash)}});

#ifndef KEELBRIDGE_COORDINATION_WORKER_LOSS_H_
#define KEELBRIDGE_COORDINATION_WORKER_LOSS_H_

namespace keelbridge {

enum class WorkerLoss {
  kCrash,  // Another incarnation answered without an announced departure.
  kLeft,   // Another incarnation answered after an announced departure.
  kUnresponsive,  // No answer for a whole lease: crashed, disconnected or gone.
};

// Returns the reason as it stands in logs.
const char* WorkerLossName(WorkerLoss loss);

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_WORKER_LOSS_H_
