// Tests of the state that a soak test keeps about its nodes and jobs.

#include <doctest/doctest.h>

#include <random>

#include "absl/time/clock.h"
#include "testing/support/node_disturbances.h"
#include "testing/support/soak_jobs.h"
#include "testing/support/soak_record.h"

namespace keelbridge::testing {
namespace {

TEST_CASE("node touch: a node is undisturbed once all disturbances are over") {
  NodeDisturbances node_disturbances(2);
  node_disturbances.Disturb(0);
  node_disturbances.DisturbAll();
  node_disturbances.Restore(0);
  CHECK(node_disturbances.Get(0).undisturbed_since == absl::InfiniteFuture());
  const absl::Time before = absl::Now();
  node_disturbances.RestoreAll();
  CHECK(node_disturbances.Get(0).undisturbed_since >= before);
  CHECK(node_disturbances.Get(1).undisturbed_since <= absl::Now());
}

TEST_CASE("node touch: a new process is a new incarnation") {
  NodeDisturbances node_disturbances(2);
  node_disturbances.StartNextIncarnation(1);
  CHECK(node_disturbances.Get(0).incarnation == 0);
  CHECK(node_disturbances.Get(1).incarnation == 1);
}

TEST_CASE(
    "soak jobs: only jobs that were accepted and not cancelled must be known") {
  SoakJobs jobs;
  std::mt19937_64 random(1);
  jobs.RecordRefused(1);
  jobs.RecordUnknown(2);
  CHECK_FALSE(jobs.Draw(random));
  CHECK_FALSE(jobs.MustBeKnown(1));
  CHECK_FALSE(jobs.MustBeKnown(2));
  CHECK_FALSE(jobs.BeginCancel(2));
  jobs.RecordAccepted(2);
  CHECK(jobs.MustBeKnown(2));
  CHECK(jobs.Draw(random) == 2);
  CHECK(jobs.BeginCancel(2));
  CHECK_FALSE(jobs.MustBeKnown(2));
  CHECK_FALSE(jobs.Draw(random));
}

TEST_CASE("soak record: only the first violation of each key is kept") {
  SoakRecord record;
  record.RecordViolation("key", "first");
  record.RecordViolation("key", "second");
  record.RecordViolation("other", "third");
  CHECK(record.violations().size() == 2);
}

}  // namespace
}  // namespace keelbridge::testing
