#include "keelbridge/coordination/capacity_reservations.h"

#include <algorithm>

#include "keelbridge/coordination/scheduled_worker.h"

namespace keelbridge {

void CapacityReservations::Add(ScheduledWorker& worker,
                               const Resources& capacity) {
  ReservedCapacity& reserved = worker.reserved;
  reserved.amount_ += capacity;
  if (reserved.listed_) return;
  reserved.listed_ = true;
  workers_.push_back(&worker);
}

void CapacityReservations::Clear() {
  for (ScheduledWorker* worker : workers_) worker->reserved = {};
  workers_.clear();
}

void CapacityReservations::Forget(const ScheduledWorker& worker) {
  workers_.erase(std::remove(workers_.begin(), workers_.end(), &worker),
                 workers_.end());
}

}  // namespace keelbridge
