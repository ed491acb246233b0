// Runs a program of this project as a child process of a test and kills it, by
// its process id, when the object is destroyed.
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
  // Starts `program`, a file name in the build directory. Appends its standard
  // output and standard error to the file `output`.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& output);
  ~ChildProcess();  // Kills the process if it is still running.
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal);
  // Waits until the process ends. Returns its exit code, or the negated number
  // of the signal that ended it.
  int Wait();
  // Returns the resident memory in KiB.
  long ResidentKib() const;
  // Returns the processor time used so far, in milliseconds.
  long CpuMillis() const;

 private:
  pid_t pid_ = -1;
};

}  // namespace keelbridge::testing

#endif  // KEELBRIDGE_TESTING_SUPPORT_CHILD_PROCESS_H_
