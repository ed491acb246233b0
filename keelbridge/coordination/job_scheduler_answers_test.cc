// Tests answers of workers that arrive late, twice or not at all.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

int64_t CountLines(const SchedulerDriver& site, const std::string& event) {
  return std::count_if(
      site.log_lines.begin(), site.log_lines.end(),
      [&event](const LogAction& line) { return line.event == event; });
}

// Guards against a listed worker that the leader no longer observes without any
// sign of it in logs and metrics.
TEST_CASE(
    "job scheduler: a listed worker that is not observed is logged once and "
    "counted until it is observed again") {
  SchedulerDriver site(1);
  site.AddWorker("a");
  site.reports["a"];
  site.RunUntil(absl::Milliseconds(100));
  site.holds_reports.insert("a");
  site.RunUntil(absl::Seconds(4));
  CHECK(site.scheduler().figures().workers_unobserved == 0);
  CHECK(CountLines(site, "worker_not_observed") == 0);
  site.RunUntil(absl::Seconds(8));
  CHECK(site.scheduler().figures().workers_unobserved == 1);
  CHECK(CountLines(site, "worker_not_observed") == 1);
  site.holds_reports.clear();
  site.DeliverHeldAnswers();
  site.RunUntil(absl::Milliseconds(8200));
  CHECK(site.scheduler().figures().workers_unobserved == 0);
}

}  // namespace
}  // namespace keelbridge::testing
