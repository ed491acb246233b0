// Tests wide gangs, which need tickets and capacity for all members at the same
// time.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "testing/support/wide_site.h"

namespace keelbridge::testing {
namespace {

constexpr int32_t kHalfWorkerMilli = WideSite::kHalfWorkerMilli;

// 180 tasks need 90 eligible workers, so the leader has to ask about 360
// workers. With consecutive calls it never had enough valid tickets at a time.
TEST_CASE("job scheduler: a gang that needs several advice calls starts") {
  WideSite site;
  site.Submit(1, "restore", 180, kHalfWorkerMilli, true);
  site.RunUntil(absl::Seconds(6));
  CHECK(site.Started(1) == 180);
}

TEST_CASE(
    "job scheduler: a gang that needs more workers than one call may name "
    "starts") {
  WideSite site;
  site.Submit(1, "restore", 240, kHalfWorkerMilli, true);
  site.RunUntil(absl::Seconds(6));
  CHECK(site.Started(1) == 240);
}

// Guards against wide gangs that starve each other: each holds a part of the
// capacity that another one lacks, and none starts although the site is half
// free.
TEST_CASE("job scheduler: wide gangs that wait together all start") {
  WideSite site;
  for (JobId job = 1; job <= 20; ++job)
    site.Submit(job, "restore", 91, kHalfWorkerMilli, true);
  site.RunUntil(absl::Seconds(15));
  CHECK(site.JobsStarted(1, 20) == 20);
}

// A gang asks about the workers on which capacity is reserved for it. It gets
// no other capacity here: the site is full, and more tasks wait than it can
// run.
TEST_CASE("job scheduler: a gang asks about the capacity reserved for it") {
  WideSite site;
  JobId next_job = 100;
  for (int i = 0; i < 22; ++i)
    site.Submit(next_job++, "plain", 100, kHalfWorkerMilli, false);
  site.RunUntil(absl::Seconds(2));
  REQUIRE(site.JobsStarted(100, 121) == 22);
  site.Submit(1, "restore", 91, kHalfWorkerMilli, true);
  for (int i = 0; i < 200; ++i) {
    site.Submit(next_job++, "plain", 40, kHalfWorkerMilli, false);
    site.RunUntil(absl::Seconds(2) + absl::Milliseconds(i * 100));
  }
  MESSAGE("started after ",
          absl::FormatDuration(site.StartedAt(1) - absl::Seconds(2)));
  CHECK(site.Started(1) == 91);
}

// Only the few gangs that reserve capacity make concurrent calls.
TEST_CASE("job scheduler: wide gangs leave advisers to other steps") {
  WideSite site;
  size_t max_calls = 0;
  for (JobId job = 1; job <= 60; ++job)
    site.Submit(job, "restore", 180, kHalfWorkerMilli, true);
  for (int i = 2; i <= 40; ++i) {
    const size_t before = site.driver().advice_calls.size();
    site.RunUntil(absl::Milliseconds(i * 500));
    max_calls = std::max(max_calls, site.driver().advice_calls.size() - before);
  }
  MESSAGE("calls in half a second, at most: ", max_calls);
  CHECK(max_calls > 0);
  CHECK(max_calls <= 76);  // 4 gangs make 4 calls each, 60 gangs one each.
}

// The gangs with reservations reserve at most 4 x 90 of 1,100 workers.
TEST_CASE("job scheduler: small tasks start while wide gangs wait") {
  WideSite site;
  for (JobId job = 1; job <= 30; ++job)
    site.Submit(job, "restore", 180, kHalfWorkerMilli, true);
  site.RunUntil(absl::Seconds(2));
  absl::Duration longest;
  for (JobId job = 100; job < 180; ++job) {
    const absl::Duration at = site.driver().now().mono - kBegin;
    site.Submit(job, "plain", 1, 16000, false);
    site.RunUntil(at + absl::Milliseconds(200));
  }
  site.RunUntil(absl::Seconds(25));
  for (JobId job = 100; job < 180; ++job) {
    const absl::Duration submitted_at =
        absl::Seconds(2) + absl::Milliseconds((job - 100) * 200);
    longest = std::max(longest, site.StartedAt(job) - submitted_at);
  }
  MESSAGE("longest wait of a small task: ", absl::FormatDuration(longest));
  CHECK(longest <= absl::Seconds(3));
}

// Gangs wait on a full site, and no adviser is available any more once
// `advised_for` has passed since they were submitted. Returns how many times a
// worker was tried in one second after that.
int64_t WorkersTriedInOneSecond(absl::Duration advised_for) {
  WideSite site;
  for (JobId job = 100; job < 122; ++job)
    site.Submit(job, "plain",
                {100, {kHalfWorkerMilli, 1, 0}, false, 60000, 60000});
  site.RunUntil(absl::Seconds(2));
  if (advised_for == absl::ZeroDuration()) site.driver().UseAdvisers(0);
  for (JobId job = 1; job <= 60; ++job)
    site.Submit(job, "restore", 40, kHalfWorkerMilli, true);
  site.RunUntil(absl::Seconds(2) + advised_for);
  site.driver().UseAdvisers(0);
  site.RunUntil(absl::Seconds(4) + advised_for);  // All tickets have expired.
  const auto before = site.driver().scheduler().figures();
  site.RunUntil(absl::Seconds(5) + advised_for);
  const auto after = site.driver().scheduler().figures();
  CHECK(after.placement_passes > before.placement_passes);
  CHECK(after.steps_examined > before.steps_examined);
  return after.workers_tried - before.workers_tried;
}

// The cost of a placement pass must not grow with the number of gangs times the
// number of workers, however few workers have a ticket.
TEST_CASE(
    "job scheduler: a waiting gang tries only workers that it has tickets "
    "for") {
  CHECK(WorkersTriedInOneSecond(absl::ZeroDuration()) == 0);
  // Four gangs search for capacity to reserve every 50 ms, on the quarter of
  // the workers that may run them.
  CHECK(WorkersTriedInOneSecond(absl::Seconds(2)) <=
        4 * 20 * WideSite::kWorkers / 4);
}

}  // namespace
}  // namespace keelbridge::testing
