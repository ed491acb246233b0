// A fake of the platform's metadata store over HTTP: topics of keyed
// records, conditional and fenced appends, long polls and fault injection.
//
//   SiteStore store(loop, /*seed=*/1);
//   store.Handle(request, reply);  // In the handler of an HTTP server.

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

// Not thread-safe: use only on the thread of `loop`.
class SiteStore {
 public:
  struct Faults {
    bool down = false;          // Answers 503 immediately.
    bool unresponsive = false;  // Never answers.
    // Fraction of appends that are executed but not answered.
    double lost_answers = 0;
    // Long polls get no response, neither at a change nor at their deadline,
    // and not after the fault has been cleared. All other calls are answered.
    bool drop_poll_responses = false;
    // Fraction of appends that are not answered and are executed only after
    // `late_append_delay`.
    double late_appends = 0;
    absl::Duration late_append_delay = absl::Seconds(3);
    // Time from the arrival of a request until it is handled.
    absl::Duration delay = absl::Milliseconds(2);
  };

  // Larger appends are refused, as by the real store. The limit is small in
  // tests, so that batches of ordinary size come close to it.
  static constexpr size_t kMaxAppendBytes = 4096;
  void SetMaxAppendBytes(size_t bytes) { max_append_bytes_ = bytes; }

  SiteStore(boost::asio::io_context& loop, uint64_t seed)
      : loop_(loop), random_(seed) {}

  void Handle(const ServerRequest& request, EventHttpServer::Reply reply);
  // Writes a record as the operator or a worker would. An empty value deletes
  // the key.
  void Put(const std::string& topic, const std::string& key,
           const std::string& value);
  void SetFaults(Faults faults) { faults_ = faults; }
  // Drops the history of a topic, but keeps the newest record of each key.
  void DropHistory(const std::string& topic);
  void DropAllHistory();
  // From now on each page of the topic's newest records also contains items
  // that cannot be read.
  void AddUnreadableItems(const std::string& topic) {
    topics_with_unreadable_items_.insert(topic);
  }
  // Closes the connections of all waiting long polls without a response.
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
    int64_t next = -1;  // Expected sequence number; -1 accepts any.
    std::map<int64_t, std::string> responses;  // Last five, by sequence.
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

  // Executes an append, subject to the faults that delay it or drop its
  // response.
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
  std::set<std::string> topics_with_unreadable_items_;
  // Replies to calls that stay unanswered. Keeping a reply keeps its connection
  // open.
  std::vector<EventHttpServer::Reply> unanswered_;
  std::list<Waiter> waiters_;
  // Replies to long polls that stay unanswered.
  std::vector<EventHttpServer::Reply> dropped_polls_;
  bool expiry_armed_ = false;
  int64_t appends_ = 0;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_FAKES_SITE_STORE_H_
