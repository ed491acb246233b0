#include "keelbridge/coordination/capacity_search.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const Resources kLarge{31000, 45000, 8};
const Resources kSmall{5600, 11000, 1};

TEST_CASE("room search: free capacity is used before any run is preempted") {
  std::vector<CapacityCandidate> workers(2);
  workers[0] = {{64000, 128000, 7}, 9, {{kSmall, 0.1}}};
  workers[1] = {{64000, 128000, 8}, 9, {}};
  const auto choices = ChooseCapacity(kLarge, 1, 2, workers);
  REQUIRE(choices.size() == 1);
  CHECK(choices[0].candidate == 1);
  CHECK(choices[0].preempted.empty());
}

TEST_CASE("room search: no run is preempted without need") {
  // The processors of the most expensive run suffice; the cheap runs are then
  // not needed.
  std::vector<CapacityCandidate> workers(1);
  workers[0] = {{20000, 128000, 8},
                9,
                {{{4000, 0, 0}, 0.1}, {{6000, 0, 0}, 0.2}, {{12000, 0, 0}, 1}}};
  const auto choices = ChooseCapacity(kLarge, 1, 2, workers);
  REQUIRE(choices.size() == 1);
  CHECK(choices[0].preempted == std::vector<size_t>{2});
}

TEST_CASE(
    "room search: preemption uses the cheapest worker and only as many runs as "
    "needed") {
  std::vector<CapacityCandidate> workers(2);
  workers[0] = {{36000, 60000, 4},
                9,
                {{kSmall, 0.2}, {kSmall, 0.2}, {kSmall, 0.2}, {kSmall, 0.2}}};
  workers[1] = {{50000, 100000, 6}, 9, {{kSmall, 0.2}, {kSmall, 0.2}}};
  const auto one = ChooseCapacity(kLarge, 1, 2, workers);
  REQUIRE(one.size() == 1);
  CHECK(one[0].candidate == 1);
  CHECK(one[0].preempted.size() == 2);
  const auto two = ChooseCapacity(kLarge, 2, 2, workers);
  REQUIRE(two.size() == 2);
  CHECK(two[0].preempted.size() == 4);
}

TEST_CASE(
    "room search: nothing is preempted for a task that would not fit or is not "
    "worth it") {
  std::vector<CapacityCandidate> workers(1);
  workers[0] = {{36000, 60000, 4}, 9, {{kSmall, 0.2}}};
  CHECK(ChooseCapacity(kLarge, 1, 2, workers).empty());
  // Nothing is preempted if that costs more than the work is worth.
  workers[0].runs.assign(4, {kSmall, 0.2});
  CHECK(ChooseCapacity(kLarge, 1, 0.7, workers).empty());
  CHECK(ChooseCapacity(kLarge, 1, 0.9, workers).size() == 1);
  // Nothing is chosen where the step may have no further tasks.
  workers[0] = {{64000, 128000, 8}, 0, {}};
  CHECK(ChooseCapacity(kLarge, 1, 2, workers).empty());
}

}  // namespace
}  // namespace keelbridge
