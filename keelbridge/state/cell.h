// The workers of a zone and their allocated resources, in a compact table with
// an index by free capacity.
//
// Allocation is computed from grants and never from usage reports, because the
// reports lag. The index groups workers by free accelerators and by a
// logarithmic level of free processor time, so that a search visits workers
// with enough capacity first and a decision touches few of them.
//
//   Cell cell;
//   WorkerId worker = cell.Add("w1", "rack-1", {64000, 131072, 2});
//   cell.Visit(need, SearchOrder::kBestFit, salt, [&](WorkerId id) {
//     return !TryPlace(id);
//   });

#ifndef KEELBRIDGE_STATE_CELL_H_
#define KEELBRIDGE_STATE_CELL_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "keelbridge/protocol/resources.h"

namespace keelbridge {

using WorkerId = int32_t;
constexpr WorkerId kNoWorker = -1;

// The order in which a search visits workers.
enum class SearchOrder {
  kBestFit,   // Least free capacity first: keeps large free capacity whole.
  kWorstFit,  // Most free capacity first: spreads tasks over the workers.
};

class Cell {
 public:
  // Adds a worker without allocations. `name` must be new.
  WorkerId Add(const std::string& name, const std::string& rack,
               const Resources& total);

  size_t size() const { return rows_.size(); }
  // Returns `kNoWorker` if no worker has that name.
  WorkerId Find(const std::string& name) const;
  const std::string& Name(WorkerId id) const { return rows_[id].name; }
  int Rack(WorkerId id) const { return rows_[id].rack; }
  int RackCount() const { return static_cast<int>(rack_names_.size()); }
  const std::string& RackName(int rack) const { return rack_names_[rack]; }
  const Resources& Total(WorkerId id) const { return rows_[id].total; }
  const Resources& Used(WorkerId id) const { return rows_[id].used; }
  Resources Free(WorkerId id) const { return rows_[id].total - rows_[id].used; }

  // Whether new tasks may be assigned to the worker: its state is known and
  // reconciled, and it is healthy and not leaving.
  bool Schedulable(WorkerId id) const { return rows_[id].schedulable; }
  void SetSchedulable(WorkerId id, bool schedulable);
  // Changes the total resources of a worker. Allocations stay, so free
  // resources may become negative.
  void SetTotal(WorkerId id, const Resources& total);

  // Allocates or releases resources. Adopted leases may exceed the total after
  // a worker has shrunk; new allocations never do.
  void Allocate(WorkerId id, const Resources& amount);
  void Release(WorkerId id, const Resources& amount);

  // Free processor time of all schedulable workers.
  int64_t FreeCpuMilli() const {
    return schedulable_cpu_ - schedulable_used_cpu_;
  }
  // Sums over all workers: processor time, memory, accelerators.
  const std::array<int64_t, 3>& Totals() const { return totals_; }

  // Calls `visit(WorkerId)` for each schedulable worker on which `need` may
  // fit, in roughly the given order, until it returns false. For a need without
  // accelerators, workers without accelerators come first. `salt` selects the
  // starting point within a bucket of equal workers, so that they take turns.
  template <typename Visitor>
  void Visit(const Resources& need, SearchOrder order, uint32_t salt,
             Visitor visit) const;

 private:
  static constexpr int kLevels = 48;
  // Group 0: workers without accelerators. Groups 1 to 9: workers with 0, 1,
  // ... 8 or more free accelerators.
  static constexpr int kAcceleratorGroups = 10;

  struct Row {
    std::string name;
    int rack = 0;
    Resources total;
    Resources used;
    bool schedulable = true;
    int16_t group = -1;  // Position in the index; -1 if not indexed.
    int16_t level = -1;
    int32_t position = -1;
  };
  using Bucket = std::vector<WorkerId>;

  static int FreeCpuLevel(int32_t cpu_milli);
  static int AcceleratorGroup(const Row& row);
  void Reindex(WorkerId id);
  void Unindex(WorkerId id);
  template <typename Visitor>
  bool VisitGroup(int group, int min_level, SearchOrder order, uint32_t salt,
                  Visitor& visit) const;

  std::vector<Row> rows_;
  absl::flat_hash_map<std::string, WorkerId> by_name_;
  std::vector<std::string> rack_names_;
  std::array<std::array<Bucket, kLevels>, kAcceleratorGroups> index_;
  // For each group, a bitmap of the levels that contain workers.
  std::array<uint64_t, kAcceleratorGroups> occupied_{};
  std::array<int64_t, 3> totals_{};
  int64_t schedulable_cpu_ = 0;
  int64_t schedulable_used_cpu_ = 0;
};

// Implementation of the member templates.

template <typename Visitor>
bool Cell::VisitGroup(int group, int min_level, SearchOrder order,
                      uint32_t salt, Visitor& visit) const {
  uint64_t levels = occupied_[group] >> min_level << min_level;
  while (levels != 0) {
    const int level = order == SearchOrder::kBestFit
                          ? __builtin_ctzll(levels)
                          : 63 - __builtin_clzll(levels);
    levels &= ~(uint64_t{1} << level);
    const Bucket& bucket = index_[group][level];
    const size_t start = salt % bucket.size();
    for (size_t i = 0; i < bucket.size(); ++i) {
      size_t at = start + i;
      if (at >= bucket.size()) at -= bucket.size();
      if (!visit(bucket[at])) return false;
    }
  }
  return true;
}

template <typename Visitor>
void Cell::Visit(const Resources& need, SearchOrder order, uint32_t salt,
                 Visitor visit) const {
  const int min_level = FreeCpuLevel(need.cpu_milli);
  if (need.accelerators == 0) {
    // Workers without accelerators come first, then those with the fewest free
    // ones, so that the fewest accelerators are stranded.
    for (int group = 0; group < kAcceleratorGroups; ++group) {
      if (!VisitGroup(group, min_level, order, salt, visit)) return;
    }
    return;
  }
  for (int group = 1 + std::min(need.accelerators, kAcceleratorGroups - 2);
       group < kAcceleratorGroups; ++group) {
    if (!VisitGroup(group, min_level, order, salt, visit)) return;
  }
}

}  // namespace keelbridge

#endif  // KEELBRIDGE_STATE_CELL_H_
