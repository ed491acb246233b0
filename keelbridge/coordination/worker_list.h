// Decides which entries of the platform's worker list name a worker to use.
//
// An entry may be written by another system and may become invalid or valid
// again. An entry that cannot be read names no worker. Neither does an entry
// whose service is not named by the configuration in force, until a
// configuration names it. A worker whose entry stops naming it is treated as if
// its entry had been removed. Every leader decides by the newest entry and the
// configuration alone, never by an earlier entry, so all leaders reach the same
// decision.
//
// WorkerList performs no I/O: entries and configurations go in, changes come
// out.
//
//   list.OnEntry(id, dialect.ParseWorkerRecord(id, document));
//   for (const auto& change : list.TakeChanges()) Apply(change);
//   for (const auto& unused : list.TakeUnused()) Log(unused);

#ifndef KEELBRIDGE_COORDINATION_WORKER_LIST_H_
#define KEELBRIDGE_COORDINATION_WORKER_LIST_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "keelbridge/base/result.h"
#include "keelbridge/protocol/site_configuration.h"
#include "keelbridge/protocol/site_worker.h"

namespace keelbridge {

class WorkerList {
 public:
  struct Change {
    std::string id;
    // nullopt: the worker is not to be used.
    std::optional<WorkerRecord> record;
  };
  // An entry that names no worker to use. Reported once until the reason
  // changes.
  struct Unused {
    std::string id;
    std::string reason;
  };
  struct Figures {
    int64_t used = 0;
    int64_t refused = 0;  // Entries that cannot be read.
    // Entries whose service no configuration names.
    int64_t unknown_service = 0;
  };

  // Records the newest entry of `id`, or the reason why it cannot be read.
  void OnEntry(const std::string& id, const Result<WorkerRecord>& entry);
  void OnEntryGone(const std::string& id);
  // Mark the start and the end of a read of the whole list. EndFullRead()
  // removes entries that the read did not contain. An entry written in the
  // meantime to a page that had already been read is found by the incremental
  // reads, which continue from the first page.
  void BeginFullRead();
  void EndFullRead();
  void SetConfiguration(const SiteConfiguration& configuration);

  // Return the changes and the unused entries since the last call, in order.
  std::vector<Change> TakeChanges();
  std::vector<Unused> TakeUnused();
  Figures figures() const { return figures_; }

 private:
  enum class EntryStatus { kUsed, kRefused, kUnknownService };
  struct Entry {
    EntryStatus status = EntryStatus::kRefused;
    std::optional<WorkerRecord> record;  // nullopt: the entry cannot be read.
    std::string reason;                  // Why the entry is not used.
    bool seen = true;  // Whether the current full read contained it.
  };

  void Classify(const std::string& id, Entry* entry);
  int64_t& CountOf(EntryStatus status);

  std::map<std::string, Entry> entries_;
  absl::flat_hash_set<std::string> services_;
  bool configured_ = false;
  std::vector<Change> changes_;
  std::vector<Unused> unused_;
  Figures figures_;
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_COORDINATION_WORKER_LIST_H_
