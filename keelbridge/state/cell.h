// The workers of a zone and what of them is given out: compact, and indexed by
// free room.
//
// Capacity is accounted for from grants, never from usage reports, which lag.
// The index groups workers by free accelerators and by a logarithmic level of
// free processor time, so that a search meets workers that fit first and a
// decision touches few of them.
//
//   Cell cell;
//   WorkerId w = cell.Add("w1", "rack-1", {64000, 131072, 2});
//   cell.Visit(need, SearchOrder::kBestFit, salt, [&](WorkerId id) { ...;
//   return keep_going; });

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

// Which workers a search meets first.
enum class SearchOrder {
  kBestFit,   // Least room that may fit: keeps large rooms whole.
  kWorstFit,  // Most room: keeps work apart.
};

class Cell {
 public:
  // Adds a worker with nothing given out. `name` must be new.
  WorkerId Add(const std::string& name, const std::string& rack,
               const Resources& total);

  size_t size() const { return rows_.size(); }
  // `kNoWorker` when there is none of that name.
  WorkerId Find(const std::string& name) const;
  const std::string& Name(WorkerId id) const { return rows_[id].name; }
  int Rack(WorkerId id) const { return rows_[id].rack; }
  int RackCount() const { return static_cast<int>(rack_names_.size()); }
  const std::string& RackName(int rack) const { return rack_names_[rack]; }
  const Resources& Total(WorkerId id) const { return rows_[id].total; }
  const Resources& Used(WorkerId id) const { return rows_[id].used; }
  Resources Free(WorkerId id) const { return rows_[id].total - rows_[id].used; }

  // Whether new work may go there: known, sealed, healthy and not leaving.
  bool Schedulable(WorkerId id) const { return rows_[id].schedulable; }
  void SetSchedulable(WorkerId id, bool schedulable);
  // Changes what a worker has; what is given out stays given out, so free room
  // may become negative.
  void SetTotal(WorkerId id, const Resources& total);

  // Gives out, or takes back. Adopted leases may exceed the total after it
  // shrank; new work never does.
  void Allocate(WorkerId id, const Resources& amount);
  void Release(WorkerId id, const Resources& amount);

  // Sums over schedulable workers.
  int64_t FreeCpuMilli() const {
    return schedulable_cpu_ - schedulable_used_cpu_;
  }
  const std::array<int64_t, 3>& Totals() const {
    return totals_;
  }  // Of all workers: cpu, memory, accelerators.

  // Calls `visit(WorkerId)` for each schedulable worker on which `need` may
  // fit, in roughly `order`, until it returns false. Workers without
  // accelerators come first for work that needs none. `salt` turns the starting
  // point inside a group, so that equals are met in turn.
  template <typename Visitor>
  void Visit(const Resources& need, SearchOrder order, uint32_t salt,
             Visitor visit) const;

 private:
  static constexpr int kLevels = 48;
  static constexpr int kAcceleratorGroups =
      10;  // No accelerators at all; 0 free, 1 free, ... 8 or more free.

  struct Row {
    std::string name;
    int rack = 0;
    Resources total;
    Resources used;
    bool schedulable = true;
    int16_t group = -1;  // Where the index has it; -1: nowhere.
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
  std::array<uint64_t, kAcceleratorGroups>
      occupied_{};  // A bit for each level that holds a worker.
  std::array<int64_t, 3> totals_{};
  int64_t schedulable_cpu_ = 0;
  int64_t schedulable_used_cpu_ = 0;
};

// Implementation details of the template only.

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
    // Group 0 has no accelerators at all. Then those with the fewest free ones:
    // the least is stranded there.
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
