// The record of one placement decision: how many workers were examined, why
// workers were rejected, which worker was chosen, and why.
//
// Records are small and have a fixed size; text is produced only on request.
// The text is also stored with the task's lease, so that the next leader can
// explain tasks that are still running.
//
//   std::string explanation = decision.ToText(cell);

#ifndef KEELBRIDGE_COORDINATION_DECISION_H_
#define KEELBRIDGE_COORDINATION_DECISION_H_

#include <array>
#include <cstdint>
#include <string>

#include "keelbridge/state/cell.h"

namespace keelbridge {

// The index of a task's row in a `TaskTable`. Handles of removed tasks are
// reused.
using TaskHandle = int32_t;
constexpr TaskHandle kNoTask = -1;

// Why a worker cannot run a task.
enum class Rejection {
  kProcessors,
  kMemory,
  kAccelerators,
  kSpread,
  kReserved
};
constexpr int kRejectionReasons = 5;

// The rule by which a task was placed, or for which it waits.
enum class Rule {
  kBestFit,             // The worker with the least capacity that suffices.
  kWorstFit,            // The worker with the most capacity, to spread tasks.
  kAfterPreemption,     // Other tasks were preempted for it.
  kReservation,         // Capacity was reserved for it.
  kAdopted,             // A new leader found it running.
  kWaitsForCapacity,    // No worker has enough free capacity now.
  kWaitsForPreemption,  // Other tasks are being preempted for it.
  kWaitsForHeadroom,    // Headroom is kept free for interactive work.
};

const char* RuleText(Rule rule);

struct Decision {
  static constexpr int kMaxRunnersUp = 3;

  TaskHandle task = kNoTask;
  int64_t at_ms = 0;  // Monotonic clock.
  Rule rule = Rule::kWaitsForCapacity;
  WorkerId worker = kNoWorker;
  float score = 0;
  int32_t examined = 0;
  std::array<int32_t, kRejectionReasons> rejections{};
  std::array<WorkerId, kMaxRunnersUp> runner_up{kNoWorker, kNoWorker,
                                                kNoWorker};
  std::array<float, kMaxRunnersUp> runner_up_score{};
  int16_t preempted = 0;  // Number of tasks preempted for it.
  // Cost of the preemption, in seconds of lost work.
  float preemption_cost_s = 0;

  // Returns a one-line explanation: why this worker, why not others, why the
  // task still waits, and what would have to change.
  std::string ToText(const Cell& cell) const;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_DECISION_H_
