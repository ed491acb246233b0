// Capacity of workers that is set aside for steps and moves during a placement
// pass.
//
// Each pass begins with `Clear` and reserves anew what is still wanted. The
// amount on a worker can be changed only here, so that all of it is cleared.
//
//   CapacityReservations reservations;
//   reservations.Add(worker, need);
//   const Resources unreserved = worker.free - worker.reserved.amount();
//   reservations.Clear();

#ifndef KEELBRIDGE_COORDINATION_CAPACITY_RESERVATIONS_H_
#define KEELBRIDGE_COORDINATION_CAPACITY_RESERVATIONS_H_

#include <vector>

#include "keelbridge/protocol/resources.h"

namespace keelbridge {

struct ScheduledWorker;

// What is reserved on one worker.
class ReservedCapacity {
 public:
  const Resources& amount() const { return amount_; }

 private:
  friend class CapacityReservations;
  Resources amount_;
  bool listed_ = false;  // The worker is in `CapacityReservations::workers_`.
};

class CapacityReservations {
 public:
  // Adds to what is reserved on the worker, which must exist until `Clear` or
  // `Forget`.
  void Add(ScheduledWorker& worker, const Resources& capacity);
  // Nothing is reserved on any worker from now on.
  void Clear();
  // To be called before the worker ceases to exist.
  void Forget(const ScheduledWorker& worker);

 private:
  std::vector<ScheduledWorker*> workers_;  // Those with reserved capacity.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_CAPACITY_RESERVATIONS_H_
