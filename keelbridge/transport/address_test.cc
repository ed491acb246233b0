#include "keelbridge/transport/address.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

TEST_CASE("address: is read with its port and prefix") {
  const auto plain = ParseAddress("127.0.0.1:8080");
  REQUIRE(plain);
  CHECK(plain.value().ip == "127.0.0.1");
  CHECK(plain.value().port == 8080);
  const auto prefixed = ParseAddress("127.0.0.1:65535/log");
  REQUIRE(prefixed);
  CHECK(prefixed.value().port == 65535);
  CHECK(prefixed.value().prefix == "/log");
}

// Guards against: an entry of another writer with a port in a form that no
// worker writes named a worker, and work was started there.
TEST_CASE("address: a port that is not plain digits up to 65535 is refused") {
  for (const char* port :
       {"", "-1", "65536", "70000", "99999999999999999999", "+80", " 80", "80 ",
        "0x50", "8e1", "80.0", "080", "8 0"}) {
    CAPTURE(port);
    CHECK_FALSE(ParseAddress(std::string("127.0.0.1:") + port));
  }
}

}  // namespace
}  // namespace keelbridge
