#include "keelbridge/daemon/node_settings.h"

#include <doctest/doctest.h>

#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

Result<NodeSettings> SettingsWith(const std::string& member) {
  return ParseNodeSettings(absl::StrCat(R"({"name": "n", "zone": "z",
                       "client_listen": "127.0.0.1:1",
                       "ready_listen": "127.0.0.1:2",
                       "peer_listen": "127.0.0.1:3",
                       "store": "127.0.0.1:4")",
                                        member, "}"),
                           "node.json");
}

TEST_CASE("node settings: the starts in flight to a worker can be limited") {
  CHECK(SettingsWith("").value().start_window.max ==
        StartWindow::Options().max);
  const NodeSettings few =
      SettingsWith(R"(, "max_starts_in_flight": 8)").value();
  CHECK(few.start_window.max == 8);
  CHECK(few.start_window.initial == 8);
}

// Guards against a window that admits no start.
TEST_CASE("node settings: a start window that is out of range is refused") {
  for (const char* value : {"0", "-1", "3", "4097", "\"8\"", "7.5"}) {
    CAPTURE(value);
    const auto read =
        SettingsWith(absl::StrCat(", \"max_starts_in_flight\": ", value));
    REQUIRE_FALSE(read);
    CHECK(read.error().message.find("max_starts_in_flight") !=
          std::string::npos);
  }
}

}  // namespace
}  // namespace keelbridge
