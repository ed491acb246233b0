#include "testing/fakes/site_store.h"

#include <json/json.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/endian/conversion.hpp>
#include <memory>
#include <utility>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "keelbridge/base/clock.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge::testing {
namespace {

constexpr size_t kCachedResponses = 5;
constexpr size_t kPageItems = 500;
constexpr absl::Duration kExpiryInterval = absl::Milliseconds(50);

int64_t QueryNumber(const ServerRequest& request, const std::string& key,
                    int64_t fallback) {
  int64_t value = 0;
  return absl::SimpleAtoi(request.Query(key), &value) ? value : fallback;
}

ServerResponse JsonResponse(int status, const Json::Value& body) {
  return {status, {}, ToJsonText(body), "application/json"};
}

void AppendBig64(std::string* out, int64_t value) {
  unsigned char bytes[8];
  boost::endian::store_big_u64(bytes, static_cast<uint64_t>(value));
  out->append(reinterpret_cast<const char*>(bytes), sizeof(bytes));
}

void AppendBig32(std::string* out, uint32_t value) {
  unsigned char bytes[4];
  boost::endian::store_big_u32(bytes, value);
  out->append(reinterpret_cast<const char*>(bytes), sizeof(bytes));
}

struct KeyValue {
  std::string key;
  std::string value;
};

// Returns false if `body` is not a sequence of keyed records.
bool Decode(const std::string& body, std::vector<KeyValue>* out) {
  size_t at = 0;
  while (at < body.size()) {
    if (body.size() - at < 4) return false;
    const size_t length = boost::endian::load_big_u32(
        reinterpret_cast<const unsigned char*>(body.data() + at));
    at += 4;
    if (length < 1 || body.size() - at < length) return false;
    const size_t key_length = static_cast<unsigned char>(body[at]);
    if (1 + key_length > length) return false;
    out->push_back({body.substr(at + 1, key_length),
                    body.substr(at + 1 + key_length, length - 1 - key_length)});
    at += length;
  }
  return true;
}

// Returns page items that are not records: a key, value or offset of the wrong
// type, a value that is not Base64, and items that are not objects.
std::vector<Json::Value> UnreadableItems() {
  std::vector<Json::Value> items;
  const auto add = [&items](const Json::Value& key, const Json::Value& value,
                            const Json::Value& offset) {
    Json::Value item(Json::objectValue);
    item["privateKey"] = key;
    item["value"] = value;
    item["offset"] = offset;
    items.push_back(item);
  };
  add("spoilt-1", "no base64!", 1);
  add("spoilt-2", 7, 1);
  add("spoilt-3", Json::Value(Json::objectValue), 1);
  add("spoilt-4", "e30=", "x");
  add(7, "e30=", 1);
  add(Json::Value(Json::arrayValue), "e30=", 1);
  items.emplace_back(Json::nullValue);
  items.emplace_back("text");
  return items;
}

// Returns `text` with each %XX escape replaced by its byte.
std::string PercentDecode(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool escaped = text[i] == '%' && i + 2 < text.size();
    if (escaped)
      out += absl::HexStringToBytes(text.substr(i + 1, 2));
    else
      out += text[i];
    if (escaped) i += 2;
  }
  return out;
}

}  // namespace

void SiteStore::Handle(const ServerRequest& request,
                       EventHttpServer::Reply reply) {
  if (faults_.unresponsive) {
    unanswered_.push_back(std::move(reply));
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, absl::ToChronoNanoseconds(faults_.delay));
  timer->async_wait([this, timer, request, reply = std::move(reply)](
                        boost::system::error_code error) {
    if (error) return;
    if (faults_.unresponsive) {
      unanswered_.push_back(reply);
      return;
    }
    if (faults_.down)
      return reply(JsonResponse(503, Json::Value(Json::objectValue)));
    if (request.path == "/log-read") return Read(request, reply);
    if (request.path == "/log-newest") return reply(Newest(request));
    if (request.path != "/log-append")
      return reply(JsonResponse(404, Json::Value(Json::objectValue)));
    HandleAppend(request, reply);
  });
}

bool SiteStore::RandomBool(double share) {
  return std::uniform_real_distribution<>(0, 1)(random_) < share;
}

void SiteStore::HandleAppend(const ServerRequest& request,
                             const EventHttpServer::Reply& reply) {
  if (faults_.late_appends > 0 && RandomBool(faults_.late_appends)) {
    unanswered_.push_back(reply);
    return AppendLater(request);
  }
  const ServerResponse answer = Append(request);
  if (RandomBool(faults_.lost_answers))
    unanswered_.push_back(reply);
  else
    reply(answer);
}

void SiteStore::AppendLater(const ServerRequest& request) {
  auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, absl::ToChronoNanoseconds(faults_.late_append_delay));
  timer->async_wait([this, timer, request](boost::system::error_code error) {
    if (!error) Append(request);
  });
}

ServerResponse SiteStore::Append(const ServerRequest& request) {
  ++appends_;
  if (request.body.size() > max_append_bytes_)
    return {400, {}, "{\"reason\":\"too large\"}", "application/json"};
  const std::string name = request.Query("topic");
  Topic& topic = topics_[name];
  Json::Value body(Json::objectValue);
  std::vector<KeyValue> records;
  if (!Decode(request.body, &records)) return JsonResponse(400, body);
  const int64_t at = QueryNumber(request, "at", -1);
  if (at >= 0 && at != topic.end) {
    body["end"] = Json::Int64(topic.end);
    return JsonResponse(412, body);
  }
  const std::string producer = request.Query("producer");
  const int64_t sequence = QueryNumber(request, "callSequence", -1);
  if (!producer.empty()) {
    Writer& writer = topic.writers[producer];
    const int64_t epoch = QueryNumber(request, "epoch", 0);
    if (epoch < writer.epoch) {
      body["reason"] = "fenced";
      return JsonResponse(409, body);
    }
    if (epoch > writer.epoch) writer = Writer{epoch, -1, {}};
    const auto known = writer.responses.find(sequence);
    if (!records.empty() && known != writer.responses.end())
      return {200, {}, known->second, "application/json"};
    if (!records.empty() && writer.next >= 0 && sequence != writer.next) {
      body["reason"] = "seq";
      body["callSequence"] = Json::Int64(writer.next);
      return JsonResponse(409, body);
    }
  }
  body["offset"] = Json::Int64(topic.end);
  for (const KeyValue& record : records)
    AppendRecord(name, record.key, record.value);
  body["end"] = Json::Int64(topic.end);
  if (!producer.empty() && !records.empty()) {
    Writer& writer = topic.writers[producer];
    writer.next = sequence + 1;
    writer.responses[sequence] = ToJsonText(body);
    if (writer.responses.size() > kCachedResponses)
      writer.responses.erase(writer.responses.begin());
  }
  AnswerWaiters(name);
  return JsonResponse(200, body);
}

void SiteStore::AppendRecord(const std::string& name, const std::string& key,
                             const std::string& value) {
  Topic& topic = topics_[name];
  const Entry entry{topic.end++, key, value};
  topic.log.push_back(entry);
  if (value.empty())
    topic.newest.erase(key);
  else
    topic.newest[key] = entry;
}

void SiteStore::Put(const std::string& topic, const std::string& key,
                    const std::string& value) {
  AppendRecord(topic, key, value);
  AnswerWaiters(topic);
}

void SiteStore::DropHistory(const std::string& name) {
  Topic& topic = topics_[name];
  topic.log.clear();
  topic.first = topic.end;
}

void SiteStore::DropAllHistory() {
  for (const auto& [name, topic] : topics_) DropHistory(name);
}

void SiteStore::CloseLongPolls() {
  // Destroying a pending reply closes its connection.
  waiters_.clear();
  dropped_polls_.clear();
}

ServerResponse SiteStore::ReadNow(Topic& topic, int64_t from) const {
  std::string body;
  AppendBig64(&body, topic.end);
  AppendBig64(&body, topic.first);
  for (const Entry& entry : topic.log) {
    if (entry.offset < from) continue;
    AppendBig32(&body, static_cast<uint32_t>(1 + entry.key.size() +
                                             entry.value.size()));
    body.push_back(static_cast<char>(entry.key.size()));
    body += entry.key + entry.value;
  }
  return {200, {}, body, "application/octet-stream"};
}

void SiteStore::Read(const ServerRequest& request,
                     EventHttpServer::Reply reply) {
  const std::string name = request.Query("topic");
  Topic& topic = topics_[name];
  const int64_t from = QueryNumber(request, "from", 0);
  if (from < topic.first) {
    Json::Value body(Json::objectValue);
    body["first"] = Json::Int64(topic.first);
    return reply(JsonResponse(410, body));
  }
  const int64_t wait_ms = QueryNumber(request, "waitMs", 0);
  if (wait_ms > 0 && faults_.drop_poll_responses) {
    dropped_polls_.push_back(std::move(reply));
    return;
  }
  if (from < topic.end || wait_ms <= 0) return reply(ReadNow(topic, from));
  waiters_.push_back({name, from,
                      SystemNow().mono + absl::Milliseconds(wait_ms),
                      std::move(reply)});
  ScheduleExpiry();
}

ServerResponse SiteStore::Newest(const ServerRequest& request) {
  const Topic& topic = topics_[request.Query("topic")];
  const std::string after = PercentDecode(request.Query("dependsOn"));
  Json::Value body(Json::objectValue);
  body["items"] = Json::Value(Json::arrayValue);
  if (topics_with_unreadable_items_.count(request.Query("topic")) > 0) {
    for (const Json::Value& item : UnreadableItems())
      body["items"].append(item);
  }
  body["more"] = false;
  body["end"] = Json::Int64(topic.end);
  for (auto it = topic.newest.upper_bound(after); it != topic.newest.end();
       ++it) {
    if (body["items"].size() >= kPageItems) {
      body["more"] = true;
      break;
    }
    Json::Value item(Json::objectValue);
    item["privateKey"] = it->first;
    item["value"] = absl::Base64Escape(it->second.value);
    item["offset"] = Json::Int64(it->second.offset);
    body["items"].append(item);
  }
  return JsonResponse(200, body);
}

void SiteStore::AnswerPoll(Waiter waiter) {
  if (faults_.drop_poll_responses)
    dropped_polls_.push_back(std::move(waiter.reply));
  else
    waiter.reply(ReadNow(topics_[waiter.topic], waiter.from));
}

void SiteStore::AnswerWaiters(const std::string& name) {
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    Topic& topic = topics_[it->topic];
    if (it->topic != name || it->from >= topic.end) {
      ++it;
      continue;
    }
    AnswerPoll(std::exchange(*it, Waiter()));
    it = waiters_.erase(it);
  }
}

void SiteStore::ScheduleExpiry() {
  if (expiry_armed_) return;
  expiry_armed_ = true;
  auto timer = std::make_shared<boost::asio::steady_timer>(
      loop_, absl::ToChronoNanoseconds(kExpiryInterval));
  timer->async_wait([this, timer](boost::system::error_code error) {
    expiry_armed_ = false;
    if (error) return;
    const absl::Time now = SystemNow().mono;
    for (auto it = waiters_.begin(); it != waiters_.end();) {
      if (it->deadline > now) {
        ++it;
        continue;
      }
      AnswerPoll(std::exchange(*it, Waiter()));
      it = waiters_.erase(it);
    }
    if (!waiters_.empty()) ScheduleExpiry();
  });
}

}  // namespace keelbridge::testing
