#include "keelbridge/coordination/scheduled_worker.h"

namespace keelbridge {

bool MayExtendLease(const ScheduledWorker& worker, int64_t durable_batch) {
  return worker.known_at_batch <= durable_batch &&
         worker.recorded_lease_end == absl::InfiniteFuture();
}

bool HasStartSlot(const ScheduledWorker& worker, Now now) {
  return worker.start_window.Admits(worker.orders.size(), now.mono);
}

KnownWorker DescribeWorker(const ScheduledWorker& worker, int64_t epoch) {
  const bool leased_by_this = worker.leased_by_epoch == epoch;
  KnownWorker known;
  known.worker = worker.record;
  known.epoch = worker.leased_by_epoch;
  known.retired = leased_by_this ? worker.retired : worker.retired_by_earlier;
  known.persists_placements = worker.persists_placements;
  known.last_tasks =
      leased_by_this ? worker.last_tasks : worker.last_tasks_of_earlier;
  known.restarted = worker.restarted;
  if (worker.recorded_lease_end != absl::InfiniteFuture())
    known.lease_over = LeaderTime{epoch, worker.recorded_lease_end};
  return known;
}

}  // namespace keelbridge
