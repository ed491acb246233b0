// A program of ours run as a process by a test, ended by id when the test ends.
//
//   ChildProcess gateway("keelbridge-gateway", {"--settings=" + path});
//   gateway.Signal(SIGKILL);

#ifndef KEELBRIDGE_TESTING_SUPPORT_CHILD_PROCESS_H_
#define KEELBRIDGE_TESTING_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace keelbridge::testing {

class ChildProcess {
 public:
  // `program` is a name in the build directory. Output goes to `output`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& output);
  ~ChildProcess();  // Kills it when it still runs.
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal);
  // Waits for its end: the exit code, or minus the signal that ended it.
  int Wait();
  // Resident memory in KiB, and processor time used so far in milliseconds.
  long ResidentKib() const;
  long CpuMillis() const;

 private:
  pid_t pid_ = -1;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_CHILD_PROCESS_H_
