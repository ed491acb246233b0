// A stand-in for the users' metadata store: topics of records over HTTP, keyed
// topics, conditional and fenced appends, long polls, and faults.
//
//   SiteStore store(loop);
//   server handler: store.Handle(request, reply);

#ifndef KEELBRIDGE_TESTING_FAKES_SITE_STORE_H_
#define KEELBRIDGE_TESTING_FAKES_SITE_STORE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/transport/event_http_server.h"

namespace keelbridge::testing {

// All on the loop's thread.
class SiteStore {
 public:
  struct Faults {
    bool down = false;          // 503 at once.
    bool unresponsive = false;  // Never answers.
    double lost_answers = 0;    // Of appends: done, not answered.
    // Long polls get no answer, at a change or at their end, and not when the
    // fault is over either. All other calls are answered.
    bool drop_poll_responses = false;
    double late_appends =
        0;  // Not answered, and done after `late_append_delay`.
    absl::Duration late_append_delay = absl::Seconds(3);
    absl::Duration delay = absl::Milliseconds(2);
  };

  // A larger append is refused, as real stores refuse it; small in tests, so
  // that batches of an everyday size come near it.
  static constexpr size_t kMaxAppendBytes = 4096;
  void SetMaxAppendBytes(size_t bytes) { max_append_bytes_ = bytes; }

  SiteStore(boost::asio::io_context& loop, uint64_t seed)
      : loop_(loop), random_(seed) {}

  void Handle(const ServerRequest& request, EventHttpServer::Reply reply);
  // Writes a record as the operator or a worker would; no value drops the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);
  void SetFaults(Faults faults) { faults_ = faults; }
  // Drops the history of a topic; the newest record of each key stays.
  void DropHistory(const std::string& topic);
  void DropAllHistory();
  // From now on each page of the topic's newest records has items between its
  // own that cannot be read.
  void AddUnreadableItems(const std::string& topic) {
    topics_with_unreadable_items_.insert(topic);
  }
  // Ends the connections of all long polls that wait, unanswered.
  void CloseLongPolls();
  int64_t appends() const { return appends_; }

 private:
  struct Entry {
    int64_t offset = 0;
    std::string key;
    std::string value;
  };
  struct Writer {
    int64_t epoch = -1;
    int64_t next = -1;                         // The sequence wanted; -1: any.
    std::map<int64_t, std::string> responses;  // Of the last five.
  };
  struct Topic {
    int64_t first = 0;
    int64_t end = 0;
    std::deque<Entry> log;
    std::map<std::string, Entry> newest;
    std::map<std::string, Writer> writers;
  };
  struct Waiter {
    std::string topic;
    int64_t from = 0;
    absl::Time deadline;
    EventHttpServer::Reply reply;
  };

  // Does what was asked, unless faults of appends prevent or delay it.
  void HandleAppend(const ServerRequest& request,
                    const EventHttpServer::Reply& reply);
  bool RandomBool(double share);
  void AppendLater(const ServerRequest& request);
  ServerResponse Append(const ServerRequest& request);
  void Read(const ServerRequest& request, EventHttpServer::Reply reply);
  ServerResponse ReadNow(Topic& topic, int64_t from) const;
  ServerResponse Newest(const ServerRequest& request);
  void AppendRecord(const std::string& name, const std::string& key,
                    const std::string& value);
  void AnswerWaiters(const std::string& topic);
  void AnswerPoll(Waiter waiter);
  void ScheduleExpiry();

  boost::asio::io_context& loop_;
  std::mt19937_64 random_;
  size_t max_append_bytes_ = kMaxAppendBytes;
  Faults faults_;
  std::map<std::string, Topic> topics_;
  std::set<std::string>
      topics_with_unreadable_items_;  // Topics whose pages are.
  // Calls that get no answer: their connections stay open and say nothing.
  std::vector<EventHttpServer::Reply> unanswered_;
  std::list<Waiter> waiters_;
  // Long polls that get no answer.
  std::vector<EventHttpServer::Reply> dropped_polls_;
  bool expiry_armed_ = false;
  int64_t appends_ = 0;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_SITE_STORE_H_
