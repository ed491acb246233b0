#include "keelbridge/protocol/site_configuration.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

SiteConfiguration WithQueues(int count) {
  SiteConfiguration configuration;
  for (int i = 0; i < count; ++i) {
    Queue queue;
    queue.name = absl::StrCat("q-", i);
    queue.host = absl::StrCat("Host", i % 7, ".example");
    queue.path_prefix = absl::StrCat("/", i % 11, "/", i % 3 == 0 ? "x/" : "");
    configuration.queues.push_back(queue);
  }
  return configuration;
}

TEST_CASE("site configuration: the index finds the same queues as a scan") {
  const SiteConfiguration plain = WithQueues(200);
  SiteConfiguration indexed = WithQueues(200);
  indexed.BuildIndex();
  const auto name_of = [](const Queue* queue) {
    return queue == nullptr ? std::string() : queue->name;
  };
  for (int host = 0; host < 8; ++host) {
    for (int prefix = 0; prefix < 12; ++prefix) {
      for (const char* rest : {"1", "x/1", ""}) {
        const std::string h = absl::StrCat("hOST", host, ".example");
        const std::string path = absl::StrCat("/", prefix, "/", rest);
        CAPTURE(path);
        CHECK(name_of(plain.FindQueue(h, path)) ==
              name_of(indexed.FindQueue(h, path)));
      }
    }
  }
  CHECK(name_of(indexed.FindQueueByName("q-150")) == "q-150");
  CHECK(indexed.FindQueueByName("q-200") == nullptr);
}

TEST_CASE("site configuration: a copy has its own index") {
  SiteConfiguration first = WithQueues(3);
  first.BuildIndex();
  const SiteConfiguration copy = first;
  first.queues.clear();
  first.BuildIndex();
  REQUIRE(copy.FindQueueByName("q-2") != nullptr);
  CHECK(copy.FindQueueByName("q-2") == &copy.queues[2]);
}

}  // namespace
}  // namespace keelbridge
