#include "keelbridge/coordination/source_reads.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

using Step = SourceReads::Step;

absl::Time At(int64_t ms) {
  return absl::UnixEpoch() + absl::Hours(1) + absl::Milliseconds(ms);
}

TEST_CASE("source reads: one read at a time, with a minimum interval") {
  SourceReads reads({});
  CHECK(reads.Next(At(0)) == Step::kRead);
  CHECK(reads.Next(At(100)) == Step::kNone);
  reads.OnReadEnded(At(0), true);
  CHECK(reads.Next(At(200)) == Step::kNone);
  CHECK(reads.Next(At(499)) == Step::kNone);
  CHECK(reads.Next(At(500)) == Step::kRead);
  reads.OnReadEnded(At(500), true);
  reads.ExpediteNextRead();
  CHECK(reads.Next(At(510)) == Step::kRead);
  reads.OnReadEnded(At(510), true);
  CHECK(reads.Next(At(520)) == Step::kNone);
}

TEST_CASE(
    "source reads: while a read hangs the source is probed, and read again "
    "once a probe is answered") {
  SourceReads reads({});
  CHECK(reads.Next(At(0)) == Step::kRead);
  CHECK(reads.Next(At(499)) == Step::kNone);
  CHECK_FALSE(reads.suspect());
  CHECK(reads.Next(At(500)) == Step::kProbe);
  CHECK(reads.suspect());
  CHECK(reads.Next(At(900)) == Step::kNone);
  reads.OnProbeEnded(false);
  CHECK(reads.Next(At(990)) == Step::kNone);
  CHECK(reads.Next(At(1000)) == Step::kProbe);
  reads.OnProbeEnded(true);
  CHECK(reads.Next(At(1010)) == Step::kRead);
  CHECK(reads.Next(At(1020)) == Step::kNone);
  reads.OnReadEnded(At(1010), true);
  CHECK_FALSE(reads.suspect());
  // The hanging read delays nothing, and abandoning it says nothing about the
  // current state of the source.
  CHECK(reads.Next(At(1600)) == Step::kRead);
  reads.OnReadEnded(At(0), false);
  CHECK_FALSE(reads.suspect());
  reads.OnReadEnded(At(1600), true);
  CHECK(reads.Next(At(2500)) == Step::kRead);
}

TEST_CASE(
    "source reads: after a failed read the source is probed before the next "
    "read") {
  SourceReads reads({});
  CHECK(reads.Next(At(0)) == Step::kRead);
  reads.OnReadEnded(At(0), false);
  CHECK(reads.suspect());
  CHECK(reads.Next(At(100)) == Step::kProbe);
  reads.OnProbeEnded(false);
  CHECK(reads.Next(At(600)) == Step::kProbe);
  reads.OnProbeEnded(true);
  CHECK(reads.Next(At(620)) == Step::kRead);
  // A read after an answered probe may take longer, and no other read starts in
  // the meantime.
  CHECK(reads.Next(At(1610)) == Step::kNone);
  CHECK(reads.Next(At(1620)) == Step::kProbe);
}

TEST_CASE("source reads: an abandoned read does not make a later one suspect") {
  SourceReads reads({});
  CHECK(reads.Next(At(0)) == Step::kRead);
  CHECK(reads.Next(At(500)) == Step::kProbe);
  reads.OnProbeEnded(true);
  CHECK(reads.Next(At(510)) == Step::kRead);
  reads.OnReadEnded(At(0), false);
  CHECK_FALSE(reads.suspect());
  CHECK(reads.Next(At(1100)) == Step::kNone);
  reads.OnReadEnded(At(510), false);
  CHECK(reads.suspect());
}

TEST_CASE("source reads: the number of reads in flight is bounded") {
  SourceReads reads({});
  CHECK(reads.Next(At(0)) == Step::kRead);
  for (const int64_t now : {int64_t{500}, int64_t{1510}}) {
    CHECK(reads.Next(At(now)) == Step::kProbe);
    reads.OnProbeEnded(true);
    CHECK(reads.Next(At(now + 10)) == Step::kRead);
  }
  CHECK(reads.Next(At(2520)) == Step::kProbe);
  reads.OnProbeEnded(true);
  CHECK(reads.Next(At(2530)) == Step::kNone);
  // One read is abandoned, and the next read takes its place.
  reads.OnReadEnded(At(0), false);
  CHECK(reads.Next(At(2540)) == Step::kRead);
}

}  // namespace
}  // namespace keelbridge
