#include "keelbridge/coordination/membership.h"

#include <doctest/doctest.h>

#include <memory>

#include "absl/strings/str_cat.h"
#include "keelbridge/base/json_reader.h"

namespace keelbridge {
namespace {

// Hosts that probe each other on a virtual clock.
class Hosts {
 public:
  explicit Hosts(int count) {
    for (int i = 0; i < count; ++i) Start(i);
  }

  void Start(int i) {
    if (static_cast<int>(hosts_.size()) <= i) hosts_.resize(i + 1);
    const std::string name = absl::StrCat("h", i);
    hosts_[i] = std::make_unique<Membership>(
        Membership::Options(), Member{name, name, ++incarnation_},
        std::vector<std::string>{"h0", "h1"}, incarnation_);
  }
  void Stop(int i) { hosts_[i].reset(); }

  void RunFor(int rounds) {
    for (int step = 0; step < rounds * 4; ++step) {
      now_ += absl::Milliseconds(250);
      for (size_t i = 0; i < hosts_.size(); ++i) {
        if (hosts_[i]) ProbeOnce(*hosts_[i]);
      }
    }
  }

  size_t LiveAt(int i) const { return hosts_[i]->Live().size(); }
  Membership& at(int i) { return *hosts_[i]; }
  double messages = 0;
  double bytes = 0;

 private:
  void ProbeOnce(Membership& host) {
    const auto probe = host.Tick(now_);
    if (!probe) return;
    const int to = std::stoi(probe->address.substr(1));
    ++messages;
    bytes += static_cast<double>(ToJsonText(ToJson(probe->message)).size());
    std::optional<MemberMessage> answer;
    if (hosts_[to]) {
      answer = hosts_[to]->OnProbe(probe->message, now_);
      ++messages;
      bytes += static_cast<double>(ToJsonText(ToJson(*answer)).size());
    }
    host.OnAnswer(*probe, answer, now_);
  }

  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::vector<std::unique_ptr<Membership>> hosts_;
  uint64_t incarnation_ = 0;
};

TEST_CASE("membership: all hosts discover each other and drop a dead one") {
  Hosts hosts(12);
  hosts.RunFor(30);
  for (int i = 0; i < 12; ++i) CHECK(hosts.LiveAt(i) == 12);
  hosts.Stop(5);
  hosts.RunFor(30);
  for (int i = 0; i < 12; ++i) {
    if (i != 5) CHECK(hosts.LiveAt(i) == 11);
  }
}

TEST_CASE("membership: a restarted host has a new incarnation") {
  Hosts hosts(5);
  hosts.RunFor(20);
  const uint64_t before = hosts.at(0).all().at("h3").incarnation;
  hosts.Stop(3);
  hosts.RunFor(20);
  CHECK(hosts.at(0).all().at("h3").state == MemberState::kDead);
  hosts.Start(3);
  hosts.RunFor(20);
  CHECK(hosts.LiveAt(0) == 5);
  CHECK(hosts.at(0).all().at("h3").incarnation > before);
}

TEST_CASE("membership: a leave message takes effect at once") {
  Hosts hosts(4);
  hosts.RunFor(20);
  const MemberMessage leave_message = hosts.at(2).MakeLeaveMessage();
  hosts.at(0).OnProbe(leave_message, absl::FromUnixSeconds(2000));
  CHECK(hosts.LiveAt(0) == 3);
}

TEST_CASE(
    "membership: the cost per host does not grow with the number of hosts") {
  double first_bytes = 0;
  for (const int count : {2, 4, 8, 16, 32}) {
    Hosts hosts(count);
    hosts.RunFor(60);
    hosts.messages = hosts.bytes = 0;
    hosts.RunFor(100);
    const double messages = hosts.messages / (100.0 * count);
    const double bytes = hosts.bytes / (100.0 * count);
    if (first_bytes == 0) first_bytes = bytes;
    MESSAGE(count, " hosts: ", messages, " messages and ", bytes,
            " bytes of text per host and second");
    CHECK(messages <= 2.1);
    CHECK(bytes <= 1.5 * first_bytes);
  }
}

}  // namespace
}  // namespace keelbridge
