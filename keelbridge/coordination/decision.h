// The record of one decision: what was looked at, what ruled it out, what won
// and why.
//
// Records are small and fixed in size; text is made only when somebody asks.
// The text also travels with the task's lease, so that the next leader can
// explain what still runs.
//
//   std::string why = decision.ToText(cell);

#ifndef KEELBRIDGE_COORDINATION_DECISION_H_
#define KEELBRIDGE_COORDINATION_DECISION_H_

#include <array>
#include <cstdint>
#include <string>

#include "keelbridge/state/cell.h"

namespace keelbridge {

using TaskId = int32_t;
constexpr TaskId kNoTask = -1;

// Why a worker could not take a task.
enum class Rejection {
  kProcessors,
  kMemory,
  kAccelerators,
  kSpread,
  kReserved
};
constexpr int kRejectionReasons = 5;

// By which rule a task was placed, or is waiting.
enum class Rule {
  kBestFit,             // The least room that holds it.
  kWorstFit,            // The most room, to keep work apart.
  kAfterPreemption,     // Others yielded for it.
  kReservation,         // Room was kept for it.
  kAdopted,             // Found running by a new leader.
  kWaitsForCapacity,    // No worker has room now.
  kWaitsForPreemption,  // Others are yielding for it.
  kWaitsForHeadroom,    // Room is kept free for interactive work.
};

const char* RuleText(Rule rule);

struct Decision {
  static constexpr int kMaxRunnersUp = 3;

  TaskId task = kNoTask;
  int64_t at_ms = 0;  // Monotonic.
  Rule rule = Rule::kWaitsForCapacity;
  WorkerId worker = kNoWorker;
  float score = 0;
  int32_t examined = 0;
  std::array<int32_t, kRejectionReasons> rejections{};
  std::array<WorkerId, kMaxRunnersUp> runner_up{kNoWorker, kNoWorker,
                                                kNoWorker};
  std::array<float, kMaxRunnersUp> runner_up_score{};
  int16_t preempted = 0;        // How many tasks yielded for it.
  float preemption_cost_s = 0;  // Seconds of work that this lost.

  // One line of plain English: why here, why not there, why not yet, what would
  // have to change.
  std::string ToText(const Cell& cell) const;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_DECISION_H_
