// Reads JSON objects whole and reports every fault at once.
//
// Each fault names line, key, value and what is allowed. Unknown and duplicate
// keys are faults. The same code reads the settings, the configuration and the
// intents, and checks what peers send.
//
//   JsonDocument doc = JsonDocument::Parse(text, "settings.json");
//   JsonReader reader(doc, doc.root(), "");
//   reader.Text("name", &settings.name);
//   reader.Integer("port", 0, 65535, &settings.port);
//   reader.Finish();
//   if (!doc.faults().empty()) return doc.FaultError();

#ifndef KEELBRIDGE_BASE_JSON_READER_H_
#define KEELBRIDGE_BASE_JSON_READER_H_

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "keelbridge/base/result.h"

namespace keelbridge {

// A parsed text and the faults found in it so far. Faults also come from
// readers over its values.
class JsonDocument {
 public:
  // Never fails: a text that is no JSON object gives a document with faults and
  // an empty root.
  static JsonDocument Parse(std::string text, std::string source);

  const Json::Value& root() const { return root_; }
  const std::vector<std::string>& faults() const { return faults_; }
  // All faults, one a line, as an error of kind `kInvalid`.
  Error FaultError() const;
  void AddFault(const Json::Value& at, const std::string& key,
                const std::string& what);

 private:
  int LineNumberAt(ptrdiff_t offset) const;

  std::string text_;
  std::string source_;
  Json::Value root_{Json::objectValue};
  std::vector<std::string> faults_;
};

// Reads the members of one object. A member read without `Optional…` must be
// there.
class JsonReader {
 public:
  JsonReader(JsonDocument& document, const Json::Value& object,
             std::string path);

  // Required members. `out` keeps its value when the member is at fault.
  void String(const std::string& key, std::string* out);
  void OneOf(const std::string& key, const std::vector<std::string>& allowed,
             std::string* out);
  void Integer(const std::string& key, int64_t min_value, int64_t max_value,
               int64_t* out);
  void Number(const std::string& key, double min_value, double max_value,
              double* out);
  void Bool(const std::string& key, bool* out);
  void ObjectList(const std::string& key,
                  const std::function<void(JsonReader&)>& read);
  void StringList(const std::string& key, std::vector<std::string>* out);
  // The same of what others write, who may add members: unknown ones are no
  // faults.
  void ExtensibleObject(const std::string& key,
                        const std::function<void(JsonReader&)>& read);
  void ExtensibleObjectList(const std::string& key,
                            const std::function<void(JsonReader&)>& read);

  // True when the member is there; the calls above may then read it.
  bool Has(const std::string& key) const { return object_.isMember(key); }

  void OptionalString(const std::string& key, std::string* out);
  void OptionalInteger(const std::string& key, int64_t min_value,
                       int64_t max_value, int64_t* out);
  void OptionalNumber(const std::string& key, double min_value,
                      double max_value, double* out);
  void OptionalBool(const std::string& key, bool* out);
  // The key must end in `_ms`.
  void OptionalMillis(const std::string& key, int64_t min_value,
                      int64_t max_value, absl::Duration* out);

  // Reports a fault of a member that was read but makes no sense.
  void ReportFault(const std::string& key, const std::string& what);

  // Reports every member that nobody asked for. Call last.
  void Finish();

 private:
  const Json::Value* Find(const std::string& key, const char* allowed);
  void ReadObjects(const std::string& key,
                   const std::function<void(JsonReader&)>& read);

  JsonDocument& document_;
  const Json::Value& object_;
  std::string path_;
  std::set<std::string> requested_keys_;
};

// The shortest text of `value`, keys in order, so that equal values give equal
// texts.
std::string ToJsonText(const Json::Value& value);

}  // namespace keelbridge

#endif  // KEELBRIDGE_BASE_JSON_READER_H_
