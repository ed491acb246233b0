#include "keelbridge/state/cell.h"

#include <algorithm>
#include <cmath>

namespace keelbridge {
namespace {

// The scale of the levels of free processor time, in thousandths of a
// processor. Levels are about linear below it and logarithmic above it.
constexpr double kFinestLevel = 250;
constexpr double kLevelsPerDoubling = 4;

}  // namespace

WorkerId Cell::Add(const std::string& name, const std::string& rack,
                   const Resources& total) {
  const auto id = static_cast<WorkerId>(rows_.size());
  auto it = std::find(rack_names_.begin(), rack_names_.end(), rack);
  if (it == rack_names_.end()) it = rack_names_.insert(rack_names_.end(), rack);
  Row row;
  row.name = name;
  row.rack = static_cast<int>(it - rack_names_.begin());
  rows_.push_back(std::move(row));
  by_name_[name] = id;
  SetTotal(id, total);
  return id;
}

WorkerId Cell::Find(const std::string& name) const {
  const auto it = by_name_.find(name);
  return it == by_name_.end() ? kNoWorker : it->second;
}

void Cell::SetTotal(WorkerId id, const Resources& total) {
  Row& row = rows_[id];
  totals_[0] += total.cpu_milli - row.total.cpu_milli;
  totals_[1] += total.memory_mib - row.total.memory_mib;
  totals_[2] += total.accelerators - row.total.accelerators;
  if (row.schedulable)
    schedulable_cpu_ += total.cpu_milli - row.total.cpu_milli;
  row.total = total;
  Reindex(id);
}

void Cell::SetSchedulable(WorkerId id, bool schedulable) {
  Row& row = rows_[id];
  if (row.schedulable == schedulable) return;
  const int64_t sign = schedulable ? 1 : -1;
  schedulable_cpu_ += sign * row.total.cpu_milli;
  schedulable_used_cpu_ += sign * row.used.cpu_milli;
  row.schedulable = schedulable;
  Reindex(id);
}

void Cell::Allocate(WorkerId id, const Resources& amount) {
  rows_[id].used += amount;
  if (rows_[id].schedulable) schedulable_used_cpu_ += amount.cpu_milli;
  Reindex(id);
}

void Cell::Release(WorkerId id, const Resources& amount) {
  rows_[id].used -= amount;
  if (rows_[id].schedulable) schedulable_used_cpu_ -= amount.cpu_milli;
  Reindex(id);
}

int Cell::FreeCpuLevel(int32_t cpu_milli) {
  if (cpu_milli <= 0) return 0;
  const int level = static_cast<int>(kLevelsPerDoubling *
                                     std::log2(cpu_milli / kFinestLevel + 1));
  return std::min(level, kLevels - 1);
}

int Cell::AcceleratorGroup(const Row& row) {
  if (row.total.accelerators == 0) return 0;
  const int free = std::max(0, row.total.accelerators - row.used.accelerators);
  return 1 + std::min(free, kAcceleratorGroups - 2);
}

void Cell::Unindex(WorkerId id) {
  Row& row = rows_[id];
  if (row.group < 0) return;
  Bucket& bucket = index_[row.group][row.level];
  bucket[row.position] = bucket.back();
  rows_[bucket[row.position]].position = row.position;
  bucket.pop_back();
  if (bucket.empty()) occupied_[row.group] &= ~(uint64_t{1} << row.level);
  row.group = row.level = -1;
  row.position = -1;
}

void Cell::Reindex(WorkerId id) {
  Row& row = rows_[id];
  const int group = AcceleratorGroup(row);
  const int level = FreeCpuLevel(row.total.cpu_milli - row.used.cpu_milli);
  if (row.schedulable && group == row.group && level == row.level) return;
  Unindex(id);
  if (!row.schedulable) return;
  Bucket& bucket = index_[group][level];
  row.group = static_cast<int16_t>(group);
  row.level = static_cast<int16_t>(level);
  row.position = static_cast<int32_t>(bucket.size());
  bucket.push_back(id);
  occupied_[group] |= uint64_t{1} << level;
}

}  // namespace keelbridge
