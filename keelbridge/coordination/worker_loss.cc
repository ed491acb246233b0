#include "keelbridge/coordination/worker_loss.h"

namespace keelbridge {

const char* WorkerLossName(WorkerLoss loss) {
  switch (loss) {
    case WorkerLoss::kCrash:
      return "it crashed: another life answered";
    case WorkerLoss::kLeft:
      return "it left: another life answered";
    case WorkerLoss::kUnresponsive:
      return "its lease expired without an answer";
  }
  return "";
}

}  // namespace keelbridge
