// The first steps of a term: fences earlier leaders, and loads the jobs and the
// list of workers at the same time. Changes of that list are read throughout
// the term.

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/logging.h"
#include "keelbridge/daemon/leader_session.h"
#include "keelbridge/state/known_workers.h"
#include "keelbridge/state/leader_append.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kReadTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kWorkerPollInterval = absl::Milliseconds(400);
// Maximum number of consecutive reads of a page of workers that does not
// advance; the list is then cut at that page. A worker on a later page is found
// by its next heartbeat, which writes its entry again.
constexpr int kMaxStuckPages = 10;
// A read of changes of the worker list that receives no byte for this long is
// abandoned, and the next one may take another path. A worker that announces
// that it leaves must get no orders 3 s later; a read that hung until its full
// timeout, because only the leader's own connection to the store was
// unresponsive, delayed such an announcement by 1.3 s.
constexpr absl::Duration kWorkerPollIdleTimeout = absl::Milliseconds(700);

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
          self->SetConfirmed(sent);
          self->stream_end_ = reply.end;
          self->load_started_ = SystemNow().mono;
          self->scheduler_.OnEarlierLeadersFenced(self->load_started_);
          self->phase_ = Phase::kLoading;
          self->LoadJobs("");
          return self->LoadWorkers("");
        }
        if (reply.result == StoreResult::kFenced)
          return self->End("fenced in the store before the term became active");
        self->RunAfterUnlessEnded(kRetryDelay, [self] { self->Fence(); });
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
          return self->RunAfterUnlessEnded(
              kRetryDelay, [self, after] { self->LoadJobs(after); });
        }
        ++self->pages_loaded_;
        self->records_loaded_ += static_cast<int64_t>(reply.records.size());
        // The next page is on its way while this one is parsed.
        if (reply.more) self->ContinueLoadingJobs(reply, after);
        for (const Record& record : reply.records) self->AddJobRecord(record);
        for (const UnreadableItem& item : reply.unreadable) {
          LogEvent(Severity::kError, "job_record_unreadable",
                   {{"epoch", absl::StrCat(self->epoch_)},
                    {"key", item.key},
                    {"what", item.reason}});
          self->AddJobRecord({item.key, "", -1});
        }
        if (reply.more) return;
        self->OnJobsLoaded(reply.end);
      });
}

void LeaderSession::AddJobRecord(const Record& record) {
  if (IsLeaderAppendKey(record.key)) {
    earlier_append_ = ParseLeaderAppend(record);
    return;
  }
  if (IsEarlyCancelKey(record.key)) {
    if (const auto cancel = ParseEarlyCancel(record))
      scheduler_.early_cancels().Load(*cancel, SystemNow().mono);
    return;
  }
  const auto worker = ParseKnownWorker(record);
  if (!worker) return records_.Add(record);
  known_workers_.push_back(*worker);
  if (!worker->unreadable) return;
  ++unreadable_workers_;
  const auto suppressed = entry_log_limiter_.Take(SystemNow().mono);
  if (!suppressed) return;
  LogEvent(Severity::kError, "known_worker_unreadable",
           {{"worker", worker->worker.id},
            {"epoch", absl::StrCat(epoch_)},
            {"lines_left_out", absl::StrCat(*suppressed)}});
}

void LeaderSession::OnJobsLoaded(int64_t stream_end) {
  JobTable jobs = records_.Build();
  const auto ended =
      std::count_if(jobs.begin(), jobs.end(),
                    [](const auto& entry) { return entry.second->Ended(); });
  const absl::Duration took = SystemNow().mono - load_started_;
  LogEvent(Severity::kInfo, "jobs_loaded",
           {{"epoch", absl::StrCat(epoch_)},
            {"jobs", absl::StrCat(jobs.size())},
            {"ended", absl::StrCat(ended)},
            {"early_cancels", absl::StrCat(scheduler_.early_cancels().size())},
            {"unreadable", absl::StrCat(records_.unreadable())},
            {"unreadable_workers", absl::StrCat(unreadable_workers_)},
            {"records", absl::StrCat(records_loaded_)},
            {"pages", absl::StrCat(pages_loaded_)},
            {"retries", absl::StrCat(load_retries_)},
            {"fence_end", absl::StrCat(stream_end_)},
            {"stream_end", absl::StrCat(stream_end)},
            {"took_ms", absl::StrCat(absl::ToInt64Milliseconds(took))}});
  metrics_.Set(
      "own_records_unreadable", {},
      static_cast<double>(records_.unreadable() + unreadable_workers_));
  unreadable_jobs_ = records_.unreadable_jobs();
  records_ = JobRecords();
  scheduler_.Load(std::move(jobs), known_workers_, SystemNow());
  if (earlier_append_) scheduler_.OnEarlierLeaderAppend(*earlier_append_);
  jobs_loaded_ = true;
  ApplyWorkerList();
  MaybeActivate();
}

void LeaderSession::ContinueLoadingJobs(const NewestReply& page,
                                        const std::string& after) {
  const std::string next = page.NextPageKey();
  if (!next.empty() && next != after) return LoadJobs(next);
  // More records follow, but this page does not advance past `after`.
  ++load_retries_;
  LogEvent(Severity::kWarning, "jobs_page_stuck",
           {{"epoch", absl::StrCat(epoch_)},
            {"after", after},
            {"retries", absl::StrCat(load_retries_)}});
  RunAfterUnlessEnded(kRetryDelay, [self = shared_from_this(), after] {
    self->LoadJobs(after);
  });
}

void LeaderSession::LoadWorkers(const std::string& after) {
  if (after.empty()) worker_list_.BeginFullRead();
  polling_workers_ = true;
  ports_.store->Newest(
      Stream::kWorkers, after, kReadTimeout,
      [self = shared_from_this(), after](const NewestReply& reply) {
        if (self->ended()) return;
        if (reply.result != StoreResult::kDone)
          return self->RunAfterUnlessEnded(
              kRetryDelay, [self, after] { self->LoadWorkers(after); });
        // Changes are read from the end of the stream as of the first page.
        if (after.empty()) self->next_worker_offset_ = reply.end;
        const bool is_cut =
            reply.more && !self->ContinueLoadingWorkers(reply, after);
        for (const Record& record : reply.records)
          self->ApplyWorkerRecord(record);
        for (const UnreadableItem& item : reply.unreadable)
          self->worker_list_.OnEntry(
              item.key, MakeError(ErrorCode::kInvalid, item.reason));
        self->ApplyWorkerList();
        if (is_cut) return self->OnWorkersLoaded();
        if (reply.more) return;
        self->worker_list_.EndFullRead();
        self->ApplyWorkerList();
        self->OnWorkersLoaded();
      });
}

bool LeaderSession::ContinueLoadingWorkers(const NewestReply& page,
                                           const std::string& after) {
  const std::string next = page.NextPageKey();
  if (!next.empty() && next != after) {
    stuck_pages_ = 0;
    LoadWorkers(next);
    return true;
  }
  // A page without records does not end the list, so it is read again.
  if (++stuck_pages_ < kMaxStuckPages) {
    RunAfterUnlessEnded(kRetryDelay, [self = shared_from_this(), after] {
      self->LoadWorkers(after);
    });
    return true;
  }
  LogEvent(Severity::kError, "workers_list_cut", {{"after", after}});
  return false;
}

void LeaderSession::OnWorkersLoaded() {
  stuck_pages_ = 0;
  polling_workers_ = false;
  next_worker_poll_ = SystemNow().mono + kWorkerPollInterval;
  workers_loaded_ = true;
  MaybeActivate();
}

void LeaderSession::MaybeActivate() {
  if (phase_ == Phase::kLoading && jobs_loaded_ && workers_loaded_) Activate();
}

void LeaderSession::ApplyWorkerRecord(const Record& record) {
  if (!record.value) {
    worker_list_.OnEntryGone(record.key);
  } else {
    worker_list_.OnEntry(record.key, ports_.dialect->ParseWorkerRecord(
                                         record.key, *record.value));
  }
  ApplyWorkerList();
}

void LeaderSession::ApplyWorkerList() {
  // The scheduler learns of the workers of earlier leaders first.
  if (!jobs_loaded_) return;
  const Now now = SystemNow();
  for (const WorkerList::Change& change : worker_list_.TakeChanges()) {
    if (change.record)
      scheduler_.OnWorkerRecord(*change.record, now);
    else
      scheduler_.OnWorkerRemoved(change.id);
  }
  for (const WorkerList::Unused& unused : worker_list_.TakeUnused()) {
    metrics_.Count("worker_entries_refused_total", {});
    const auto suppressed = entry_log_limiter_.Take(now.mono);
    if (!suppressed) continue;
    LogEvent(Severity::kWarning, "worker_entry_unused",
             {{"worker", unused.id},
              {"what", unused.reason},
              {"lines_left_out", absl::StrCat(*suppressed)}});
  }
}

void LeaderSession::PollWorkers() {
  if (polling_workers_ || SystemNow().mono < next_worker_poll_) return;
  next_worker_poll_ = SystemNow().mono + kWorkerPollInterval;
  polling_workers_ = true;
  const int64_t from = next_worker_offset_;
  ports_.store->Read(Stream::kWorkers, from, absl::ZeroDuration(),
                     ReadTimeout(kReadTimeout, kWorkerPollIdleTimeout),
                     [self = shared_from_this(), from](const ReadReply& reply) {
                       if (self->ended()) return;
                       self->polling_workers_ = false;
                       if (reply.result == StoreResult::kGone)
                         return self->LoadWorkers("");
                       if (reply.result != StoreResult::kDone) return;
                       for (const Record& record : reply.records)
                         self->ApplyWorkerRecord(record);
                       self->next_worker_offset_ =
                           from + static_cast<int64_t>(reply.records.size());
                       if (!reply.records.empty()) self->ScheduleCycle();
                     });
}

}  // namespace keelbridge
