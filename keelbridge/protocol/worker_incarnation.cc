#include "keelbridge/protocol/worker_incarnation.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

constexpr char kBorn = '@';

}  // namespace

std::string WorkerLifeId(const WorkerLife& life) {
  // A name that holds the sign is told from a name with a birth by always
  // having one.
  const bool plain =
      life.born_ms == 0 && life.name.find(kBorn) == std::string::npos;
  if (plain) return life.name;
  return absl::StrCat(life.name, std::string(1, kBorn), life.born_ms);
}

WorkerLife ParseWorkerLife(const std::string& id) {
  const size_t at = id.rfind(kBorn);
  int64_t born_ms = 0;
  if (at == std::string::npos || !absl::SimpleAtoi(id.substr(at + 1), &born_ms))
    return {id, 0};
  return {id.substr(0, at), born_ms};
}

}  // namespace keelbridge
