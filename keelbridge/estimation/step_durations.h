// The durations by which the scheduler computes objectives and admits jobs.
//
//   ClientEstimates estimates;
//   absl::Duration length = estimates.ExpectedStep("restore", spec.steps[0]);

#ifndef KEELBRIDGE_ESTIMATION_STEP_DURATIONS_H_
#define KEELBRIDGE_ESTIMATION_STEP_DURATIONS_H_

#include <string>

#include "absl/time/time.h"
#include "keelbridge/protocol/job.h"

namespace keelbridge {

class StepDurations {
 public:
  virtual ~StepDurations() = default;

  // Returns the expected duration of a step of a queue, that is, of its longest
  // successful run.
  virtual absl::Duration ExpectedStep(const std::string& queue,
                                      const StepSpec& step) const = 0;
};

// Durations as the clients estimate them.
class ClientEstimates : public StepDurations {
 public:
  absl::Duration ExpectedStep(const std::string& /*queue*/,
                              const StepSpec& step) const override {
    return absl::Milliseconds(step.estimated_ms);
  }
};

}  // namespace keelbridge

#endif  // KEELBRIDGE_ESTIMATION_STEP_DURATIONS_H_
