#include "keelbridge/membership/member_list.h"

#include <random>

#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace keelbridge {
namespace {

using Apply = MemberList::ApplyResult;

SiteMember Named(int i, double capacity = 1) {
  return {absl::StrCat("node-", i), absl::StrCat("host:", i), "zone", true,
          capacity};
}

MemberList ListOf(int count) {
  MemberList list;
  list.SetOwner(1);
  for (int i = 0; i < count; ++i) list.Set(Named(i));
  return list;
}

TEST_CASE("member list: a copy gets only the changes") {
  MemberList list = ListOf(600);
  MemberList copy;
  CHECK(copy.Apply(list.UpdateSince(copy.state())) == Apply::kApplied);
  CHECK(list.UpdateSince(copy.state()).empty());
  list.Set(Named(7, 0.5));
  list.Remove("node-8");
  const MemberUpdate update = list.UpdateSince(copy.state());
  CHECK_FALSE(update.whole_list);
  CHECK(update.changed.size() == 1);
  CHECK(update.removed.size() == 1);
  CHECK(copy.Apply(update) == Apply::kApplied);
  CHECK(copy.members() == list.members());
  CHECK(copy.state() == list.state());
}

TEST_CASE("member list: a copy of a copy, and a copy that becomes the owner") {
  MemberList list = ListOf(100);
  MemberList first;
  MemberList second;
  first.Apply(list.UpdateSince(first.state()));
  second.Apply(first.UpdateSince(second.state()));
  list.Set(Named(100));
  first.Apply(list.UpdateSince(first.state()));
  // `second` is still one change behind as `first` becomes the owner.
  first.SetOwner(2);
  first.Remove("node-0");
  const MemberUpdate update = first.UpdateSince(second.state());
  CHECK_FALSE(update.whole_list);
  CHECK(second.Apply(update) == Apply::kApplied);
  CHECK(second.members() == first.members());
}

TEST_CASE("member list: an unknown state gets the whole list") {
  MemberList list = ListOf(10);
  ListState diverged = list.state();
  diverged.digest += 1;
  CHECK(list.UpdateSince(diverged).whole_list);
  for (size_t i = 0; i <= MemberList::kMaxHistory; ++i)
    list.Set(Named(0, static_cast<double>(i + 2)));
  CHECK(list.UpdateSince(ListOf(10).state()).whole_list);
}

TEST_CASE("member list: faulty updates are refused, and the list is kept") {
  MemberList list = ListOf(10);
  MemberList copy;
  copy.Apply(list.UpdateSince(copy.state()));
  list.Set(Named(10));
  MemberUpdate update = list.UpdateSince(copy.state());

  SUBCASE("another base") {
    update.base.version += 5;
    CHECK(copy.Apply(update) == Apply::kOtherBase);
    CHECK(copy.state().owner == 1);
  }
  SUBCASE("a member twice") {
    update.changed.push_back(update.changed.front());
    CHECK(copy.Apply(update) == Apply::kDuplicate);
  }
  SUBCASE("another digest") {
    update.state.digest += 1;
    CHECK(copy.Apply(update) == Apply::kDigestMismatch);
    CHECK(copy.state().owner == 0);
  }
  SUBCASE("too many") {
    for (size_t i = 0; i <= MemberList::kMaxMembers; ++i)
      update.changed.push_back(Named(static_cast<int>(i) + 100));
    CHECK(copy.Apply(update) == Apply::kTooLong);
  }
  CHECK(copy.size() == 10);
  // The next update sets it right.
  CHECK(copy.Apply(list.UpdateSince(copy.state())) == Apply::kApplied);
  CHECK(copy.members() == list.members());
}

TEST_CASE("member list: copies of drawn changes are equal") {
  std::mt19937 random(5);
  MemberList list = ListOf(20);
  MemberList copy;
  for (int step = 0; step < 2000; ++step) {
    const int i = static_cast<int>(random() % 40);
    if (random() % 3 == 0)
      list.Remove(absl::StrCat("node-", i));
    else
      list.Set(Named(i, static_cast<double>(random() % 5)));
    if (random() % 4 != 0) continue;
    REQUIRE(copy.Apply(list.UpdateSince(copy.state())) == Apply::kApplied);
    REQUIRE(copy.members() == list.members());
  }
}

}  // namespace
}  // namespace keelbridge
