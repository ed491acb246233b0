#include "keelbridge/daemon/order_messages.h"

#include <utility>

namespace keelbridge {
namespace {

// Order kinds on the wire.
enum OrderKind { kStart = 0, kStop = 1, kObserve = 2 };
constexpr Json::ArrayIndex kStartFields = 12;
constexpr Json::ArrayIndex kStopFields = 8;
constexpr Json::ArrayIndex kObserveFields = 9;
constexpr Json::ArrayIndex kOrderReplyFields = 4;
constexpr Json::ArrayIndex kObserveReplyFields = 7;
// An optional last field: the worker's incarnation, if another one replied.
constexpr Json::ArrayIndex kIncarnationFields = 1;

template <typename... Fields>
Json::Value Row(Fields&&... fields) {
  Json::Value row(Json::arrayValue);
  (row.append(Json::Value(std::forward<Fields>(fields))), ...);
  return row;
}

Json::Int64 Number(int64_t value) { return value; }

Json::Int64 Millis(absl::Duration time) {
  return absl::ToInt64Milliseconds(time);
}

Json::Value OrderRow(const RelayedOrder& order, const StartOrder& start) {
  return Row(Number(order.number), static_cast<int>(kStart), order.worker.id,
             order.worker.address, TaskIdText(start.task), start.run,
             start.payload, start.checkpoint, start.ticket,
             Number(start.lease_until_ms), Number(start.fence),
             Millis(start.timeout));
}

Json::Value OrderRow(const RelayedOrder& order, const StopOrder& stop) {
  return Row(Number(order.number), static_cast<int>(kStop), order.worker.id,
             order.worker.address, TaskIdText(stop.task), stop.run,
             Number(stop.fence), Millis(stop.timeout));
}

Json::Value OrderRow(const RelayedOrder& order, const ObserveOrder& observe) {
  return Row(Number(order.number), static_cast<int>(kObserve), order.worker.id,
             order.worker.address, Number(observe.fence),
             Number(observe.ends_acknowledged), Number(observe.lease_until_ms),
             Number(observe.wait_ms), Millis(observe.timeout));
}

std::optional<StartOrder> StartFromRow(const Json::Value& row) {
  StartOrder start;
  if (row.size() != kStartFields ||
      !ParseTaskId(row[4].asString(), &start.task))
    return std::nullopt;
  start.run = row[5].asInt();
  start.payload = row[6].asString();
  start.checkpoint = row[7].asString();
  start.ticket = row[8].asString();
  start.lease_until_ms = row[9].asInt64();
  start.fence = row[10].asInt64();
  start.timeout = absl::Milliseconds(row[11].asInt64());
  return start;
}

std::optional<StopOrder> StopFromRow(const Json::Value& row) {
  StopOrder stop;
  if (row.size() != kStopFields || !ParseTaskId(row[4].asString(), &stop.task))
    return std::nullopt;
  stop.run = row[5].asInt();
  stop.fence = row[6].asInt64();
  stop.timeout = absl::Milliseconds(row[7].asInt64());
  return stop;
}

std::optional<ObserveOrder> ObserveFromRow(const Json::Value& row) {
  if (row.size() != kObserveFields) return std::nullopt;
  ObserveOrder observe;
  observe.fence = row[4].asInt64();
  observe.ends_acknowledged = row[5].asInt64();
  observe.lease_until_ms = row[6].asInt64();
  observe.wait_ms = row[7].asInt64();
  observe.timeout = absl::Milliseconds(row[8].asInt64());
  return observe;
}

template <typename Order>
bool AssignIfRead(const std::optional<Order>& order, RelayedOrder* out) {
  if (order) out->order = *order;
  return order.has_value();
}

// Returns false if `value` is not an integer from 0 to `last`. A missing value
// must not be read as the enumerator 0.
template <typename Enum>
bool ReadEnum(const Json::Value& value, Enum last, Enum* out) {
  if (!value.isInt()) return false;
  const int number = value.asInt();
  if (number < 0 || number > static_cast<int>(last)) return false;
  *out = static_cast<Enum>(number);
  return true;
}

// Throws `Json::Exception` where a field has the wrong type.
std::optional<RelayedOrder> ReadOrder(const Json::Value& row) {
  if (!row.isArray() || row.size() < kStopFields || !row[1].isInt())
    return std::nullopt;
  RelayedOrder out;
  out.number = row[0].asInt64();
  out.worker.id = row[2].asString();
  out.worker.address = row[3].asString();
  bool read = false;
  switch (row[1].asInt()) {
    case kStart:
      read = AssignIfRead(StartFromRow(row), &out);
      break;
    case kStop:
      read = AssignIfRead(StopFromRow(row), &out);
      break;
    case kObserve:
      read = AssignIfRead(ObserveFromRow(row), &out);
      break;
    default:
      break;
  }
  if (!read) return std::nullopt;
  return out;
}

// Throws `Json::Exception` where a field has the wrong type.
std::optional<EndedTask> ReadEnd(const Json::Value& row) {
  EndedTask end;
  if (!ParseTaskId(row[1].asString(), &end.task) ||
      !ReadEnum(row[3], RunEnd::kAlone, &end.end))
    return std::nullopt;
  end.number = row[0].asInt64();
  end.run = row[2].asInt();
  end.checkpoint = row[4].asString();
  return end;
}

// Throws `Json::Exception` where a field has the wrong type.
std::optional<RelayedReply> ReadReply(const Json::Value& row) {
  if (!row.isArray() || row.size() < kOrderReplyFields) return std::nullopt;
  RelayedReply out;
  out.number = row[0].asInt64();
  OrderReply& order = out.reply.order;
  if (!ReadEnum(row[1], OrderResult::kNotAttempted, &order.result))
    return std::nullopt;
  order.clock_ms = row[2].asInt64();
  order.message = row[3].asString();
  const bool has_lists = row.size() >= kObserveReplyFields;
  const Json::ArrayIndex fields =
      has_lists ? kObserveReplyFields : kOrderReplyFields;
  if (row.size() == fields + kIncarnationFields)
    order.incarnation = row[fields].asString();
  if (!has_lists) return out;
  for (const Json::Value& item : row[4]) {
    RunningTask task;
    if (!ParseTaskId(item[0].asString(), &task.task)) return std::nullopt;
    task.run = item[1].asInt();
    task.checkpoint = item[2].asString();
    task.percent = item[3].asInt();
    out.reply.running.push_back(std::move(task));
  }
  for (const Json::Value& item : row[5]) {
    std::optional<EndedTask> end = ReadEnd(item);
    if (!end) return std::nullopt;
    out.reply.ended.push_back(*std::move(end));
  }
  out.reply.more_ends = row[6].asBool();
  return out;
}

// Returns nullopt if `read` throws, because an exception would discard the
// other rows of the message too.
template <typename T>
std::optional<T> NulloptOnTypeError(
    std::optional<T> (*read)(const Json::Value&), const Json::Value& row) {
  try {
    return read(row);
  } catch (const Json::Exception&) {
    return std::nullopt;
  }
}

}  // namespace

Json::Value ToRow(const EndedTask& end) {
  return Row(Number(end.number), TaskIdText(end.task), end.run,
             static_cast<int>(end.end), end.checkpoint);
}

std::optional<EndedTask> EndFromRow(const Json::Value& row) {
  return NulloptOnTypeError(ReadEnd, row);
}

Json::Value ToRow(const RelayedOrder& order) {
  return std::visit([&](const auto& item) { return OrderRow(order, item); },
                    order.order);
}

Json::Value ToRow(const RelayedReply& reply) {
  const OrderReply& order = reply.reply.order;
  Json::Value row =
      Row(Number(reply.number), static_cast<int>(order.result),
          Number(order.clock_ms),
          order.result == OrderResult::kDone ? std::string() : order.message);
  const bool has_lists = !reply.reply.running.empty() ||
                         !reply.reply.ended.empty() || reply.reply.more_ends;
  const auto with_incarnation = [&order](Json::Value done) {
    if (!order.incarnation.empty()) done.append(order.incarnation);
    return done;
  };
  if (!has_lists) return with_incarnation(std::move(row));
  Json::Value running(Json::arrayValue);
  for (const RunningTask& task : reply.reply.running)
    running.append(
        Row(TaskIdText(task.task), task.run, task.checkpoint, task.percent));
  Json::Value ended(Json::arrayValue);
  for (const EndedTask& end : reply.reply.ended) ended.append(ToRow(end));
  row.append(std::move(running));
  row.append(std::move(ended));
  row.append(reply.reply.more_ends);
  return with_incarnation(std::move(row));
}

std::optional<RelayedOrder> OrderFromRow(const Json::Value& row) {
  return NulloptOnTypeError(ReadOrder, row);
}

std::optional<RelayedReply> ReplyFromRow(const Json::Value& row) {
  return NulloptOnTypeError(ReadReply, row);
}

}  // namespace keelbridge
