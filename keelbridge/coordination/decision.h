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
enum class RuledOut { kProcessors, kMemory, kAccelerators, kSpread, kReserved };
constexpr int kRuledOutReasons = 5;

// By which rule a task was placed, or is waiting.
enum class Rule {
  kTightest,       // The least room that holds it.
  kRoomiest,       // The most room, to keep work apart.
  kAfterYield,     // Others yielded for it.
  kReservation,    // Room was kept for it.
  kAdopted,        // Found running by a new leader.
  kWaitsForRoom,   // No worker has room now.
  kWaitsForYield,  // Others are yielding for it.
  kWaitsHeadroom,  // Room is kept free for interactive work.
};

const char* RuleText(Rule rule);

struct Decision {
  static constexpr int kRunnersUp = 3;

  TaskId task = kNoTask;
  int64_t at_ms = 0;  // Monotonic.
  Rule rule = Rule::kWaitsForRoom;
  WorkerId worker = kNoWorker;
  float score = 0;
  int32_t examined = 0;
  std::array<int32_t, kRuledOutReasons> ruled_out{};
  std::array<WorkerId, kRunnersUp> runner_up{kNoWorker, kNoWorker, kNoWorker};
  std::array<float, kRunnersUp> runner_up_score{};
  int16_t yielded = 0;     // How many tasks yielded for it.
  float yield_cost_s = 0;  // Seconds of work that this lost.

  // One line of plain English: why here, why not there, why not yet, what would
  // have to change.
  std::string ToText(const Cell& cell) const;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_DECISION_H_
