// Tests the log lines about waiting steps.

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

std::map<std::string, std::string> LastLine(const SchedulerDriver& site,
                                            const std::string& event) {
  std::map<std::string, std::string> fields;
  for (const LogAction& line : site.log_lines) {
    if (line.event != event) continue;
    fields.clear();
    for (const auto& [key, value] : line.fields)
      fields[std::string(key)] = std::string(value);
  }
  return fields;
}

// A gang that would fit twice waits because few workers may run it. The log
// line shows this.
TEST_CASE("job scheduler: the log shows what a waiting step lacks") {
  SchedulerDriver site(1);
  site.UseAdvice();
  for (const char* worker : {"a", "b"}) {
    site.AddWorker(worker, 8000);
    site.reports[worker];
  }
  site.eligible = {"a"};
  site.RunUntil(absl::Milliseconds(100));
  JobSpec spec;
  spec.steps = {OneTask(2000)};
  spec.steps[0].count = 6;
  spec.steps[0].gang = true;
  site.scheduler().Submit(kJob, "restore", spec, site.now());
  site.RunUntil(absl::Seconds(8));
  REQUIRE(site.starts.empty());
  auto fields = LastLine(site, "step_waits");
  CHECK(fields["fits"] == "8");
  CHECK(fields["fits_good"] == "4");
  CHECK(fields["workers_good"] == "1");
  CHECK(fields["workers_bad"] == "1");
  CHECK(fields["waiting"] == "6");
}

}  // namespace
}  // namespace keelbridge::testing
