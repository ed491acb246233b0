#include "testing/support/run_checker.h"

#include <doctest/doctest.h>

namespace keelbridge::testing {
namespace {

RunEvent MakeRunEvent(int64_t at_ms, const std::string& worker,
                      const std::string& task, int64_t attempt, bool begins) {
  return {absl::FromUnixMillis(at_ms),
          worker,
          task,
          attempt,
          begins,
          {2000, 100, 0},
          ""};
}

RunRules Rules() {
  RunRules rules;
  rules.totals["w1"] = {4000, 1000, 0};
  rules.totals["w2"] = {4000, 1000, 0};
  return rules;
}

TEST_CASE(
    "run checker: accepts a valid journal; an end and a start at the same "
    "instant do not overlap") {
  CHECK(CheckRuns({MakeRunEvent(1, "w1", "a/0", 1, true),
                   MakeRunEvent(5, "w2", "a/0", 2, true),
                   MakeRunEvent(5, "w1", "a/0", 1, false)},
                  Rules())
            .empty());
}

TEST_CASE("run checker: reports a task that runs on two hosts at once") {
  CHECK(CheckRuns({MakeRunEvent(1, "w1", "a/0", 1, true),
                   MakeRunEvent(4, "w2", "a/0", 2, true),
                   MakeRunEvent(5, "w1", "a/0", 1, false)},
                  Rules())
            .size() == 1);
}

TEST_CASE("run checker: reports a worker whose capacity is exceeded") {
  CHECK(CheckRuns({MakeRunEvent(1, "w1", "a/0", 1, true),
                   MakeRunEvent(2, "w1", "a/1", 2, true),
                   MakeRunEvent(3, "w1", "a/2", 3, true)},
                  Rules())
            .size() == 1);
}

TEST_CASE(
    "run checker: reports a second start of a task that must not be repeated, "
    "and a start on a draining worker") {
  RunRules rules = Rules();
  rules.non_repeatable.insert("a");
  rules.no_starts_after["w2"] = absl::FromUnixMillis(7);
  const std::vector<RunEvent> run_events = {
      MakeRunEvent(1, "w1", "a/0", 1, true),
      MakeRunEvent(5, "w1", "a/0", 1, false),
      MakeRunEvent(8, "w2", "a/0", 2, true)};
  CHECK(CheckRuns(run_events, rules).size() == 2);
}

}  // namespace
}  // namespace keelbridge::testing
