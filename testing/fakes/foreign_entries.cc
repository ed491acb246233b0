#include "testing/fakes/foreign_entries.h"

#include <json/json.h>

#include <functional>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge::testing {
namespace {

Json::Value Whole(const std::string& service, const std::string& address) {
  Json::Value out(Json::objectValue);
  out["service"] = service;
  out["machine"] = "m-" + service;
  out["address"] = address;
  out["zone"] = "zone-0";
  out["version"] = "v1";
  out["slots"] = 8;
  out["state"] = "ready";
  out["coldRemainingMs"] = 0;
  out["capacity"]["cpu"] = 64000;
  out["capacity"]["memoryRequestMb"] = 262144;
  out["capacity"]["gpu"] = 0;
  out["labels"].append("a");
  out["labels"].append("r1");
  out["callSequence"] = 1;
  return out;
}

}  // namespace

std::string WorkerEntry(const std::string& service,
                        const std::string& address) {
  return ToJsonText(Whole(service, address));
}

std::vector<ForeignEntry> ForeignEntries(const std::string& service,
                                         const std::string& address) {
  std::vector<ForeignEntry> out;
  const auto add = [&out](const std::string& document) {
    out.push_back({absl::StrCat("foreign-", out.size()), document});
  };
  const auto changed = [&](const std::function<void(Json::Value&)>& change) {
    Json::Value entry = Whole(service, address);
    change(entry);
    add(ToJsonText(entry));
  };
  for (const char* field :
       {"service", "address", "zone", "state", "capacity", "labels"}) {
    changed([&](Json::Value& entry) { entry.removeMember(field); });
    changed([&](Json::Value& entry) { entry[field] = 7; });
    changed([&](Json::Value& entry) { entry[field] = Json::Value(); });
    changed([&](Json::Value& entry) {
      entry[field] = Json::Value(Json::objectValue);
    });
  }
  changed([](Json::Value& entry) { entry["state"] = "wobbly"; });
  changed([](Json::Value& entry) { entry["service"] = "unheard-of"; });
  changed([](Json::Value& entry) { entry["capacity"]["cpu"] = true; });
  changed([](Json::Value& entry) { entry["capacity"]["cpu"] = -64000; });
  changed([](Json::Value& entry) { entry["capacity"]["cpu"] = 2000000000; });
  changed([](Json::Value& entry) { entry["labels"] = "a"; });
  changed([](Json::Value& entry) { entry["slots"] = "eight"; });
  const std::string whole = WorkerEntry(service, address);
  add("{}");
  add("[]");
  add("null");
  add(std::string("\x00\xff\xfe", 3));
  add(whole.substr(0, whole.size() / 2));
  add(whole + "\xff");
  add(std::string(4000, '['));
  return out;
}

}  // namespace keelbridge::testing
