// What becomes of tasks whose workers crash, and of those beside them.

#include <doctest/doctest.h>

#include <string>

#include "testing/support/crashing_site.h"

namespace keelbridge::testing {
namespace {

const ExplainAction* LineOf(const SchedulerDriver& driver,
                            const std::string& event) {
  for (const ExplainAction& line : driver.lines) {
    if (line.event == event) return &line;
  }
  return nullptr;
}

std::string FieldOf(const ExplainAction& line, const std::string& name) {
  for (const auto& [field, value] : line.fields) {
    if (field == name) return value;
  }
  return "";
}

TEST_CASE("job scheduler: a lost run is told with what ended its worker") {
  CrashingSite site(1, 1);
  site.work = absl::InfiniteDuration();
  site.Submit(8, OneTask());
  site.Run(absl::Seconds(2));
  site.Submit(7, OneTask());
  site.crashes = [](const TaskId& task) { return task.job == 7; };
  site.Run(absl::Seconds(6));
  const ExplainAction* worker = LineOf(site.driver, "runs_lost");
  REQUIRE(worker != nullptr);
  CHECK(FieldOf(*worker, "why") == "it crashed: another life answered");
  const ExplainAction* run = LineOf(site.driver, "run_lost");
  REQUIRE(run != nullptr);
  CHECK(FieldOf(*run, "task") == "0000000000000007.0.0.0");
  CHECK(FieldOf(*run, "beside") == "1");
  CHECK(std::stoi(FieldOf(*run, "ran_ms")) <= 200);
}

TEST_CASE("job scheduler: a leave is told from a crash") {
  CrashingSite site(1, 1);
  site.work = absl::InfiniteDuration();
  site.Submit(8, OneTask());
  site.Run(absl::Seconds(2));
  site.Leave("m0-1");
  site.Run(absl::Seconds(9));
  const ExplainAction* worker = LineOf(site.driver, "runs_lost");
  REQUIRE(worker != nullptr);
  CHECK(FieldOf(*worker, "why") == "it left: another life answered");
}

}  // namespace
}  // namespace keelbridge::testing
