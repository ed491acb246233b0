#include "keelbridge/protocol/worker_incarnation.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

TEST_CASE("worker life: an id gives back the name and the birth") {
  for (const WorkerLife& life :
       {WorkerLife{"i-7f3a", 1791525600123}, WorkerLife{"i-7f3a", 0},
        WorkerLife{"a@7", 0}, WorkerLife{"a@7", 5}, WorkerLife{"a@", 0},
        WorkerLife{"@", 3}}) {
    CAPTURE(life.name);
    const WorkerLife read = ParseWorkerLife(WorkerLifeId(life));
    CHECK(read.name == life.name);
    CHECK(read.born_ms == life.born_ms);
  }
}

TEST_CASE("worker life: a life whose birth is not told is its name") {
  CHECK(WorkerLifeId({"i-7f3a", 0}) == "i-7f3a");
  CHECK(ParseWorkerLife("i-7f3a").born_ms == 0);
}

}  // namespace
}  // namespace keelbridge
