#include "keelbridge/protocol/worker_incarnation.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

TEST_CASE("worker life: an id parses into its name and start time") {
  for (const WorkerIncarnation& incarnation :
       {WorkerIncarnation{"i-7f3a", 1791525600123},
        WorkerIncarnation{"i-7f3a", 0}, WorkerIncarnation{"a@7", 0},
        WorkerIncarnation{"a@7", 5}, WorkerIncarnation{"a@", 0},
        WorkerIncarnation{"@", 3}}) {
    CAPTURE(incarnation.name);
    const WorkerIncarnation read =
        ParseWorkerIncarnation(WorkerIncarnationId(incarnation));
    CHECK(read.name == incarnation.name);
    CHECK(read.start_time_ms == incarnation.start_time_ms);
  }
}

TEST_CASE(
    "worker life: the id of an incarnation without start time is its name") {
  CHECK(WorkerIncarnationId({"i-7f3a", 0}) == "i-7f3a");
  CHECK(ParseWorkerIncarnation("i-7f3a").start_time_ms == 0);
}

TEST_CASE("worker life: a name is reusable if the start time is reported") {
  CHECK(HasReusableName({"i-7f3a", 1791525600123}));
  CHECK_FALSE(HasReusableName({"i-7f3a", 0}));
}

}  // namespace
}  // namespace keelbridge
