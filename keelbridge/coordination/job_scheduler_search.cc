// Indexes of the workers, and searches and totals whose cost does not grow with
// their number.

#include <algorithm>
#include <utility>

#include "keelbridge/coordination/job_scheduler.h"

namespace keelbridge {
namespace {

// The most workers that one search of a larger site visits. The next search
// continues where it ended, so that consecutive searches name different workers
// and all workers get their turn on a busy site. The tasks of a step thus run
// in one or two zones, so that the loss of a zone hits few jobs.
constexpr size_t kMaxVisitedWorkers = 1600;
// Number of workers with free capacity among which the best one is chosen for a
// task.
constexpr size_t kMinUsableWorkers = 400;
// Advice is requested for at most this multiple of the work that fits into the
// free capacity, because part of the capacity that a request covers turns out
// to be unusable.
constexpr double kAdviceOversubscription = 2.0;
// A pool is idle while more than this share of its processors is free. Users
// consider a job lost if it does not run for 3 s while less than half of the
// processors are in use, so gangs make concurrent advice calls and reserve
// capacity there. In a fuller pool that would only delay small tasks.
constexpr double kIdlePoolShare = 0.4;

}  // namespace

void JobScheduler::VisitWorkers(absl::FunctionRef<bool(Worker&)> visit) {
  if (workers_.size() <= kMaxFullSearch) {
    for (auto& [id, worker] : workers_) {
      if (!visit(*worker)) return;
    }
    return;
  }
  const size_t limit = std::min(search_order_.size(), kMaxVisitedWorkers);
  auto next = search_order_.lower_bound(search_cursor_);
  for (size_t visited = 0; visited < limit; ++visited) {
    if (next == search_order_.end()) next = search_order_.begin();
    Worker& worker = *next->second;
    ++next;
    if (!visit(worker)) break;
  }
  search_cursor_ = next == search_order_.end() ? SearchKey() : next->first;
}

std::vector<JobScheduler::Worker*> JobScheduler::FindAllUsableWorkers(
    const ReadyStep& ready, Now now) {
  std::vector<Worker*> usable;
  for (auto& [id, worker] : workers_) {
    if (MayRun(*worker, ready, now)) usable.push_back(worker.get());
  }
  return usable;
}

std::vector<JobScheduler::Worker*> JobScheduler::SampleUsableWorkers(
    const ReadyStep& ready, Now now) {
  const size_t enough = kMinUsableWorkers + static_cast<size_t>(ready.waiting);
  const Resources need = CapacityNeeded(*ready.spec);
  std::vector<Worker*> usable;
  size_t fitting = 0;
  VisitWorkers([&](Worker& worker) {
    if (!MayRun(worker, ready, now)) return true;
    usable.push_back(&worker);
    if (need.FitsIn(UnreservedCapacity(worker))) ++fitting;
    return fitting < enough;
  });
  return usable;
}

std::vector<JobScheduler::Worker*> JobScheduler::FindKnownWorkers(
    const StepAdvice& advice) {
  std::vector<Worker*> known;
  for (const auto& [id, eligible] : advice.known) {
    const auto worker = eligible ? workers_.find(id) : workers_.end();
    if (worker != workers_.end()) known.push_back(worker->second.get());
  }
  std::sort(known.begin(), known.end(), [](const Worker* a, const Worker* b) {
    return a->record.id < b->record.id;
  });
  return known;
}

void JobScheduler::VisitAdviceCandidates(
    const StepAdvice& advice, absl::FunctionRef<bool(Worker&)> visit) {
  const int64_t tried_before = figures_.workers_tried;
  // Workers that may run the step are few, and worth more than others.
  const bool known_first = workers_.size() > kMaxFullSearch;
  if (known_first) {
    for (Worker* worker : FindKnownWorkers(advice)) visit(*worker);
  }
  VisitWorkers([&](Worker& worker) {
    return (known_first && advice.known.contains(worker.record.id)) ||
           visit(worker);
  });
  figures_.workers_tried_for_advice += figures_.workers_tried - tried_before;
}

void JobScheduler::SetRecord(Worker& worker, const WorkerRecord& record) {
  if (worker.record.machine != record.machine) {
    RemoveFromMachine(worker);
    if (!record.machine.empty()) by_machine_[record.machine].push_back(&worker);
  }
  search_order_.erase({worker.record.zone, worker.record.id});
  worker.record = record;
  search_order_[{record.zone, record.id}] = &worker;
  CountCapacity(worker);
}

void JobScheduler::RemoveFromMachine(Worker& worker) {
  const auto found = by_machine_.find(worker.record.machine);
  if (found == by_machine_.end()) return;
  std::vector<Worker*>& workers = found->second;
  workers.erase(std::remove(workers.begin(), workers.end(), &worker),
                workers.end());
  if (workers.empty()) by_machine_.erase(found);
}

// A machine runs one incarnation at a time. The records do not show which one,
// since the record of an ended incarnation may linger.
void JobScheduler::ObserveOthersAtMachine(const Worker& found, Now now) {
  const auto workers = by_machine_.find(found.record.machine);
  if (workers == by_machine_.end()) return;
  for (Worker* other : workers->second) {
    if (other == &found) continue;
    other->next_observe = now.mono;
    ScheduleCheck(*other);
  }
}

void JobScheduler::CountCapacity(Worker& worker) {
  pool_totals_.Set(&worker.counted,
                   {worker.record.pool, worker.record.capacity, worker.free});
}

std::map<std::string, PoolCapacity> JobScheduler::FindPoolCapacity() const {
  std::map<std::string, PoolCapacity> pools;
  for (const auto& [name, totals] : pool_totals_.pools()) {
    PoolCapacity& pool = pools[name];
    pool.workers = totals.workers;
    pool.free_milli = static_cast<double>(totals.free_milli);
    pool.total_milli = static_cast<double>(totals.capacity_milli);
    pool.advice_budget_milli = kAdviceOversubscription * pool.free_milli;
    pool.mostly_idle = pool.free_milli > kIdlePoolShare * pool.total_milli;
  }
  return pools;
}

}  // namespace keelbridge
