// Amounts of the resources that a worker has or a task needs.
//
//   Resources free = total - used;
//   if (need.FitsIn(free)) ...

#ifndef KEELBRIDGE_PROTOCOL_RESOURCES_H_
#define KEELBRIDGE_PROTOCOL_RESOURCES_H_

#include <json/json.h>

#include <algorithm>
#include <cstdint>

namespace keelbridge {

struct Resources {
  int32_t cpu_milli = 0;     // Thousandths of a processor.
  int32_t memory_mib = 0;    // Mebibytes.
  int32_t accelerators = 0;  // Whole accelerators.

  bool FitsIn(const Resources& available) const {
    return cpu_milli <= available.cpu_milli &&
           memory_mib <= available.memory_mib &&
           accelerators <= available.accelerators;
  }
  Resources& operator+=(const Resources& other) {
    cpu_milli += other.cpu_milli;
    memory_mib += other.memory_mib;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu_milli -= other.cpu_milli;
    memory_mib -= other.memory_mib;
    accelerators -= other.accelerators;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend bool operator==(const Resources& a, const Resources& b) {
    return a.cpu_milli == b.cpu_milli && a.memory_mib == b.memory_mib &&
           a.accelerators == b.accelerators;
  }
  friend bool operator!=(const Resources& a, const Resources& b) {
    return !(a == b);
  }
  template <typename H>
  friend H AbslHashValue(H h, const Resources& r) {
    return H::combine(std::move(h), r.cpu_milli, r.memory_mib, r.accelerators);
  }
};

// Returns the part of `a` that `b` does not cover. No amount of the result is
// negative.
inline Resources Shortfall(const Resources& a, const Resources& b) {
  return {std::max(0, a.cpu_milli - b.cpu_milli),
          std::max(0, a.memory_mib - b.memory_mib),
          std::max(0, a.accelerators - b.accelerators)};
}

// Returns the dominant share of `part` in `whole`: the largest of the shares of
// the three resources. The share of a resource of which `whole` has nothing is
// 0.
inline double DominantShare(const Resources& part, const Resources& whole) {
  const auto share = [](int64_t p, int64_t w) {
    return w <= 0 ? 0.0 : static_cast<double>(p) / static_cast<double>(w);
  };
  return std::max({share(part.cpu_milli, whole.cpu_milli),
                   share(part.memory_mib, whole.memory_mib),
                   share(part.accelerators, whole.accelerators)});
}

inline Json::Value ToJson(const Resources& r) {
  Json::Value out;
  out["cpu_milli"] = r.cpu_milli;
  out["memory_mib"] = r.memory_mib;
  out["accelerators"] = r.accelerators;
  return out;
}

inline Resources ResourcesFromJson(const Json::Value& in) {
  return {in["cpu_milli"].asInt(), in["memory_mib"].asInt(),
          in["accelerators"].asInt()};
}

}  // namespace keelbridge

#endif  // KEELBRIDGE_PROTOCOL_RESOURCES_H_
