#include "keelbridge/coordination/idempotency.h"

#include <doctest/doctest.h>

#include <memory>
#include <random>
#include <utility>

#include "keelbridge/coordination/log_writer.h"
#include "testing/fakes/fake_log.h"

namespace keelbridge {
namespace {

const absl::Time kWall = absl::FromUnixSeconds(1000000);

TEST_CASE(
    "ticket: valid once, only in the incarnation that issued it, until it "
    "expires") {
  TicketTable table("gw", 7, absl::Seconds(60));
  Result<Ticket> ticket = TicketFromText(table.Issue(kWall));
  REQUIRE(ticket.has_value());
  CHECK(table.IssuedByThisIncarnation(ticket.value()));
  CHECK(table.Use(ticket.value(), kWall) == TicketUse::kFirst);
  CHECK(table.Use(ticket.value(), kWall) == TicketUse::kUsed);
  table.Release(ticket.value());
  CHECK(table.Use(ticket.value(), kWall) == TicketUse::kFirst);

  Result<Ticket> expired = TicketFromText(table.Issue(kWall));
  CHECK(table.Use(expired.value(), kWall + absl::Seconds(61)) ==
        TicketUse::kUsed);

  TicketTable next_incarnation("gw", 8);
  CHECK_FALSE(next_incarnation.IssuedByThisIncarnation(ticket.value()));
  Ticket forged = ticket.value();
  forged.number = 99;
  CHECK(table.Use(forged, kWall) == TicketUse::kUsed);
  CHECK_FALSE(TicketFromText("nonsense").has_value());
}

TEST_CASE("expired tickets are dropped from memory and still refused") {
  TicketTable table("gw", 7, absl::Seconds(1));
  for (int i = 0; i < 1000; ++i) {
    const absl::Time wall = kWall + absl::Seconds(i);
    const Ticket ticket = TicketFromText(table.Issue(wall)).value();
    CHECK(table.Use(ticket, wall) == TicketUse::kFirst);
  }
  CHECK(table.size() <= 3);
}

LogWriter::Options WriterOptions(uint64_t id) {
  LogWriter::Options options;
  options.incarnation = id;
  options.append_interval = absl::ZeroDuration();
  options.initial_backoff = absl::ZeroDuration();
  return options;
}

// The claim protocol of one gateway.
struct Claimant {
  explicit Claimant(uint64_t id) : table(id), writer(WriterOptions(id)) {
    writer.Add(KeyClaimEntry{"k", id});
  }
  ClaimTable table;
  LogWriter writer;
  bool dispatched = false;
};

// Three gateways receive the same request. Appends and reads happen in random
// order, answers are lost, and a gateway may stop at any step. If `claims` is
// false, the gateways dispatch without a claim. Returns the number of
// dispatches.
int CountDispatches(uint64_t seed, bool claims) {
  std::mt19937_64 random(seed);
  const auto pick = [&random](int n) {
    return std::uniform_int_distribution<int>(0, n - 1)(random);
  };
  testing::FakeLog log;
  std::vector<std::unique_ptr<Claimant>> gateways;
  for (uint64_t id = 1; id <= 3; ++id) {
    gateways.push_back(std::make_unique<Claimant>(id));
  }
  int dispatches = 0;
  for (int step = 0; step < 60; ++step) {
    Claimant& gateway = *gateways[pick(3)];
    switch (pick(3)) {
      case 0:
        if (auto envelope = gateway.writer.Next(kWall)) {
          const int64_t offset =
              log.Append(kClaimsStream, EnvelopeToText(*envelope), kWall);
          gateway.writer.OnAnswer(
              pick(3) == 0 ? std::nullopt : std::optional<int64_t>(offset),
              kWall);
        }
        break;
      case 1:
        gateway.table.OnBatch(log.Read(kClaimsStream, gateway.table.next(),
                                       1 + static_cast<size_t>(pick(3)),
                                       kWall));
        break;
      default: {
        const bool may_dispatch =
            !claims || gateway.table.OwnerOf("k") == ClaimTable::Owner::kSelf;
        if (may_dispatch && !std::exchange(gateway.dispatched, true))
          ++dispatches;
      }
    }
  }
  return dispatches;
}

TEST_CASE("claims: the same key at three gateways is dispatched at most once") {
  int dispatched = 0;
  int duplicates_without_claims = 0;
  for (uint64_t seed = 1; seed <= 1000; ++seed) {
    CAPTURE(seed);
    const int count = CountDispatches(seed, true);
    CHECK(count <= 1);
    dispatched += count;
    duplicates_without_claims += CountDispatches(seed, false) > 1 ? 1 : 0;
  }
  MESSAGE("of 1000 seeds: dispatched in ", dispatched,
          ", without claims dispatched twice in ", duplicates_without_claims);
  CHECK(dispatched > 900);
  CHECK(duplicates_without_claims > 0);
}

TEST_CASE(
    "claims: a key can be claimed again only after its owner released it") {
  testing::FakeLog log;
  ClaimTable table(2);
  const auto append = [&log](EnvelopeId id, LogEntry entry) {
    log.Append(kClaimsStream, EnvelopeToText({id, {std::move(entry)}}), kWall);
  };
  append({1, 1}, KeyClaimEntry{"k", 1});
  append({2, 1}, KeyReleaseEntry{"k", 2});
  append({2, 2}, KeyClaimEntry{"k", 2});
  table.OnBatch(log.Read(kClaimsStream, 0, 100, kWall));
  CHECK(table.OwnerOf("k") == ClaimTable::Owner::kOther);
  append({1, 2}, KeyReleaseEntry{"k", 1});
  append({2, 3}, KeyClaimEntry{"k", 2});
  table.OnBatch(log.Read(kClaimsStream, table.next(), 100, kWall));
  CHECK(table.OwnerOf("k") == ClaimTable::Owner::kSelf);
}

}  // namespace
}  // namespace keelbridge
