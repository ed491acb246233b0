#include "keelbridge/base/json_reader.h"

#include <doctest/doctest.h>

#include "keelbridge/daemon/settings.h"
#include "keelbridge/protocol/configuration.h"
#include "keelbridge/protocol/intent.h"

namespace keelbridge {
namespace {

bool Has(const Error& error, const std::string& text) {
  return error.message.find(text) != std::string::npos;
}

TEST_CASE(
    "settings: all faults are reported with line, key, value and what "
    "is allowed") {
  const Result<Settings> settings = ParseSettings(R"({
  // A comment is fine.
  "name": "",
  "zone": "a",
  "listen": "localhost:80",
  "log": "127.0.0.1:1/log",
  "host_list": "127.0.0.1:99999",
  "tick_ms": 0,
  "colour": "red"
})",
                                                  "s.json");
  REQUIRE(!settings.has_value());
  const Error& error = settings.error();
  CHECK(Has(error, "s.json: line 3: name: is \"\"; must be a text"));
  CHECK(Has(error, "line 5: listen"));
  CHECK(Has(error, "IP number"));
  CHECK(Has(error, "line 7: host_list"));
  CHECK(Has(error,
            "line 8: tick_ms: is 0; must be a whole number from 1 to 1000"));
  CHECK(Has(error, "line 9: colour: is \"red\"; unknown key; known here:"));
}

TEST_CASE("hostile JSON is rejected with an error of bounded length") {
  const std::string deep(100000, '[');
  for (const std::string& text :
       {deep, std::string("{\"a\": 1e999}"), std::string("{\"a\": NaN}"),
        std::string("{\"a\": 1, \"a\": 2}"), std::string("{\"a\": 1"),
        std::string("[]"), std::string(), std::string("{} trailing"),
        std::string("{\"a\": \"\\ud800\"}")}) {
    const Result<Settings> settings = ParseSettings(text, "s.json");
    REQUIRE(!settings.has_value());
    CHECK(settings.error().code == ErrorCode::kInvalid);
    CHECK(settings.error().message.size() < 4000);
  }
}

TEST_CASE(
    "configuration and intents: undeclared names and numbers out of "
    "range are reported") {
  const Result<Configuration> configuration = ParseConfiguration(R"({
"deployment": "d", "policy": "fastest", "zones": [{"name": "a"}, {"name": "a"}],
"services": [{"name": "s", "repeatable": "yes"}], "teams": [], "entry_hosts": [],
"workers": [{"name": "w", "zone": "b", "rack": "r", "address": "127.0.0.1:1",
             "cpu_cores": -1, "memory_gib": 1e12}],
"targets": [{"name": "t", "zone": "a", "address": "127.0.0.1:1", "slots": 8,
             "connections": 4, "services": ["x"]}]})",
                                                                 "c.json");
  REQUIRE(!configuration.has_value());
  for (const char* part :
       {"policy: is \"fastest\"; must be one of waiting-first, packing-first",
        "zones[1].name: is \"a\"; must be unique", "services[0].repeatable",
        "workers[0].zone: is \"b\"", "workers[0].cpu_cores: is -1",
        "workers[0].memory_gib", "targets[0].connections: is 4",
        "targets[0].services"}) {
    CAPTURE(part);
    CHECK(Has(configuration.error(), part));
  }
  const Result<std::vector<Intent>> intents = ParseIntents(
      R"({"intents": [{"id": "a/b", "kind": "batch", "zone": "z", "team": "t", "class": "standard",
      "tasks": 0, "cpu_cores": 1, "memory_gib": 1}]})",
      "i.json");
  REQUIRE(!intents.has_value());
  CHECK(Has(intents.error(), "must not hold '/'"));
  CHECK(Has(intents.error(), "tasks: is 0"));
  CHECK(Has(intents.error(), "task_duration_ms: missing"));
}

TEST_CASE("json document: a member is taken out once") {
  JsonDocument document = JsonDocument::Parse(R"({"a": [1, 2]})", "test");
  CHECK(document.Take("a").size() == 2);
  CHECK(document.Take("a").isNull());
  CHECK(document.Take("b").isNull());
}

}  // namespace
}  // namespace keelbridge
