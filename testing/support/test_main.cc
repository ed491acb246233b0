// Runs all tests with fixed seeds, so that results are reproducible.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  // Sets RapidCheck's seed unless the environment already sets its parameters.
  setenv("RC_PARAMS", "seed=20261202", 0);
  doctest::Context context(argc, argv);
  return context.run();
}
