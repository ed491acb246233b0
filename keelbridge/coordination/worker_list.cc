#include "keelbridge/coordination/worker_list.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

// Of a reason: it may quote what another writer wrote.
constexpr size_t kLongestReason = 300;

}  // namespace

int64_t& WorkerList::CountOf(Use use) {
  switch (use) {
    case Use::kUsed:
      return figures_.used;
    case Use::kRefused:
      return figures_.refused;
    case Use::kUnnamed:
      break;
  }
  return figures_.unnamed;
}

void WorkerList::OnEntry(const std::string& id,
                         const Result<WorkerRecord>& entry) {
  const auto [it, fresh] = entries_.try_emplace(id);
  if (fresh) ++CountOf(it->second.use);
  it->second.shown = true;
  if (entry) {
    it->second.record = entry.value();
    Judge(id, &it->second);
    if (it->second.use == Use::kUsed) changes_.push_back({id, entry.value()});
    return;
  }
  it->second.record.reset();
  const std::string what = entry.error().message.substr(0, kLongestReason);
  if (what != it->second.what) unused_.push_back({id, what});
  it->second.what = what;
  Judge(id, &it->second);
}

void WorkerList::OnEntryGone(const std::string& id) {
  const auto found = entries_.find(id);
  if (found != entries_.end()) {
    --CountOf(found->second.use);
    entries_.erase(found);
  }
  changes_.push_back({id, std::nullopt});
}

void WorkerList::BeginListing() {
  for (auto& [id, entry] : entries_) entry.shown = false;
}

void WorkerList::EndListing() {
  std::vector<std::string> gone;
  for (const auto& [id, entry] : entries_) {
    if (!entry.shown) gone.push_back(id);
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
    const Use before = entry.use;
    Judge(id, &entry);
    if (entry.use == Use::kUsed && before != Use::kUsed)
      changes_.push_back({id, entry.record});
  }
}

void WorkerList::Judge(const std::string& id, Entry* entry) {
  const Use before = entry->use;
  if (!entry->record) {
    entry->use = Use::kRefused;
  } else if (services_.count(entry->record->pool) > 0) {
    entry->use = Use::kUsed;
    entry->what.clear();
  } else {
    entry->use = Use::kUnnamed;
    const std::string what =
        configured_
            ? absl::StrCat("no configuration names the service ",
                           entry->record->pool.substr(0, kLongestReason))
            : "";
    if (!what.empty() && what != entry->what) unused_.push_back({id, what});
    entry->what = what;
  }
  --CountOf(before);
  ++CountOf(entry->use);
  // Also of one that was not used under this leader: an earlier one may have.
  if (entry->use != Use::kUsed) changes_.push_back({id, std::nullopt});
}

std::vector<WorkerList::Change> WorkerList::TakeChanges() {
  return std::exchange(changes_, {});
}

std::vector<WorkerList::Unused> WorkerList::TakeUnused() {
  return std::exchange(unused_, {});
}

}  // namespace keelbridge
