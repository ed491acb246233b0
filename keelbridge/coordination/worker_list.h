// Which entries of the platform's list of workers name one to use.
//
// An entry may come from another writer, and may change from good to bad and
// back. One that cannot be read names no worker, nor does one of a service that
// the configuration in force does not name, until a configuration names it. A
// worker whose entry names it no more counts as one whose entry is gone. All
// leaders judge by the same two things, the newest entry and the configuration,
// never by an earlier entry.
//
// Pure: entries and configurations in, changes out.
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
    std::optional<WorkerRecord> record;  // None: not to be used any more.
  };
  // An entry that names no worker to use, told once until the reason changes.
  struct Unused {
    std::string id;
    std::string what;
  };
  struct Figures {
    int64_t used = 0;
    int64_t refused = 0;          // Entries that cannot be read.
    int64_t unknown_service = 0;  // Of services that no configuration names.
  };

  // The newest entry of `id`, or why it cannot be read.
  void OnEntry(const std::string& id, const Result<WorkerRecord>& entry);
  void OnEntryGone(const std::string& id);
  // The whole list is read from its beginning, and has been read to its end:
  // entries that it did not show are gone. One that was written meanwhile, on a
  // page read before, is heard of by the reading that goes on from the first
  // page.
  void BeginFullRead();
  void EndFullRead();
  void SetConfiguration(const SiteConfiguration& configuration);

  // In their order, since the last call.
  std::vector<Change> TakeChanges();
  std::vector<Unused> TakeUnused();
  Figures figures() const { return figures_; }

 private:
  enum class EntryStatus { kUsed, kRefused, kUnknownService };
  struct Entry {
    EntryStatus status = EntryStatus::kRefused;
    std::optional<WorkerRecord> record;  // None: it cannot be read.
    std::string what;                    // Why it is not used.
    bool seen = true;                    // Since the listing began.
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
