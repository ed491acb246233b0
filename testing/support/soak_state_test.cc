// What a soak knows of its nodes and jobs.

#include <doctest/doctest.h>

#include <random>

#include "absl/time/clock.h"
#include "testing/support/node_disturbances.h"
#include "testing/support/soak_jobs.h"
#include "testing/support/soak_record.h"

namespace keelbridge::testing {
namespace {

TEST_CASE("node touch: a node is in touch once every disturbance is over") {
  NodeTouch touch(2);
  touch.Disturb(0);
  touch.DisturbAll();
  touch.Restore(0);
  CHECK(touch.Get(0).since == absl::InfiniteFuture());
  const absl::Time before = absl::Now();
  touch.RestoreAll();
  CHECK(touch.Get(0).since >= before);
  CHECK(touch.Get(1).since <= absl::Now());
}

TEST_CASE("node touch: another process is another life") {
  NodeTouch touch(2);
  touch.NextLife(1);
  CHECK(touch.Get(0).life == 0);
  CHECK(touch.Get(1).life == 1);
}

TEST_CASE("soak jobs: only what was accepted and not cancelled must be known") {
  SoakJobs jobs;
  std::mt19937_64 random(1);
  jobs.Refused(1);
  jobs.Unknown(2);
  CHECK_FALSE(jobs.Draw(random));
  CHECK_FALSE(jobs.MustBeKnown(1));
  CHECK_FALSE(jobs.MustBeKnown(2));
  CHECK_FALSE(jobs.BeginCancel(2));
  jobs.Accepted(2);
  CHECK(jobs.MustBeKnown(2));
  CHECK(jobs.Draw(random) == 2);
  CHECK(jobs.BeginCancel(2));
  CHECK_FALSE(jobs.MustBeKnown(2));
  CHECK_FALSE(jobs.Draw(random));
}

TEST_CASE("soak record: the first fault of a key is kept") {
  SoakRecord record;
  record.Fault("key", "first");
  record.Fault("key", "second");
  record.Fault("other", "third");
  CHECK(record.faults().size() == 2);
}

}  // namespace
}  // namespace keelbridge::testing
