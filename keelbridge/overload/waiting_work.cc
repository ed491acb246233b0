#include "keelbridge/overload/waiting_work.h"

#include <algorithm>

namespace keelbridge {

absl::Duration EstimatedRunTime(const StepSpec& step) {
  return absl::Milliseconds(step.estimated_ms);
}

WorkAmount WorkOf(const StepSpec& step, int32_t tasks) {
  WorkAmount work;
  work.cpu_milli_seconds = static_cast<double>(tasks) *
                           CapacityNeeded(step).cpu_milli *
                           absl::ToDoubleSeconds(EstimatedRunTime(step));
  work.tasks = tasks;
  return work;
}

WorkAmount WorkOf(const JobSpec& spec) {
  WorkAmount work;
  for (const StepSpec& step : spec.steps) work += WorkOf(step, step.count);
  return work;
}

void TierWork::Clear() {
  // Keeps the memory of the ranks for the next pass.
  for (auto& [rank, entries] : ranks_) entries.clear();
  total_ = WorkAmount();
}

void TierWork::Add(const WorkRank& rank, absl::Time latest_start,
                   const WorkAmount& amount) {
  std::vector<Entry>& entries = ranks_[rank];
  Entry entry{latest_start, amount};
  if (!entries.empty()) entry.up_to_here += entries.back().up_to_here;
  entries.push_back(entry);
  total_ += amount;
}

WorkAmount TierWork::Ahead(const WorkRank& rank,
                           absl::Time latest_start) const {
  WorkAmount ahead;
  for (const auto& [other, entries] : ranks_) {
    if (rank < other) break;
    if (entries.empty()) continue;
    if (other < rank) {
      ahead += entries.back().up_to_here;
      continue;
    }
    const auto after =
        std::upper_bound(entries.begin(), entries.end(), latest_start,
                         [](absl::Time start, const Entry& e) {
                           return start < e.latest_start;
                         });
    if (after != entries.begin()) ahead += (after - 1)->up_to_here;
  }
  return ahead;
}

WorkAmount TierWork::UpTo(int32_t priority) const {
  return Ahead({priority, true}, absl::InfiniteFuture());
}

}  // namespace keelbridge
