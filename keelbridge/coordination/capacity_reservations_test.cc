#include "keelbridge/coordination/capacity_reservations.h"

#include <doctest/doctest.h>

#include "keelbridge/coordination/scheduled_worker.h"

namespace keelbridge {
namespace {

const Resources kNeed{2000, 1024, 1};

TEST_CASE("capacity reservations: what is reserved on a worker adds up") {
  ScheduledWorker worker;
  CapacityReservations reservations;
  reservations.Add(worker, kNeed);
  reservations.Add(worker, kNeed);
  CHECK(worker.reserved.amount() == kNeed + kNeed);
}

// Guards against reserved capacity that no pass ever releases.
TEST_CASE("capacity reservations: nothing is reserved once they are cleared") {
  ScheduledWorker a;
  ScheduledWorker b;
  CapacityReservations reservations;
  reservations.Add(a, kNeed);
  reservations.Add(b, Resources());
  reservations.Add(b, kNeed);
  reservations.Clear();
  CHECK(a.reserved.amount() == Resources());
  CHECK(b.reserved.amount() == Resources());
  reservations.Add(a, kNeed);
  reservations.Clear();
  CHECK(a.reserved.amount() == Resources());
}

TEST_CASE("capacity reservations: a forgotten worker is not touched again") {
  ScheduledWorker kept;
  CapacityReservations reservations;
  {
    ScheduledWorker gone;
    reservations.Add(gone, kNeed);
    reservations.Add(kept, kNeed);
    reservations.Forget(gone);
  }
  reservations.Clear();
  CHECK(kept.reserved.amount() == Resources());
}

}  // namespace
}  // namespace keelbridge
