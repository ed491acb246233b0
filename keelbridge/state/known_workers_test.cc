#include "keelbridge/state/known_workers.h"

#include <doctest/doctest.h>

#include <limits>
#include <vector>

namespace keelbridge {
namespace {

constexpr int64_t kUnknownEpoch = std::numeric_limits<int64_t>::max();

TEST_CASE("known workers: a written record is read back unchanged") {
  WorkerRecord worker;
  worker.id = "i-1";
  worker.machine = "m-1";
  worker.address = "127.0.0.1:9";
  worker.pool = "desk";
  worker.labels = {"a", "r1"};
  worker.capacity = {8000, 1024, 1};
  const TaskId last_task{7, 0, 1, 2};
  const auto known = ParseKnownWorker(
      KnownWorkerRecord({worker, 4, false, true, {last_task}}));
  REQUIRE(known.has_value());
  CHECK(known->worker.id == "i-1");
  CHECK(known->worker.address == "127.0.0.1:9");
  CHECK(known->worker.labels == worker.labels);
  CHECK(known->worker.capacity == worker.capacity);
  CHECK(known->epoch == 4);
  CHECK_FALSE(known->retired);
  CHECK(known->persists_placements);
  CHECK(known->last_tasks == std::vector<TaskId>{last_task});
  CHECK_FALSE(known->unreadable);
  CHECK(ParseKnownWorker(KnownWorkerRecord({worker, 4, true}))->retired);
}

// The id of the worker is in the key. If the record were ignored, the tasks
// that the worker runs would be started again.
TEST_CASE("known workers: a worker whose record is unreadable is still known") {
  for (const char* value :
       {"", "no record", "[]", "7", R"({"epoch":"x","closed":true})",
        R"({"epoch":1,"closed":"x"})", R"({"epoch":1,"machine":["m"]})",
        R"({"epoch":1,"labels":{"a":[]}})", R"({"epoch":1,"labels":"a"})",
        R"({"epoch":1,"labels":[[]]})", R"({"epoch":1,"cpu_milli":"x"})",
        R"({"epoch":1,"cpu_milli":1e300})", R"({"epoch":1,"pool":{}})",
        R"({"epoch":1,"last_tasks":["x"]})",
        R"({"epoch":1,"last_tasks":{"a":1}})",
        R"({"epoch":1,"keeps_placements":7})"}) {
    CAPTURE(value);
    const auto known =
        ParseKnownWorker(Record{KnownWorkerKey("i-1"), value, -1});
    REQUIRE(known.has_value());
    CHECK(known->worker.id == "i-1");
    // Nothing is concluded from the rest of the record: any leader may have
    // used the worker.
    CHECK(known->epoch == kUnknownEpoch);
    CHECK_FALSE(known->retired);
    CHECK(known->unreadable);
  }
}

TEST_CASE("known workers: records of other kinds and drops name no worker") {
  CHECK_FALSE(ParseKnownWorker(Record{"d/1", "{}", -1}).has_value());
  CHECK_FALSE(
      ParseKnownWorker(Record{KnownWorkerKey(""), "{}", -1}).has_value());
  CHECK_FALSE(ParseKnownWorker(Record{KnownWorkerKey("i-1"), std::nullopt, -1})
                  .has_value());
}

}  // namespace
}  // namespace keelbridge
