#include "keelbridge/coordination/task_moves.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace keelbridge {
namespace {

bool AreOfOneStep(const TaskId& a, const TaskId& b) {
  return std::tie(a.job, a.round, a.step) == std::tie(b.job, b.round, b.step);
}

}  // namespace

bool TaskMoves::IsMoving(const TaskId& task, int32_t run) const {
  const auto move = moves_.find(task);
  return move != moves_.end() && move->second.run == run;
}

int32_t TaskMoves::CountMovesTo(const std::string& worker,
                                const TaskId& task) const {
  const auto count =
      std::count_if(moves_.begin(), moves_.end(), [&](const auto& one) {
        return one.second.to == worker && AreOfOneStep(one.first, task);
      });
  return static_cast<int32_t>(count);
}

void TaskMoves::KeepIf(
    absl::FunctionRef<bool(const TaskId&, const TaskMove&)> keep) {
  for (auto it = moves_.begin(); it != moves_.end();)
    it = keep(it->first, it->second) ? std::next(it) : moves_.erase(it);
}

}  // namespace keelbridge
