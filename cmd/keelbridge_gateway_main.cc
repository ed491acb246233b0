// Main function of keelbridge-gateway; see keelbridge/daemon/gateway.h.

#include <iostream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "keelbridge/daemon/daemon_main.h"
#include "keelbridge/daemon/gateway.h"

ABSL_FLAG(std::string, settings, "", "settings file (JSON with comments)");
ABSL_FLAG(bool, version, false, "print the version and exit");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "keelbridge-gateway --settings=FILE\nValidate a settings file with: "
      "keelbridge check FILE");
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_version)) {
    std::cout << "keelbridge-gateway " << KEELBRIDGE_VERSION << "\n";
    return keelbridge::kExitOk;
  }
  return keelbridge::RunDaemon<keelbridge::Gateway>(
      "keelbridge-gateway", absl::GetFlag(FLAGS_settings));
}
