#include "keelbridge/daemon/worker_pool.h"

#include <algorithm>
#include <utility>

#include "keelbridge/base/clock.h"
#include "keelbridge/base/logging.h"

namespace keelbridge {
namespace {

constexpr size_t kUnresponsiveThreads = 2;

const std::string& WorkerOf(const WorkerCommand& command) {
  return std::visit(
      [](const auto& c) -> const std::string& { return c.worker; }, command);
}

// Converts an optional typed reply to an answer.
template <typename Reply>
WorkerAnswer ToAnswer(std::optional<Reply> reply) {
  if (!reply) return std::monostate();
  return std::move(*reply);
}

WorkerAnswer Call(WorkerClient& client, const WorkerCommand& command,
                  absl::Duration timeout) {
  if (const auto* hold = std::get_if<SendHold>(&command))
    return ToAnswer(client.Hold(hold->request, timeout));
  if (const auto* stop = std::get_if<SendStop>(&command))
    return ToAnswer(client.Stop(stop->request, timeout));
  StartRequest request = std::get<SendStart>(command).request;
  Span span("scheduler.start", TraceContext::Parse(request.traceparent));
  span.Set("keelbridge.task", request.task);
  request.traceparent = span.context().ToHeader();
  return ToAnswer(client.Start(request, timeout));
}

}  // namespace

WorkerPool::WorkerPool(size_t threads, absl::Duration timeout, Done done)
    : timeout_(timeout), done_(std::move(done)) {
  for (size_t i = 0; i < threads; ++i)
    threads_.emplace_back([this] { Run(calls_); });
  for (size_t i = 0; i < kUnresponsiveThreads; ++i)
    threads_.emplace_back([this] { Run(unresponsive_calls_); });
}

WorkerPool::~WorkerPool() { Stop(); }

void WorkerPool::Stop() {
  calls_.Close();
  unresponsive_calls_.Close();
  for (std::thread& thread : threads_) {
    if (thread.joinable()) thread.join();
  }
}

void WorkerPool::SetAddresses(
    const std::map<std::string, std::string>& addresses) {
  absl::MutexLock lock(&mutex_);
  for (auto it = clients_.begin(); it != clients_.end();) {
    const auto address = addresses.find(it->first);
    const bool same =
        address != addresses.end() && address->second == addresses_[it->first];
    it = same ? std::next(it) : clients_.erase(it);
  }
  addresses_ = addresses;
}

std::shared_ptr<WorkerClient> WorkerPool::ClientFor(const std::string& worker) {
  absl::MutexLock lock(&mutex_);
  std::shared_ptr<WorkerClient>& client = clients_[worker];
  if (!client) {
    Result<Address> address = ParseAddress(addresses_[worker]);
    if (address) client = std::make_shared<WorkerClient>(address.value());
  }
  return client;
}

void WorkerPool::RecordAnswer(const std::string& worker, bool answered) {
  absl::MutexLock lock(&mutex_);
  if (answered) {
    unresponsive_.erase(worker);
  } else {
    unresponsive_.insert(worker);
  }
}

bool WorkerPool::Send(WorkerCall call) {
  bool unresponsive = false;
  {
    absl::MutexLock lock(&mutex_);
    unresponsive = unresponsive_.count(WorkerOf(call.command)) > 0;
  }
  return (unresponsive ? unresponsive_calls_ : calls_).Push(std::move(call));
}

void WorkerPool::Run(BoundedQueue<WorkerCall>& queue) {
  while (!queue.ClosedAndEmpty()) {
    for (WorkerCall& call : queue.WaitAndDrain(1, absl::Seconds(1))) {
      const std::string worker = WorkerOf(call.command);
      const std::shared_ptr<WorkerClient> client = ClientFor(worker);
      WorkerAnswer answer;
      if (client) answer = Call(*client, call.command, timeout_);
      RecordAnswer(worker, !std::holds_alternative<std::monostate>(answer));
      done_(std::move(call), std::move(answer));
    }
  }
}

}  // namespace keelbridge
