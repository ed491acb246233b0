#include "testing/support/configuration_check.h"

#include <doctest/doctest.h>

#include "absl/strings/match.h"

namespace keelbridge::testing {
namespace {

absl::Time At(double seconds) {
  return absl::UnixEpoch() + absl::Seconds(1000) + absl::Seconds(seconds);
}

// Returns an observation of a node's first incarnation, which has been
// undisturbed since `undisturbed_since`.
ConfigurationCheck::Observation Observation(int64_t version, double sent_at,
                                            double undisturbed_since = 0) {
  ConfigurationCheck::Observation observation;
  observation.version = version;
  observation.sent_at = At(sent_at);
  observation.before.undisturbed_since = At(undisturbed_since);
  observation.after = observation.before;
  return observation;
}

TEST_CASE("configuration check: a version is due 2 s after it was written") {
  ConfigurationCheck check(1);
  check.RecordWrite(1, At(0));
  check.RecordWrite(2, At(10));
  CHECK(check.CheckObservation(Observation(1, 11.9)).empty());
  CHECK(absl::StrContains(check.CheckObservation(Observation(1, 12.1)),
                          "after version 2"));
  CHECK(check.CheckObservation(Observation(2, 12.2)).empty());
}

TEST_CASE(
    "configuration check: a newer version does not extend the deadline of an "
    "older one") {
  ConfigurationCheck check(1);
  check.RecordWrite(2, At(10));
  check.RecordWrite(3, At(11.5));
  CHECK(absl::StrContains(check.CheckObservation(Observation(1, 12.1)),
                          "after version 2"));
  CHECK(check.CheckObservation(Observation(2, 12.2)).empty());
  CHECK(absl::StrContains(check.CheckObservation(Observation(2, 13.6)),
                          "after version 3"));
}

TEST_CASE("configuration check: an undisturbed node must not refuse calls") {
  ConfigurationCheck check(1);
  // No version has been written yet.
  CHECK(check.CheckObservation(Observation(0, 9)).empty());
  check.RecordWrite(1, At(10));
  CHECK(check.CheckObservation(Observation(0, 11.9)).empty());
  CHECK(absl::StrContains(check.CheckObservation(Observation(0, 12.1)),
                          "refuses"));
  // A single refusal is a violation, even if the node served calls before and
  // the version was written long ago.
  CHECK(check.CheckObservation(Observation(1, 13)).empty());
  const std::string violation = check.CheckObservation(Observation(0, 24.2));
  CHECK(absl::StrContains(violation, "refuses"));
  CHECK(absl::StrContains(violation, "undisturbed for 24200 ms"));
  // A refusing node serves no version, so it is not reported as late.
  CHECK_FALSE(absl::StrContains(violation, "version 1"));
  // A newly written version does not permit a refusal.
  check.RecordWrite(2, At(24));
  CHECK(absl::StrContains(check.CheckObservation(Observation(0, 24.3)),
                          "refuses"));
}

TEST_CASE(
    "configuration check: a node may refuse calls until 3 s after a "
    "disturbance") {
  ConfigurationCheck check(1);
  check.RecordWrite(1, At(0));
  CHECK(check.CheckObservation(Observation(0, 22.9, 20)).empty());
  CHECK(absl::StrContains(check.CheckObservation(Observation(0, 23.1, 20)),
                          "refuses"));
  ConfigurationCheck::Observation observation = Observation(0, 23.1, 20);
  observation.after.undisturbed_since = absl::InfiniteFuture();
  CHECK(check.CheckObservation(observation).empty());
}

TEST_CASE(
    "configuration check: an old version is due 3 s after a disturbance ended, "
    "without a further 2 s") {
  ConfigurationCheck check(1);
  check.RecordWrite(2, At(10));
  CHECK(check.CheckObservation(Observation(1, 22.9, 20)).empty());
  CHECK(absl::StrContains(check.CheckObservation(Observation(1, 23.1, 20)),
                          "after version 2"));
}

TEST_CASE(
    "configuration check: a version written soon after a disturbance is due at "
    "the later deadline") {
  ConfigurationCheck check(1);
  check.RecordWrite(2, At(20.5));
  CHECK(check.CheckObservation(Observation(1, 22.9, 20)).empty());
  CHECK_FALSE(check.CheckObservation(Observation(1, 23.1, 20)).empty());
  check.RecordWrite(3, At(22));
  CHECK(check.CheckObservation(Observation(2, 23.9, 20)).empty());
  CHECK_FALSE(check.CheckObservation(Observation(2, 24.1, 20)).empty());
}

TEST_CASE("configuration check: a node disturbed during the call is not late") {
  ConfigurationCheck check(1);
  check.RecordWrite(2, At(10));
  ConfigurationCheck::Observation observation = Observation(1, 30);
  observation.after.undisturbed_since = absl::InfiniteFuture();
  CHECK(check.CheckObservation(observation).empty());
  observation.before.undisturbed_since = absl::InfiniteFuture();
  CHECK(check.CheckObservation(observation).empty());
}

TEST_CASE(
    "configuration check: an incarnation never returns to an older version, "
    "even when disturbed") {
  ConfigurationCheck check(1);
  check.RecordWrite(1, At(0));
  check.RecordWrite(2, At(10));
  CHECK(check.CheckObservation(Observation(2, 11)).empty());
  ConfigurationCheck::Observation back = Observation(1, 12);
  back.before.undisturbed_since = absl::InfiniteFuture();
  back.after = back.before;
  CHECK(absl::StrContains(check.CheckObservation(back), "went back"));
  // A new incarnation may start with an older version.
  back.before.incarnation = 1;
  back.after.incarnation = 1;
  CHECK(check.CheckObservation(back).empty());
}

TEST_CASE(
    "configuration check: a refusal is not a return to an older version") {
  ConfigurationCheck check(1);
  check.RecordWrite(1, At(0));
  CHECK(check.CheckObservation(Observation(1, 1)).empty());
  check.RecordWrite(2, At(6));
  CHECK(check.CheckObservation(Observation(2, 6.1)).empty());
  CHECK(check.CheckObservation(Observation(0, 6.2, 6)).empty());
  // The version that this incarnation served before the refusal still counts.
  CHECK(absl::StrContains(check.CheckObservation(Observation(1, 6.3, 6)),
                          "went back"));
}

TEST_CASE(
    "configuration check: reports the longest delay until a version was "
    "served") {
  ConfigurationCheck check(1);
  check.RecordWrite(2, At(10));
  CHECK(check.CheckObservation(Observation(2, 12)).empty());
  CHECK(check.CheckObservation(Observation(2, 14)).empty());
  CHECK(check.max_delay() == absl::Seconds(2));
  CHECK(check.ServesNewest(0, 0));
  CHECK_FALSE(check.ServesNewest(0, 1));
  check.RecordWrite(3, At(20));
  CHECK_FALSE(check.ServesNewest(0, 0));
}

}  // namespace
}  // namespace keelbridge::testing
