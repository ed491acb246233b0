#include "keelbridge/coordination/pool_totals.h"

#include <algorithm>
#include <utility>

namespace keelbridge {

void PoolTotals::Count(Amounts* amounts, int32_t amount, int32_t change) {
  const auto entry = amounts->try_emplace(amount, 0).first;
  entry->second += change;
  if (entry->second == 0) amounts->erase(entry);
}

void PoolTotals::Add(const Entry& entry, int32_t sign) {
  const auto pool = pools_.try_emplace(entry.pool).first;
  pool->second.workers += sign;
  pool->second.capacity_milli += sign * int64_t{entry.capacity.cpu_milli};
  pool->second.free_milli += sign * int64_t{std::max(0, entry.free.cpu_milli)};
  if (pool->second.workers == 0) pools_.erase(pool);
  Count(&cpu_milli_, entry.free.cpu_milli, sign);
  Count(&memory_mib_, entry.free.memory_mib, sign);
  Count(&accelerators_, entry.free.accelerators, sign);
}

void PoolTotals::Set(Counted* counted, Entry entry) {
  // Added first, so that the pool's entry is not erased in between.
  Add(entry, 1);
  if (counted->counted) Add(counted->entry, -1);
  counted->entry = std::move(entry);
  counted->counted = true;
}

void PoolTotals::Remove(Counted* counted) {
  if (!counted->counted) return;
  Add(counted->entry, -1);
  counted->counted = false;
}

Resources PoolTotals::MaxFree() const {
  const auto most = [](const Amounts& amounts) {
    return amounts.empty() ? 0 : std::max(0, amounts.rbegin()->first);
  };
  return {most(cpu_milli_), most(memory_mib_), most(accelerators_)};
}

}  // namespace keelbridge
