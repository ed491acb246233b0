#include "keelbridge/coordination/decision.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

namespace keelbridge {
namespace {

constexpr std::array<const char*, kRejectionReasons> kRejectionTexts = {
    "too few free processors", "too little free memory",
    "too few free accelerators", "its rack already has its share",
    "room is reserved for other work"};

// Returns what would let a waiting task start, or an empty string.
const char* WhatWouldHelp(Rule rule) {
  switch (rule) {
    case Rule::kWaitsForCapacity:
      return "it starts when work ends, a worker joins, or its class is raised";
    case Rule::kWaitsForPreemption:
      return "it starts as soon as they have stopped";
    case Rule::kWaitsForHeadroom:
      return "it starts when interactive work shrinks, or with less headroom "
             "in the policy";
    default:
      return "";
  }
}

}  // namespace

const char* RuleText(Rule rule) {
  switch (rule) {
    case Rule::kBestFit:
      return "the least room that holds it";
    case Rule::kWorstFit:
      return "the most room, to keep work apart";
    case Rule::kAfterPreemption:
      return "others yielded for it";
    case Rule::kReservation:
      return "room was kept for it";
    case Rule::kAdopted:
      return "found running by a new leader";
    case Rule::kWaitsForCapacity:
      return "no worker has room now";
    case Rule::kWaitsForPreemption:
      return "others are yielding for it";
    case Rule::kWaitsForHeadroom:
      return "free room is kept for interactive work";
  }
  return "";
}

std::string Decision::ToText(const Cell& cell) const {
  std::string out = worker == kNoWorker
                        ? absl::StrCat("waiting: ", RuleText(rule))
                        : absl::StrCat("on ", cell.Name(worker), " (",
                                       cell.RackName(cell.Rack(worker)),
                                       "): ", RuleText(rule));
  if (preempted > 0)
    absl::StrAppendFormat(&out, "; %d yielded, losing %.0f s of work",
                          preempted, preemption_cost_s);
  absl::StrAppendFormat(&out, "; looked at %d workers", examined);
  for (int i = 0; i < kRejectionReasons; ++i) {
    if (rejections[i] > 0)
      absl::StrAppend(&out, ", ", rejections[i], " ruled out (",
                      kRejectionTexts[i], ")");
  }
  for (int i = 0; i < kMaxRunnersUp; ++i) {
    if (runner_up[i] == kNoWorker) break;
    absl::StrAppendFormat(&out, "; not %s (score %.3f, winner %.3f)",
                          cell.Name(runner_up[i]), runner_up_score[i], score);
  }
  const std::string help = WhatWouldHelp(rule);
  if (!help.empty()) absl::StrAppend(&out, "; ", help);
  return out;
}

}  // namespace keelbridge
