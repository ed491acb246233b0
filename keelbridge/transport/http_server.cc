#include "keelbridge/transport/http_server.h"

#include <httplib.h>

#include <atomic>
#include <deque>
#include <thread>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/mutex.h"

namespace keelbridge {
namespace {

// Number of threads that only answer 503 when all serving threads are busy.
constexpr size_t kRefusingThreads = 2;
constexpr int kSocketReuse = 1;

// True on the threads that reject connections beyond the limit.
thread_local bool refusing = false;

// Starts serving threads on demand, up to a limit, and passes connections
// beyond the limit to the refusing threads.
class ConnectionThreads : public httplib::TaskQueue {
 public:
  explicit ConnectionThreads(size_t max_serving_threads)
      : max_serving_threads_(max_serving_threads) {}

  void enqueue(std::function<void()> serve) override {
    absl::MutexLock lock(&mutex_);
    if (busy_ + waiting_.size() < max_serving_threads_) {
      waiting_.push_back(std::move(serve));
      if (idle_ < waiting_.size() &&
          serving_threads_.size() < max_serving_threads_) {
        serving_threads_.emplace_back([this] { Run(waiting_, false); });
      }
      return;
    }
    refused_.push_back(std::move(serve));
    if (refusing_threads_.size() < kRefusingThreads)
      refusing_threads_.emplace_back([this] { Run(refused_, true); });
  }

  void shutdown() override {
    {
      absl::MutexLock lock(&mutex_);
      stopping_ = true;
    }
    for (std::thread& thread : serving_threads_) thread.join();
    for (std::thread& thread : refusing_threads_) thread.join();
  }

 private:
  using Queue = std::deque<std::function<void()>>;

  void Run(Queue& queue, bool refuse) {
    refusing = refuse;
    mutex_.Lock();
    while (true) {
      if (!refuse) ++idle_;
      const auto ready = [this, &queue]() ABSL_NO_THREAD_SAFETY_ANALYSIS {
        return stopping_ || !queue.empty();
      };
      mutex_.Await(absl::Condition(&ready));
      if (!refuse) --idle_;
      if (queue.empty()) break;
      std::function<void()> serve = std::move(queue.front());
      queue.pop_front();
      if (!refuse) ++busy_;
      mutex_.Unlock();
      serve();
      mutex_.Lock();
      if (!refuse) --busy_;
    }
    mutex_.Unlock();
  }

  const size_t max_serving_threads_;
  absl::Mutex mutex_;
  Queue waiting_ ABSL_GUARDED_BY(mutex_);
  Queue refused_ ABSL_GUARDED_BY(mutex_);
  size_t idle_ ABSL_GUARDED_BY(mutex_) = 0;
  size_t busy_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  // Modified only by the accepting thread.
  std::vector<std::thread> serving_threads_;
  std::vector<std::thread> refusing_threads_;
};

ServerRequest FromLibrary(const httplib::Request& in) {
  ServerRequest out;
  out.method = in.method;
  out.path = in.path;
  out.body = in.body;
  for (const auto& [name, value] : in.headers)
    out.headers.emplace_back(name, value);
  for (const auto& [name, value] : in.params) out.query.emplace(name, value);
  return out;
}

void SendTruncated(const ServerResponse& in, httplib::Response& out) {
  const std::string body = in.body;
  out.set_content_provider(
      body.size() + in.truncated_bytes, in.content_type,
      [body](size_t offset, size_t, httplib::DataSink& sink) {
        if (offset >= body.size()) return false;
        return sink.write(body.data() + offset, body.size() - offset);
      });
}

ServerResponse PlainError(int status, const std::string& message) {
  return ServerResponse{status, {}, message + "\n", "text/plain"};
}

}  // namespace

std::string ServerRequest::Query(const std::string& key,
                                 const std::string& fallback) const {
  const auto it = query.find(key);
  return it == query.end() ? fallback : it->second;
}

class HttpServer::Impl {
 public:
  Impl(Options options, Handler handler)
      : options_(std::move(options)), handler_(std::move(handler)) {}

  Result<int> Start() {
    Configure();
    int port = options_.port;
    if (port == 0) {
      port = server_.bind_to_any_port(options_.ip);
      if (port <= 0) return BindError();
    } else if (!server_.bind_to_port(options_.ip, port)) {
      return BindError();
    }
    accept_thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) std::this_thread::yield();
    return port;
  }

  void Drain() { draining_ = true; }

  void Stop() {
    draining_ = true;
    server_.stop();
    if (accept_thread_.joinable()) accept_thread_.join();
  }

 private:
  Error BindError() const {
    return MakeError(
        ErrorCode::kUnavailable,
        absl::StrCat("cannot listen on ", options_.ip, ":", options_.port,
                     ": the port is taken or the address is not of this "
                     "machine; check \"listen\""));
  }

  void Configure() {
    const timeval read = absl::ToTimeval(options_.read_timeout);
    server_.set_tcp_nodelay(true);
    // The library's default options let two processes share a port, which would
    // hide that the port is already in use.
    server_.set_socket_options([](socket_t socket) {
      setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &kSocketReuse,
                 sizeof(kSocketReuse));
    });
    server_.set_payload_max_length(options_.max_body_bytes);
    server_.set_read_timeout(read.tv_sec, read.tv_usec);
    server_.set_write_timeout(read.tv_sec, read.tv_usec);
    server_.set_keep_alive_timeout(absl::ToInt64Seconds(options_.keep_alive));
    server_.set_keep_alive_max_count(1000000);
    const size_t max_threads = options_.max_threads;
    server_.new_task_queue = [max_threads] {
      return new ConnectionThreads(max_threads);
    };
    server_.set_pre_routing_handler(
        [](const httplib::Request&, httplib::Response& out) {
          if (!refusing) return httplib::Server::HandlerResponse::Unhandled;
          out.status = 503;
          out.set_header("Retry-After", "1");
          out.set_header("Connection", "close");
          out.set_header("Keelbridge-Verdict", "DidNotRun");
          out.set_content("too many connections; come back after 1 s\n",
                          "text/plain");
          return httplib::Server::HandlerResponse::Handled;
        });
    const auto serve = [this](const httplib::Request& in,
                              httplib::Response& out) { Serve(in, out); };
    server_.Get(".*", serve);
    server_.Post(".*", serve);
    server_.Put(".*", serve);
    server_.Delete(".*", serve);
    server_.Patch(".*", serve);
    server_.Options(".*", serve);
  }

  void Serve(const httplib::Request& in, httplib::Response& out) {
    ServerResponse response;
    try {
      response = handler_(FromLibrary(in));
    } catch (const std::exception& e) {
      response = PlainError(500, absl::StrCat("internal error: ", e.what()));
    }
    out.status = response.status;
    for (const auto& [name, value] : response.headers)
      out.set_header(name.c_str(), value);
    if (draining_) out.set_header("Connection", "close");
    if (response.truncated_bytes > 0) {
      SendTruncated(response, out);
    } else {
      out.set_content(response.body, response.content_type.c_str());
    }
  }

  const Options options_;
  const Handler handler_;
  httplib::Server server_;
  std::thread accept_thread_;
  std::atomic<bool> draining_{false};
};

HttpServer::HttpServer(Options options, Handler handler)
    : impl_(std::make_unique<Impl>(std::move(options), std::move(handler))) {}

HttpServer::~HttpServer() { impl_->Stop(); }

Result<int> HttpServer::Start() { return impl_->Start(); }
void HttpServer::Drain() { impl_->Drain(); }
void HttpServer::Stop() { impl_->Stop(); }

}  // namespace keelbridge
