#include "keelbridge/coordination/admission.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const absl::Time kBegin = absl::UnixEpoch() + absl::Hours(1);

// Simulates two placement passes per second for `length`, with 100 tasks
// started before each.
Admission AdmissionWithBacklog(const Backlog& backlog, absl::Duration length) {
  Admission admission{Admission::Options()};
  for (absl::Duration at; at <= length; at += absl::Milliseconds(500))
    admission.OnPlacementPass(backlog, 100, kBegin + at);
  return admission;
}

TEST_CASE("admission: nothing is refused before the rate is known") {
  const Backlog backlog{{{0, 9000}}, 9000};
  const Admission before_window =
      AdmissionWithBacklog(backlog, absl::Seconds(1));
  CHECK(before_window.Decide(0, 10, absl::Seconds(1)).accept);
  const Admission after_window =
      AdmissionWithBacklog(backlog, absl::Seconds(5));
  CHECK(after_window.StartsPerSecond() == doctest::Approx(200));
  CHECK_FALSE(after_window.Decide(0, 10, absl::Seconds(1)).accept);
}

TEST_CASE(
    "admission: a job waits for timely work of its own and more urgent "
    "priorities") {
  const Admission admission = AdmissionWithBacklog(
      {{{0, 100}, {1, 300}, {2, 1000}}, 1500}, absl::Seconds(5));
  const absl::Duration patience = absl::Seconds(3);
  CHECK(admission.Decide(0, 4, patience).accept);
  CHECK(admission.Decide(1, 4, patience).accept);  // 404 tasks: 2.02 s.
  const Admission::Verdict late = admission.Decide(2, 4, patience);
  CHECK_FALSE(late.accept);
  CHECK(late.wait > absl::Seconds(7));
  CHECK(late.retry_after > absl::Seconds(4));
  CHECK(late.retry_after <= absl::Seconds(5));
  CHECK(admission.Decide(2, 4, absl::Seconds(10)).accept);
}

// Late work is ordered after all timely work. After an outage a new leader
// finds much late work and still has to accept the jobs that it can run.
TEST_CASE("admission: late work does not cause refusals") {
  const Admission admission =
      AdmissionWithBacklog({{{0, 10}}, 19000}, absl::Seconds(5));
  CHECK(admission.Decide(0, 4, absl::Seconds(1)).accept);
  CHECK_FALSE(admission.Decide(0, 4000, absl::Seconds(1)).accept);
}

TEST_CASE("admission: a small backlog is no overload") {
  const Admission admission =
      AdmissionWithBacklog({{{0, 999}}, 999}, absl::Seconds(5));
  CHECK(admission.Decide(0, 1000, absl::Milliseconds(1)).accept);
}

TEST_CASE("admission: the end of an overload takes effect at once") {
  Admission admission =
      AdmissionWithBacklog({{{0, 9000}}, 9000}, absl::Seconds(5));
  CHECK_FALSE(admission.Decide(0, 1, absl::Seconds(1)).accept);
  admission.OnPlacementPass({{{0, 10}}, 10}, 100, kBegin + absl::Seconds(6));
  CHECK(admission.Decide(0, 1, absl::Seconds(1)).accept);
}

}  // namespace
}  // namespace keelbridge
