#include "keelbridge/transport/address.h"

#include <arpa/inet.h>

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace keelbridge {
namespace {

constexpr int kMaxPort = 65535;

bool IsIpAddress(const std::string& text) {
  unsigned char buffer[sizeof(in6_addr)];
  return inet_pton(AF_INET, text.c_str(), buffer) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buffer) == 1;
}

// Reads a port as `Address::ToString` writes it. Returns false for other forms
// of a number, which the conversion itself accepts: blanks, signs, zeros ahead.
bool ReadPort(const std::string& text, int* port) {
  const bool plain = !text.empty() &&
                     std::all_of(text.begin(), text.end(), absl::ascii_isdigit);
  if (!plain || (text.size() > 1 && text[0] == '0')) return false;
  return absl::SimpleAtoi(text, port) && *port <= kMaxPort;
}

}  // namespace

std::string Address::ToString() const {
  return absl::StrCat(ip, ":", port, prefix);
}

Result<Address> ParseAddress(const std::string& text) {
  const auto fail = [&text](const char* why) {
    return MakeError(
        ErrorCode::kInvalid,
        absl::StrCat("address \"", text, "\" ", why,
                     "; write IP:PORT, for example 127.0.0.1:8080"));
  };
  Address address;
  std::string host_port = text;
  if (const size_t slash = text.find('/'); slash != std::string::npos) {
    address.prefix = text.substr(slash);
    host_port = text.substr(0, slash);
  }
  const size_t colon = host_port.rfind(':');
  if (colon == std::string::npos) return fail("has no port");
  address.ip = host_port.substr(0, colon);
  if (!ReadPort(host_port.substr(colon + 1), &address.port))
    return fail("has no port from 0 to 65535");
  if (!IsIpAddress(address.ip)) return fail("does not start with an IP number");
  return address;
}

}  // namespace keelbridge
