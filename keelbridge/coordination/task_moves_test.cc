#include "keelbridge/coordination/task_moves.h"

#include <doctest/doctest.h>

namespace keelbridge {
namespace {

const TaskId kFirst{7, 0, 1, 0};
const TaskId kSecond{7, 0, 1, 1};
const TaskId kOfOtherStep{7, 0, 2, 0};

TEST_CASE("task moves: a task moves with the run that was told to stop") {
  TaskMoves moves;
  CHECK_FALSE(moves.IsMoving(kFirst, 3));
  moves.Begin(kFirst, {3, "b", absl::InfiniteFuture()});
  CHECK(moves.IsMoving(kFirst, 3));
  CHECK_FALSE(moves.IsMoving(kFirst, 4));
  CHECK_FALSE(moves.IsMoving(kSecond, 3));
}

TEST_CASE("task moves: the moves of a step to a worker are counted") {
  TaskMoves moves;
  moves.Begin(kFirst, {3, "b", absl::InfiniteFuture()});
  moves.Begin(kOfOtherStep, {3, "b", absl::InfiniteFuture()});
  CHECK(moves.CountMovesTo("b", kSecond) == 1);
  CHECK(moves.CountMovesTo("c", kSecond) == 0);
}

TEST_CASE("task moves: only those that are to be kept remain") {
  TaskMoves moves;
  moves.Begin(kFirst, {3, "b", absl::InfiniteFuture()});
  moves.Begin(kSecond, {3, "c", absl::InfiniteFuture()});
  moves.KeepIf(
      [](const TaskId&, const TaskMove& move) { return move.to == "c"; });
  CHECK_FALSE(moves.IsMoving(kFirst, 3));
  CHECK(moves.IsMoving(kSecond, 3));
}

}  // namespace
}  // namespace keelbridge
