// How a term begins: fencing earlier leaders, loading the jobs, and learning
// the workers, of which changes are read all through the term.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/leader_session.h"
#include "keelbridge/state/known_workers.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kReadTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kWorkerPollEvery = absl::Milliseconds(400);
// A read of what workers say is given up without a byte for this long, and goes
// another way: a worker that says that it leaves is to get nothing 3 s later.
// One read that hung for all of its time kept that back for 1.3 s (seen where
// the leader's own way to the store was silent).
constexpr absl::Duration kWorkerPollSilence = absl::Milliseconds(700);

}  // namespace

void LeaderSession::Fence() {
  AppendOrder order;
  order.stream = Stream::kJobs;
  order.writer = WriterEpoch{kLeaderWriter, epoch_, 0};
  const absl::Time sent = SystemNow().mono;
  ports_.store->Append(
      order, kAppendTimeout,
      [self = shared_from_this(), sent](const AppendReply& reply) {
        if (self->ended()) return;
        if (reply.result == StoreResult::kDone) {
          self->last_append_sent_ = sent;
          self->stream_end_ = reply.end;
          self->load_begun_ = SystemNow().mono;
          self->scheduler_.OnFenced(self->load_begun_);
          self->phase_ = Phase::kLoading;
          return self->LoadJobs("");
        }
        if (reply.result == StoreResult::kFenced)
          return self->End("fenced in the store at its beginning");
        self->After(kRetryDelay, [self] { self->Fence(); });
      });
}

void LeaderSession::LoadJobs(const std::string& after) {
  ports_.store->Newest(
      Stream::kJobs, after, kReadTimeout,
      [self = shared_from_this(), after](const NewestReply& reply) {
        if (self->ended()) return;
        if (reply.result != StoreResult::kDone) {
          ++self->load_retries_;
          LogEvent(Severity::kInfo, "jobs_page_not_read",
                   {{"epoch", absl::StrCat(self->epoch_)},
                    {"after", after},
                    {"result", StoreResultName(reply.result)},
                    {"detail", reply.message}});
          return self->After(kRetryDelay,
                             [self, after] { self->LoadJobs(after); });
        }
        ++self->pages_loaded_;
        self->records_loaded_ += static_cast<int64_t>(reply.records.size());
        for (const Record& record : reply.records) {
          if (auto worker = KnownWorkerFrom(record))
            self->known_workers_.push_back(*worker);
          else
            self->records_.Add(record);
        }
        if (reply.more) return self->LoadJobsAfter(reply, after);
        JobTable jobs = self->records_.Build();
        const auto ended = std::count_if(
            jobs.begin(), jobs.end(),
            [](const auto& entry) { return entry.second->Ended(); });
        const absl::Duration took = SystemNow().mono - self->load_begun_;
        LogEvent(Severity::kInfo, "jobs_loaded",
                 {{"epoch", absl::StrCat(self->epoch_)},
                  {"jobs", absl::StrCat(jobs.size())},
                  {"ended", absl::StrCat(ended)},
                  {"unreadable", absl::StrCat(self->records_.unreadable())},
                  {"records", absl::StrCat(self->records_loaded_)},
                  {"pages", absl::StrCat(self->pages_loaded_)},
                  {"retries", absl::StrCat(self->load_retries_)},
                  {"fence_end", absl::StrCat(self->stream_end_)},
                  {"stream_end", absl::StrCat(reply.end)},
                  {"took_ms", absl::StrCat(absl::ToInt64Milliseconds(took))}});
        self->unreadable_jobs_ = self->records_.unreadable_jobs();
        self->records_ = JobRecords();
        self->scheduler_.Load(std::move(jobs), self->known_workers_,
                              SystemNow());
        self->phase_ = Phase::kLearningWorkers;
        self->LearnWorkers("");
      });
}

void LeaderSession::LoadJobsAfter(const NewestReply& page,
                                  const std::string& after) {
  if (!page.records.empty()) return LoadJobs(page.records.back().key);
  // More is to follow, and this page does not say after which key.
  ++load_retries_;
  After(kRetryDelay,
        [self = shared_from_this(), after] { self->LoadJobs(after); });
}

void LeaderSession::LearnWorkers(const std::string& after) {
  if (after.empty()) listed_workers_.clear();
  polling_workers_ = true;
  ports_.store->Newest(
      Stream::kWorkers, after, kReadTimeout,
      [self = shared_from_this(), after](const NewestReply& reply) {
        if (self->ended()) return;
        if (reply.result != StoreResult::kDone)
          return self->After(kRetryDelay,
                             [self, after] { self->LearnWorkers(after); });
        for (const Record& record : reply.records)
          self->TakeWorkerRecord(record);
        // Reading goes on from where the first page was taken.
        if (after.empty()) self->workers_next_ = reply.end;
        // A page without records is no end either: it is asked for again.
        if (reply.more) {
          if (!reply.records.empty())
            return self->LearnWorkers(reply.records.back().key);
          return self->After(kRetryDelay,
                             [self, after] { self->LearnWorkers(after); });
        }
        self->polling_workers_ = false;
        self->next_worker_poll_ = SystemNow().mono + kWorkerPollEvery;
        if (self->phase_ == Phase::kLearningWorkers) self->Activate();
      });
}

void LeaderSession::TakeWorkerRecord(const Record& record) {
  const Now now = SystemNow();
  if (!record.value) {
    listed_workers_.erase(record.key);
    scheduler_.OnWorkerRemoved(record.key);
    return;
  }
  auto worker = ports_.dialect->ParseWorkerRecord(record.key, *record.value);
  if (!worker) {
    LogEvent(Severity::kWarning, "worker_record_unreadable",
             {{"worker", record.key}, {"what", worker.error().message}});
    return;
  }
  listed_workers_.insert(record.key);
  scheduler_.OnWorkerRecord(worker.value(), now);
}

void LeaderSession::PollWorkers() {
  if (polling_workers_ || SystemNow().mono < next_worker_poll_) return;
  next_worker_poll_ = SystemNow().mono + kWorkerPollEvery;
  polling_workers_ = true;
  const int64_t from = workers_next_;
  ports_.store->Read(Stream::kWorkers, from, absl::ZeroDuration(),
                     Patience(kReadTimeout, kWorkerPollSilence),
                     [self = shared_from_this(), from](const ReadReply& reply) {
                       if (self->ended()) return;
                       self->polling_workers_ = false;
                       if (reply.result == StoreResult::kGone)
                         return self->LearnWorkers("");
                       if (reply.result != StoreResult::kDone) return;
                       for (const Record& record : reply.records)
                         self->TakeWorkerRecord(record);
                       self->workers_next_ =
                           from + static_cast<int64_t>(reply.records.size());
                       if (!reply.records.empty()) self->PumpSoon();
                     });
}

}  // namespace keelbridge
