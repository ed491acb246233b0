#include "keelbridge/membership/site_membership.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace keelbridge {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(50);
constexpr absl::Duration kPeriod = absl::Milliseconds(250);
constexpr absl::Duration kMinInterval = absl::Milliseconds(100);
constexpr absl::Duration kHop = absl::Milliseconds(1);
constexpr absl::Duration kTimeout = absl::Milliseconds(250);
constexpr absl::Duration kRetryDelay = absl::Milliseconds(40);
constexpr int kZones = 5;
constexpr int kStrongPerZone = 12;

// The nodes of a site, which exchange heartbeats on a virtual clock.
class HeartbeatSite {
 public:
  explicit HeartbeatSite(int nodes, double lost = 0) : lost_(lost) {
    for (int i = 0; i < nodes; ++i) AddNode();
  }

  void AddNode() {
    const int i = static_cast<int>(nodes_.size());
    const bool strong = i < kZones * kStrongPerZone;
    const SiteMember self{absl::StrCat("node-", i), absl::StrCat("host:", i),
                          absl::StrCat("zone-", i % kZones), true,
                          strong ? 1.0 : 0.12};
    nodes_.push_back(std::make_unique<Node>(self, i + 1));
    index_[self.name] = i;
    At(i).membership.OnLeader("node-0", 1, i == 0, now_);
    const auto offset =
        absl::Microseconds(std::uniform_int_distribution<>(0, 249999)(random_));
    At(i).next_heartbeat = now_ + offset;
    After(absl::Microseconds(i % 50 * 1000), [this, i] { Tick(i); });
  }

  void Run(absl::Duration duration) {
    const absl::Time end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.step();
    }
    now_ = end;
  }

  void Kill(int i) { At(i).dead = true; }
  // Every action of the node takes effect this much later.
  void Slow(int i, absl::Duration delay) { At(i).delay = delay; }
  void Lead(int i, int64_t epoch) {
    for (size_t node = 0; node < nodes_.size(); ++node)
      nodes_[node]->membership.OnLeader(absl::StrCat("node-", i), epoch,
                                        static_cast<int>(node) == i, now_);
    leader_ = i;
  }

  // Number of living nodes whose list holds all living nodes and no other.
  size_t NodesThatKnowAll() const {
    size_t living = 0;
    for (const auto& node : nodes_) living += node->dead ? 0 : 1;
    return static_cast<size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [&](const auto& node) {
          return !node->dead && KnowsAll(*node, living);
        }));
  }
  bool AnyoneKnows(int i) const {
    return std::any_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
      return !node->dead &&
             node->membership.members().Find(absl::StrCat("node-", i));
    });
  }
  int64_t MembersLost() const {
    int64_t lost = 0;
    for (const auto& node : nodes_) lost += node->membership.members_lost();
    return lost;
  }
  void ResetCounts() {
    for (const auto& node : nodes_) node->messages = node->rows = 0;
  }
  // The most messages, and rows about members, that a node sent and received.
  int64_t MostMessages() const { return Most(&Node::messages); }
  int64_t MostRows() const { return Most(&Node::rows); }

 private:
  struct Node {
    Node(const SiteMember& self, int incarnation)
        : membership(self, static_cast<uint64_t>(incarnation),
                     SiteMembership::Options()) {}
    SiteMembership membership;
    absl::Time next_heartbeat;
    absl::Duration delay;
    bool in_flight = false;
    bool dead = false;
    int64_t messages = 0;
    int64_t rows = 0;
  };
  struct Event {
    absl::Time at;
    int64_t number;
    std::function<void()> step;
    bool operator<(const Event& other) const {
      return std::make_pair(at, number) >
             std::make_pair(other.at, other.number);
    }
  };

  static bool KnowsAll(const Node& node, size_t living) {
    return node.membership.members().size() == living;
  }
  Node& At(int i) { return *nodes_[static_cast<size_t>(i)]; }
  int64_t Most(int64_t Node::*count) const {
    int64_t most = 0;
    for (const auto& node : nodes_) most = std::max(most, (*node).*count);
    return most;
  }
  void After(absl::Duration delay, std::function<void()> step) {
    events_.push({now_ + delay, ++event_number_, std::move(step)});
  }
  bool Lost() {
    return std::uniform_real_distribution<>(0, 1)(random_) < lost_;
  }

  void Tick(int i) {
    Node& node = At(i);
    if (node.dead) return;
    node.membership.Update(now_);
    const bool due = now_ >= node.next_heartbeat ||
                     (node.membership.HasNews() &&
                      now_ >= node.next_heartbeat - kPeriod + kMinInterval);
    if (i != leader_ && !node.in_flight && due) {
      node.next_heartbeat = now_ + kPeriod;
      Heartbeat(i);
    }
    After(kTick + node.delay, [this, i] { Tick(i); });
  }

  void Heartbeat(int i) {
    Node& node = At(i);
    node.in_flight = true;
    const SiteMember* parent = node.membership.Parent(now_);
    const std::string to =
        parent == nullptr ? absl::StrCat("node-", leader_) : parent->name;
    const HeartbeatReport report = node.membership.MakeReport(to);
    Count(node, report.subtree);
    const int receiver = index_.at(to);
    auto answered = std::make_shared<bool>(false);
    if (!Lost()) {
      After(kHop + node.delay + At(receiver).delay,
            [this, i, receiver, report, answered] {
              Deliver(i, receiver, report, answered);
            });
    }
    After(kTimeout + node.delay, [this, i, to, answered] {
      if (*answered || At(i).dead) return;
      At(i).in_flight = false;
      At(i).membership.OnNoAnswer(to, false, now_);
      After(kRetryDelay, [this, i] {
        if (!At(i).in_flight && i != leader_) Heartbeat(i);
      });
    });
  }

  void Deliver(int sender, int receiver, const HeartbeatReport& report,
               const std::shared_ptr<bool>& answered) {
    Node& node = At(receiver);
    if (node.dead) return;
    Count(node, report.subtree);
    auto result = MemberList::ApplyResult::kApplied;
    const HeartbeatReportAnswer answer =
        node.membership.HandleReport(report, now_, &result);
    if (Lost()) return;
    After(kHop,
          [this, sender, answer, answered, from = node.membership.self().name] {
            if (*answered || At(sender).dead) return;
            if (!At(sender).in_flight)
              return;  // It counts as unanswered already.
            *answered = true;
            At(sender).in_flight = false;
            if (answer.members) Count(At(sender), *answer.members);
            At(sender).membership.OnAnswer(from, answer);
          });
    if (answer.members) node.rows += RowsOf(*answer.members);
    node.messages += 1;
  }

  static int64_t RowsOf(const MemberUpdate& update) {
    return static_cast<int64_t>(update.changed.size() + update.removed.size());
  }
  static void Count(Node& node, const MemberUpdate& update) {
    node.messages += 1;
    node.rows += RowsOf(update);
  }

  const double lost_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::mt19937_64 random_{7};
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, int> index_;  // By name.
  int leader_ = 0;
  std::priority_queue<Event> events_;
  int64_t event_number_ = 0;
};

constexpr double kRunSeconds = 60;

TEST_CASE("site membership: messages do not grow with the site") {
  int64_t messages_at_150 = 0;
  for (const int nodes : {150, 600, 1200}) {
    CAPTURE(nodes);
    HeartbeatSite site(nodes);
    site.Run(absl::Seconds(10));
    CHECK(site.NodesThatKnowAll() == static_cast<size_t>(nodes));
    site.ResetCounts();
    site.Run(absl::Seconds(kRunSeconds));
    CHECK(site.NodesThatKnowAll() == static_cast<size_t>(nodes));
    CHECK(site.MembersLost() == 0);
    CHECK(site.MostRows() == 0);
    // A message is counted at its sender and at its receiver.
    const auto per_second =
        static_cast<double>(site.MostMessages()) / kRunSeconds;
    MESSAGE(nodes << " nodes: the busiest handles " << per_second
                  << " messages a second");
    if (nodes == 150) messages_at_150 = site.MostMessages();
    CHECK(static_cast<double>(site.MostMessages()) <
          static_cast<double>(messages_at_150) * std::sqrt(nodes / 150.0) + 1);
  }
}

TEST_CASE("site membership: a death is known to all within 2 s") {
  for (const int nodes : {150, 600, 1200}) {
    // The root of a zone's part of the tree, a strong node, a weak one.
    for (const int dead : {1, 17, nodes - 1}) {
      CAPTURE(nodes);
      CAPTURE(dead);
      HeartbeatSite site(nodes);
      site.Run(absl::Seconds(10));
      site.Kill(dead);
      site.Run(absl::Seconds(2));
      CHECK_FALSE(site.AnyoneKnows(dead));
      CHECK(site.NodesThatKnowAll() == static_cast<size_t>(nodes - 1));
      CHECK(site.MembersLost() == 1);
    }
  }
}

TEST_CASE("site membership: no false loss at lost messages and a slow node") {
  HeartbeatSite site(600, 0.02);
  site.Slow(599, absl::Milliseconds(20));
  site.Slow(3, absl::Milliseconds(20));
  site.Run(absl::Seconds(10));
  CHECK(site.NodesThatKnowAll() == 600);
  site.Run(absl::Seconds(kRunSeconds));
  CHECK(site.MembersLost() == 0);
}

TEST_CASE("site membership: a new leader keeps the list") {
  HeartbeatSite site(600);
  site.Run(absl::Seconds(10));
  site.ResetCounts();
  site.Kill(0);
  site.Lead(7, 2);
  site.Run(absl::Seconds(5));
  CHECK(site.NodesThatKnowAll() == 599);
  CHECK(site.MembersLost() == 0);
  // A parent receives its children's subtrees again, but no node is sent the
  // whole list.
  CHECK(site.MostRows() < 2 * 600);
}

TEST_CASE("site membership: nodes that join are known to all soon") {
  HeartbeatSite site(300);
  site.Run(absl::Seconds(10));
  for (int i = 0; i < 100; ++i) site.AddNode();
  site.Run(absl::Seconds(3));
  CHECK(site.NodesThatKnowAll() == 400);
}

}  // namespace
}  // namespace keelbridge
