#include "keelbridge/accounts/early_cancels.h"

#include <algorithm>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/accounts/account_access.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

constexpr char kPrefix[] = "c/";
constexpr size_t kPrefixLength = 2;

std::string EarlyCancelKey(JobId job) {
  return absl::StrCat(kPrefix, JobIdText(job));
}

// Reads who cancelled the job. Returns false if `in` cannot be read.
bool ReadCancellers(const std::string& key, const std::string& text,
                    std::vector<EarlyCanceller>* out) {
  const JsonDocument document = JsonDocument::Parse(text, key);
  if (!document.faults().empty() || !document.root().isObject()) return false;
  const Json::Value& cancellers = document.root()["cancelled_by"];
  if (!cancellers.isArray() || cancellers.empty()) return false;
  for (const Json::Value& one : cancellers) {
    const bool valid = one.isObject() && one["account"].isString() &&
                       one["anonymous"].isBool();
    if (!valid) return false;
    out->push_back({one["account"].asString(), one["anonymous"].asBool()});
  }
  return true;
}

}  // namespace

Record EarlyCancelRecord(const EarlyCancel& cancel) {
  if (cancel.cancellers.empty())
    return Record{EarlyCancelKey(cancel.job), std::nullopt};
  Json::Value value(Json::objectValue);
  for (const EarlyCanceller& one : cancel.cancellers) {
    Json::Value& out = value["cancelled_by"].append(Json::objectValue);
    out["account"] = one.account;
    out["anonymous"] = one.anonymous;
  }
  return Record{EarlyCancelKey(cancel.job), ToJsonText(value)};
}

bool IsEarlyCancelKey(const std::string& key) {
  return absl::StartsWith(key, kPrefix);
}

std::optional<EarlyCancel> ParseEarlyCancel(const Record& record) {
  EarlyCancel cancel;
  if (!record.value || !IsEarlyCancelKey(record.key) ||
      !ParseJobId(record.key.substr(kPrefixLength), &cancel.job))
    return std::nullopt;
  if (!ReadCancellers(record.key, *record.value, &cancel.cancellers))
    cancel.cancellers = {{"", /*anonymous=*/true}};
  return cancel;
}

void EarlyCancels::Load(const EarlyCancel& cancel, absl::Time now) {
  for (const EarlyCanceller& canceller : cancel.cancellers)
    Insert(cancel.job, canceller, now);
}

bool EarlyCancels::Add(JobId job, const EarlyCanceller& canceller,
                       absl::Time now) {
  const auto found = by_job_.find(job);
  if (found != by_job_.end()) {
    for (Mark& mark : found->second) {
      if (!(mark.canceller == canceller)) continue;
      mark.until = now + options_.retention;
      return true;
    }
  }
  const auto of_account = by_account_.find(canceller.account);
  const bool full = marks_ >= options_.max_marks ||
                    (of_account != by_account_.end() &&
                     of_account->second >= options_.max_marks_per_account);
  if (full) return false;
  Insert(job, canceller, now);
  unwritten_.insert(job);
  return true;
}

std::optional<absl::Duration> EarlyCancels::TimeLeft(JobId job,
                                                     const std::string& account,
                                                     absl::Time now) const {
  const auto found = by_job_.find(job);
  if (found == by_job_.end()) return std::nullopt;
  std::optional<absl::Duration> left;
  for (const Mark& mark : found->second) {
    const bool refuses =
        mark.until > now &&
        MayAccessJob(mark.canceller.account, mark.canceller.anonymous, account);
    if (refuses)
      left = std::max(left.value_or(absl::ZeroDuration()), mark.until - now);
  }
  return left;
}

void EarlyCancels::DropExpired(absl::Time now) {
  for (auto it = by_job_.begin(); it != by_job_.end();) {
    std::vector<Mark>& marks = it->second;
    const auto expired =
        std::stable_partition(marks.begin(), marks.end(),
                              [now](const Mark& m) { return m.until > now; });
    if (expired != marks.end()) unwritten_.insert(it->first);
    for (auto mark = expired; mark != marks.end(); ++mark)
      Erase(mark->canceller);
    marks.erase(expired, marks.end());
    it = marks.empty() ? by_job_.erase(it) : std::next(it);
  }
}

std::vector<Record> EarlyCancels::TakeRecords() {
  std::vector<Record> records;
  records.reserve(unwritten_.size());
  for (const JobId job : unwritten_) {
    EarlyCancel cancel;
    cancel.job = job;
    const auto found = by_job_.find(job);
    if (found != by_job_.end()) {
      for (const Mark& mark : found->second)
        cancel.cancellers.push_back(mark.canceller);
    }
    records.push_back(EarlyCancelRecord(cancel));
  }
  unwritten_.clear();
  return records;
}

void EarlyCancels::Insert(JobId job, const EarlyCanceller& canceller,
                          absl::Time now) {
  by_job_[job].push_back({canceller, now + options_.retention});
  ++by_account_[canceller.account];
  ++marks_;
}

void EarlyCancels::Erase(const EarlyCanceller& canceller) {
  const auto of_account = by_account_.find(canceller.account);
  if (--of_account->second == 0) by_account_.erase(of_account);
  --marks_;
}

}  // namespace keelbridge
