// Remembers cancels of jobs that had not arrived.
//
// A call that hands in a job may arrive long after its client has cancelled the
// job: it lay at a node that stood still, was held up by the network, or was
// forwarded again. The cancel then finds no such job. It is remembered, and a
// job with that id is refused for as long as ended jobs are remembered. The
// marks are durable before the cancel is answered, so that later leaders refuse
// the job too.
//
// A mark refuses only jobs that its caller could have cancelled. Marks are
// bounded in number and per account, because any caller can send cancels of
// made-up ids. They are never replaced before their time: a cancel that finds
// no room is refused instead of forgotten.
//
// The class is pure. Changes are taken as records, to be written with others.
//
//   EarlyCancels cancels(EarlyCancels::Options{});
//   if (!cancels.Add(id, {"account-a", false}, now)) Refuse();
//   batch.records = cancels.TakeRecords();
//   // Once the batch is durable, the cancel may be answered. Then:
//   if (cancels.TimeLeft(id, "account-a", now)) RefuseToTake(id);

#ifndef KEELBRIDGE_ACCOUNTS_EARLY_CANCELS_H_
#define KEELBRIDGE_ACCOUNTS_EARLY_CANCELS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "keelbridge/protocol/job.h"
#include "keelbridge/protocol/record_store.h"

namespace keelbridge {

// Who cancelled a job that had not arrived.
struct EarlyCanceller {
  std::string account;     // Client account; empty if there is none.
  bool anonymous = false;  // The call came through a queue open to anyone.

  friend bool operator==(const EarlyCanceller& a, const EarlyCanceller& b) {
    return a.account == b.account && a.anonymous == b.anonymous;
  }
};

// What one record holds: all cancels of one id.
struct EarlyCancel {
  JobId job = 0;
  std::vector<EarlyCanceller> cancellers;
};

Record EarlyCancelRecord(const EarlyCancel& cancel);
bool IsEarlyCancelKey(const std::string& key);
// Returns nullopt if `record` drops a mark, or if its key holds no id. Of a
// value that cannot be read only the id counts: anyone may have cancelled it.
std::optional<EarlyCancel> ParseEarlyCancel(const Record& record);

class EarlyCancels {
 public:
  struct Options {
    // How long a mark refuses jobs, at least.
    absl::Duration retention = absl::Seconds(130);
    size_t max_marks = 20000;
    // Marks of one account, so that one caller cannot use up the room of all.
    size_t max_marks_per_account = 5000;
  };

  explicit EarlyCancels(Options options) : options_(options) {}

  // Loads a mark of an earlier leader. Its time begins again, since it was
  // taken on another machine.
  void Load(const EarlyCancel& cancel, absl::Time now);
  // Adds a mark, or renews the one that there is. Returns false if there is no
  // room; the cancel must then be refused.
  bool Add(JobId job, const EarlyCanceller& canceller, absl::Time now);
  // Returns for how much longer a job that `account` hands in under this id is
  // refused, or nullopt if it is not.
  std::optional<absl::Duration> TimeLeft(JobId job, const std::string& account,
                                         absl::Time now) const;
  // Drops the marks whose time is over.
  void DropExpired(absl::Time now);
  // Returns the changes since the last call, as records to write.
  std::vector<Record> TakeRecords();

  size_t size() const { return marks_; }

 private:
  struct Mark {
    EarlyCanceller canceller;
    absl::Time until;
  };

  void Insert(JobId job, const EarlyCanceller& canceller, absl::Time now);
  void Erase(const EarlyCanceller& canceller);

  const Options options_;
  std::map<JobId, std::vector<Mark>> by_job_;
  absl::flat_hash_map<std::string, size_t> by_account_;  // Number of marks.
  size_t marks_ = 0;
  std::set<JobId> unwritten_;  // Ids whose record has changed.
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_ACCOUNTS_EARLY_CANCELS_H_
