#include "keelbridge/base/json_reader.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <sstream>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace keelbridge {
namespace {

// Texts with deeper nesting are rejected before they can overflow the stack.
constexpr int kMaxNesting = 32;
constexpr size_t kMaxShownValueBytes = 60;

std::string Abbreviate(const Json::Value& value) {
  std::string text = ToJsonText(value);
  if (text.size() > kMaxShownValueBytes)
    text = text.substr(0, kMaxShownValueBytes) + "...";
  return text;
}

std::string JoinLines(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

std::unique_ptr<Json::CharReader> MakeReader() {
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  builder["allowComments"] = true;
  builder["strictRoot"] = true;
  builder["failIfExtra"] = true;
  builder["rejectDupKeys"] = true;
  builder["allowSpecialFloats"] = false;
  builder["stackLimit"] = kMaxNesting;
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

}  // namespace

std::string ToJsonText(const Json::Value& value) {
  // Reused because creating a writer costs more than writing a message.
  thread_local const std::unique_ptr<Json::StreamWriter> writer = [] {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return std::unique_ptr<Json::StreamWriter>(builder.newStreamWriter());
  }();
  std::ostringstream out;
  writer->write(value, &out);
  return out.str();
}

Json::Value JsonDocument::Take(const std::string& name) {
  if (!root_.isMember(name)) return {};
  return std::move(root_[name]);
}

JsonDocument JsonDocument::Parse(std::string text, std::string source) {
  JsonDocument document;
  document.text_ = std::move(text);
  document.source_ = std::move(source);
  // Reused because creating a reader costs more than parsing a message.
  thread_local const std::unique_ptr<Json::CharReader> reader = MakeReader();
  Json::Value root;
  std::string errors;
  bool ok = false;
  try {
    const char* begin = document.text_.data();
    ok = reader->parse(begin, begin + document.text_.size(), &root, &errors);
  } catch (const Json::Exception& e) {
    errors = absl::StrCat(e.what(), " (deeper than ", kMaxNesting,
                          " levels, or a number out of range)");
  }
  if (!ok) {
    document.faults_.push_back(absl::StrCat(
        document.source_, ": not valid JSON: ", JoinLines(errors)));
  } else if (!root.isObject()) {
    document.faults_.push_back(
        absl::StrCat(document.source_, ": line 1: must be an object {...}"));
  } else {
    document.root_ = std::move(root);
  }
  return document;
}

Error JsonDocument::FaultError() const {
  return MakeError(ErrorCode::kInvalid, absl::StrJoin(faults_, "\n"));
}

int JsonDocument::LineNumberAt(ptrdiff_t offset) const {
  const auto end =
      std::min<ptrdiff_t>(offset, static_cast<ptrdiff_t>(text_.size()));
  return 1 +
         static_cast<int>(std::count(text_.begin(), text_.begin() + end, '\n'));
}

void JsonDocument::AddFault(const Json::Value& at, const std::string& key,
                            const std::string& what) {
  faults_.push_back(absl::StrCat(source_, ": line ",
                                 LineNumberAt(at.getOffsetStart()), ": ", key,
                                 ": ", what));
}

JsonReader::JsonReader(JsonDocument& document, const Json::Value& object,
                       std::string path)
    : document_(document), object_(object), path_(std::move(path)) {}

const Json::Value* JsonReader::Find(const std::string& key,
                                    const char* allowed) {
  requested_keys_.insert(key);
  const Json::Value* value = object_.find(key.data(), key.data() + key.size());
  if (value == nullptr)
    document_.AddFault(object_, path_ + key,
                       absl::StrCat("missing; must be ", allowed));
  return value;
}

void JsonReader::ReportFault(const std::string& key, const std::string& what) {
  const Json::Value* value = object_.find(key.data(), key.data() + key.size());
  const Json::Value& at = value == nullptr ? object_ : *value;
  const std::string shown =
      value == nullptr ? "" : absl::StrCat("is ", Abbreviate(*value), "; ");
  document_.AddFault(at, path_ + key, shown + what);
}

void JsonReader::String(const std::string& key, std::string* out) {
  const Json::Value* value = Find(key, "a text that is not empty");
  if (value == nullptr) return;
  if (!value->isString() || value->asString().empty())
    return ReportFault(key, "must be a text that is not empty");
  *out = value->asString();
}

void JsonReader::OneOf(const std::string& key,
                       const std::vector<std::string>& allowed,
                       std::string* out) {
  const std::string list = absl::StrJoin(allowed, ", ");
  const Json::Value* value = Find(key, absl::StrCat("one of ", list).c_str());
  if (value == nullptr) return;
  if (!value->isString() || std::find(allowed.begin(), allowed.end(),
                                      value->asString()) == allowed.end()) {
    return ReportFault(key, absl::StrCat("must be one of ", list));
  }
  *out = value->asString();
}

void JsonReader::Integer(const std::string& key, int64_t min_value,
                         int64_t max_value, int64_t* out) {
  const std::string allowed =
      absl::StrCat("a whole number from ", min_value, " to ", max_value);
  const Json::Value* value = Find(key, allowed.c_str());
  if (value == nullptr) return;
  if (!value->isInt64() || value->asInt64() < min_value ||
      value->asInt64() > max_value) {
    return ReportFault(key, "must be " + allowed);
  }
  *out = value->asInt64();
}

void JsonReader::Number(const std::string& key, double min_value,
                        double max_value, double* out) {
  const std::string allowed =
      absl::StrCat("a number from ", min_value, " to ", max_value);
  const Json::Value* value = Find(key, allowed.c_str());
  if (value == nullptr) return;
  const bool in_range =
      value->isNumeric() && std::isfinite(value->asDouble()) &&
      value->asDouble() >= min_value && value->asDouble() <= max_value;
  if (!in_range) return ReportFault(key, "must be " + allowed);
  *out = value->asDouble();
}

void JsonReader::Bool(const std::string& key, bool* out) {
  const Json::Value* value = Find(key, "true or false");
  if (value == nullptr) return;
  if (!value->isBool()) return ReportFault(key, "must be true or false");
  *out = value->asBool();
}

void JsonReader::ObjectList(const std::string& key,
                            const std::function<void(JsonReader&)>& read) {
  ReadObjects(key, [&read](JsonReader& reader) {
    read(reader);
    reader.Finish();
  });
}

void JsonReader::ExtensibleObjectList(
    const std::string& key, const std::function<void(JsonReader&)>& read) {
  ReadObjects(key, read);
}

void JsonReader::ExtensibleObject(
    const std::string& key, const std::function<void(JsonReader&)>& read) {
  const Json::Value* value = Find(key, "an object");
  if (value == nullptr) return;
  if (!value->isObject()) return ReportFault(key, "must be an object");
  JsonReader reader(document_, *value, absl::StrCat(path_, key, "."));
  read(reader);
}

void JsonReader::ReadObjects(const std::string& key,
                             const std::function<void(JsonReader&)>& read) {
  const Json::Value* value = Find(key, "a list of objects");
  if (value == nullptr) return;
  // The value may hold secrets in its members.
  if (!value->isArray())
    return ReportSecretFault(key, "must be a list of objects");
  for (Json::ArrayIndex i = 0; i < value->size(); ++i) {
    const std::string path = absl::StrCat(path_, key, "[", i, "].");
    if (!(*value)[i].isObject()) {
      document_.AddFault((*value)[i], path, "must be an object");
      continue;
    }
    JsonReader reader(document_, (*value)[i], path);
    read(reader);
  }
}

void JsonReader::ReportSecretFault(const std::string& key,
                                   const std::string& what) {
  const Json::Value* value = object_.find(key.data(), key.data() + key.size());
  document_.AddFault(value == nullptr ? object_ : *value, path_ + key, what);
}

void JsonReader::SecretList(const std::string& key,
                            std::vector<std::string>* out) {
  const Json::Value* value = Find(key, "a list of texts");
  if (value == nullptr) return;
  if (!value->isArray())
    return ReportSecretFault(key, "must be a list of texts");
  out->clear();
  for (const Json::Value& item : *value) {
    if (!item.isString() || item.asString().empty())
      return ReportSecretFault(key, "must hold only texts that are not empty");
    out->push_back(item.asString());
  }
}

void JsonReader::StringList(const std::string& key,
                            std::vector<std::string>* out) {
  const Json::Value* value = Find(key, "a list of texts");
  if (value == nullptr) return;
  if (!value->isArray()) return ReportFault(key, "must be a list of texts");
  out->clear();
  for (const Json::Value& item : *value) {
    if (!item.isString() || item.asString().empty())
      return ReportFault(key, "must hold only texts that are not empty");
    out->push_back(item.asString());
  }
}

void JsonReader::OptionalString(const std::string& key, std::string* out) {
  requested_keys_.insert(key);
  if (Has(key)) String(key, out);
}

void JsonReader::OptionalInteger(const std::string& key, int64_t min_value,
                                 int64_t max_value, int64_t* out) {
  requested_keys_.insert(key);
  if (Has(key)) Integer(key, min_value, max_value, out);
}

void JsonReader::OptionalNumber(const std::string& key, double min_value,
                                double max_value, double* out) {
  requested_keys_.insert(key);
  if (Has(key)) Number(key, min_value, max_value, out);
}

void JsonReader::OptionalBool(const std::string& key, bool* out) {
  requested_keys_.insert(key);
  if (Has(key)) Bool(key, out);
}

void JsonReader::OptionalMillis(const std::string& key, int64_t min_value,
                                int64_t max_value, absl::Duration* out) {
  int64_t millis = absl::ToInt64Milliseconds(*out);
  OptionalInteger(key, min_value, max_value, &millis);
  *out = absl::Milliseconds(millis);
}

void JsonReader::Finish() {
  std::vector<std::string> known(requested_keys_.begin(),
                                 requested_keys_.end());
  for (const std::string& key : object_.getMemberNames()) {
    if (requested_keys_.count(key) == 0)
      ReportFault(key,
                  "unknown key; known here: " + absl::StrJoin(known, ", "));
  }
}

}  // namespace keelbridge
