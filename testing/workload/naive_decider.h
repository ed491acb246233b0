// The baseline scheduler for comparisons: first come, first served, with first
// fit. It walks the queue in order and places each task on the first worker
// with enough free capacity. Tasks that fit nowhere keep their place in the
// queue. Nothing is preempted and no capacity is reserved.

#ifndef KEELBRIDGE_TESTING_WORKLOAD_NAIVE_DECIDER_H_
#define KEELBRIDGE_TESTING_WORKLOAD_NAIVE_DECIDER_H_

#include <list>
#include <map>
#include <utility>
#include <vector>

#include "keelbridge/coordination/decider.h"

namespace keelbridge::testing {

class NaiveDecider {
 public:
  WorkerId AddWorker(const Resources& total) {
    free_.push_back(total);
    return static_cast<WorkerId>(free_.size() - 1);
  }

  TaskHandle Submit(const TaskSpec& spec) {
    specs_.push_back(spec);
    workers_.push_back(kNoWorker);
    queue_.push_back(static_cast<TaskHandle>(specs_.size() - 1));
    return queue_.back();
  }

  // Starts all queued tasks that fit now and returns them with their workers.
  std::vector<std::pair<TaskHandle, WorkerId>> Decide() {
    std::vector<std::pair<TaskHandle, WorkerId>> starts;
    for (auto it = queue_.begin(); it != queue_.end();) {
      const WorkerId worker = FindFirstFit(specs_[*it].need);
      if (worker == kNoWorker) {
        ++it;
        continue;
      }
      free_[worker] -= specs_[*it].need;
      workers_[*it] = worker;
      starts.emplace_back(*it, worker);
      it = queue_.erase(it);
    }
    return starts;
  }

  void OnEnded(TaskHandle id) { free_[workers_[id]] += specs_[id].need; }

  WorkerId FindFirstFit(const Resources& need) {
    for (size_t w = 0; w < free_.size(); ++w) {
      ++examined;
      if (need.FitsIn(free_[w])) return static_cast<WorkerId>(w);
    }
    return kNoWorker;
  }

  size_t waiting() const { return queue_.size(); }
  const Resources& Free(WorkerId w) const { return free_[w]; }
  int64_t examined = 0;

 private:
  std::vector<Resources> free_;
  std::vector<TaskSpec> specs_;
  std::vector<WorkerId> workers_;
  std::list<TaskHandle> queue_;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_WORKLOAD_NAIVE_DECIDER_H_
