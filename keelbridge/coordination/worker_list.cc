#include "keelbridge/coordination/worker_list.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

// Limits the length of a reason, which may quote text of another writer.
constexpr size_t kMaxReasonLength = 300;

}  // namespace

int64_t& WorkerList::CountOf(EntryStatus status) {
  switch (status) {
    case EntryStatus::kUsed:
      return figures_.used;
    case EntryStatus::kRefused:
      return figures_.refused;
    case EntryStatus::kUnknownService:
      break;
  }
  return figures_.unknown_service;
}

void WorkerList::OnEntry(const std::string& id,
                         const Result<WorkerRecord>& entry) {
  const auto [it, inserted] = entries_.try_emplace(id);
  if (inserted) ++CountOf(it->second.status);
  it->second.seen = true;
  if (entry) {
    it->second.record = entry.value();
    Classify(id, &it->second);
    if (it->second.status == EntryStatus::kUsed)
      changes_.push_back({id, entry.value()});
    return;
  }
  it->second.record.reset();
  const std::string reason = entry.error().message.substr(0, kMaxReasonLength);
  if (reason != it->second.reason) unused_.push_back({id, reason});
  it->second.reason = reason;
  Classify(id, &it->second);
}

void WorkerList::OnEntryGone(const std::string& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    --CountOf(found->second.status);
    entries_.erase(found);
  }
  changes_.push_back({id, std::nullopt});
}

void WorkerList::BeginFullRead() {
  for (auto& [id, entry] : entries_) entry.seen = false;
}

void WorkerList::EndFullRead() {
  std::vector<std::string> gone;
  for (const auto& [id, entry] : entries_) {
    if (!entry.seen) gone.push_back(id);
  }
  for (const std::string& id : gone) OnEntryGone(id);
}

void WorkerList::SetConfiguration(const SiteConfiguration& configuration) {
  configured_ = true;
  services_.clear();
  for (const Pool& pool : configuration.pools) services_.insert(pool.name);
  for (const Queue& queue : configuration.queues) services_.insert(queue.pool);
  for (auto& [id, entry] : entries_) {
    if (!entry.record) continue;
    const EntryStatus before = entry.status;
    Classify(id, &entry);
    if (entry.status == EntryStatus::kUsed && before != EntryStatus::kUsed)
      changes_.push_back({id, entry.record});
  }
}

void WorkerList::Classify(const std::string& id, Entry* entry) {
  const EntryStatus before = entry->status;
  if (!entry->record) {
    entry->status = EntryStatus::kRefused;
  } else if (services_.count(entry->record->pool) > 0) {
    entry->status = EntryStatus::kUsed;
    entry->reason.clear();
  } else {
    entry->status = EntryStatus::kUnknownService;
    const std::string reason =
        configured_
            ? absl::StrCat("no configuration names the service ",
                           entry->record->pool.substr(0, kMaxReasonLength))
            : "";
    if (!reason.empty() && reason != entry->reason)
      unused_.push_back({id, reason});
    entry->reason = reason;
  }
  --CountOf(before);
  ++CountOf(entry->status);
  // Reported even if this leader did not use the entry, because an earlier
  // leader may have used it.
  if (entry->status != EntryStatus::kUsed)
    changes_.push_back({id, std::nullopt});
}

std::vector<WorkerList::Change> WorkerList::TakeChanges() {
  return std::exchange(changes_, {});
}

std::vector<WorkerList::Unused> WorkerList::TakeUnused() {
  return std::exchange(unused_, {});
}

}  // namespace keelbridge
