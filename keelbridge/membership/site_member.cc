#include "keelbridge/membership/site_member.h"

#include <xxhash.h>

#include <tuple>

#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

auto Fields(const SiteMember& member) {
  return std::tie(member.name, member.address, member.zone, member.store_ok,
                  member.capacity);
}

}  // namespace

bool operator==(const SiteMember& a, const SiteMember& b) {
  return Fields(a) == Fields(b);
}

uint64_t HashOf(const SiteMember& member) {
  const std::string text =
      absl::StrCat(member.name, "|", member.address, "|", member.zone, "|",
                   member.store_ok ? 1 : 0, "|", member.capacity);
  return XXH64(text.data(), text.size(), 0);
}

uint64_t SaltedNameHash(const std::string& name, uint64_t salt) {
  return XXH64(name.data(), name.size(), salt);
}

}  // namespace keelbridge
