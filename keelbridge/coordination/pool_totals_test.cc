#include "keelbridge/coordination/pool_totals.h"

#include <array>
#include <random>

#include "doctest/doctest.h"

namespace keelbridge {
namespace {

TEST_CASE("pool totals: drawn changes give the totals of a full count") {
  constexpr size_t kWorkers = 30;
  std::mt19937 random(3);
  const auto draw = [&](int32_t most) {
    return static_cast<int32_t>(random() % static_cast<uint32_t>(most + 1));
  };
  PoolTotals totals;
  std::array<PoolTotals::Counted, kWorkers> workers;
  for (int step = 0; step < 3000; ++step) {
    PoolTotals::Counted& changed = workers[random() % kWorkers];
    if (random() % 10 == 0) {
      totals.Remove(&changed);
    } else {
      const Resources capacity{1000 + draw(5000), 100, 4};
      // A worker may be overcommitted.
      const Resources free{capacity.cpu_milli - draw(8000), draw(100), draw(4)};
      totals.Set(&changed, {draw(1) == 0 ? "a" : "b", capacity, free});
    }
    std::map<std::string, PoolTotals::Pool> pools;
    Resources most;
    for (const PoolTotals::Counted& worker : workers) {
      if (!worker.counted) continue;
      const PoolTotals::Entry& entry = worker.entry;
      PoolTotals::Pool& pool = pools[entry.pool];
      ++pool.workers;
      pool.capacity_milli += entry.capacity.cpu_milli;
      pool.free_milli += std::max(0, entry.free.cpu_milli);
      most.cpu_milli = std::max(most.cpu_milli, entry.free.cpu_milli);
      most.memory_mib = std::max(most.memory_mib, entry.free.memory_mib);
      most.accelerators = std::max(most.accelerators, entry.free.accelerators);
    }
    REQUIRE(totals.pools().size() == pools.size());
    for (const auto& [name, pool] : pools) {
      REQUIRE(totals.pools().at(name).workers == pool.workers);
      REQUIRE(totals.pools().at(name).capacity_milli == pool.capacity_milli);
      REQUIRE(totals.pools().at(name).free_milli == pool.free_milli);
    }
    REQUIRE(totals.MaxFree() == most);
  }
}

}  // namespace
}  // namespace keelbridge
