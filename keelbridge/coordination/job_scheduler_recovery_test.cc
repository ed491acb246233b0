// What a later leader may start of what it recovered, and what it waits for.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "testing/support/scheduler_driver.h"

namespace keelbridge::testing {
namespace {

const ExplainAction* LineOf(const SchedulerDriver& site,
                            const std::string& event) {
  const auto line =
      std::find_if(site.lines.begin(), site.lines.end(),
                   [&](const auto& one) { return one.event == event; });
  return line == site.lines.end() ? nullptr : &*line;
}

std::string FieldOf(const ExplainAction& line, const std::string& name) {
  for (const auto& [key, value] : line.fields) {
    if (key == name) return value;
  }
  return "";
}

TEST_CASE("job scheduler: why recovered work waits, and that it is free") {
  SchedulerDriver site(2);
  site.Recover(OneTask(), {{SchedulerDriver::RecordOf("gone", 8000), 1}});
  site.AddWorker("a");
  site.lists["a"];
  site.RunUntil(absl::Milliseconds(1500));
  const ExplainAction* waits = LineOf(site, "recovered_work_waits");
  REQUIRE(waits != nullptr);
  CHECK(FieldOf(*waits, "first") == TaskIdText(kTask));
  CHECK(FieldOf(*waits, "tasks") == "1");
  CHECK(FieldOf(*waits, "workers") == "1");
  CHECK(FieldOf(*waits, "last_worker") == "gone");
  CHECK(FieldOf(*waits, "held_by_epoch") == "1");
  CHECK(site.scheduler().figures().recovered_waiting == 1);
  CHECK(LineOf(site, "recovered_work_free") == nullptr);
  site.RunUntil(absl::Seconds(14));
  CHECK(LineOf(site, "recovered_work_free") != nullptr);
  CHECK(site.scheduler().figures().recovered_waiting == 0);
}

}  // namespace
}  // namespace keelbridge::testing
