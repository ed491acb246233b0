// Main function of keelbridge-scheduler; see keelbridge/daemon/scheduler.h.

#include <iostream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "keelbridge/daemon/daemon_main.h"
#include "keelbridge/daemon/scheduler.h"

ABSL_FLAG(std::string, settings, "", "settings file (JSON with comments)");
ABSL_FLAG(bool, version, false, "print the version and exit");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "keelbridge-scheduler --settings=FILE\nValidate a settings file with: "
      "keelbridge check FILE");
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_version)) {
    std::cout << "keelbridge-scheduler " << KEELBRIDGE_VERSION << "\n";
    return keelbridge::kExitOk;
  }
  return keelbridge::RunDaemon<keelbridge::Scheduler>(
      "keelbridge-scheduler", absl::GetFlag(FLAGS_settings));
}
