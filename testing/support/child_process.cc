#include "testing/support/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"

extern char** environ;

namespace keelbridge::testing {

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& output) {
  const std::string path = absl::StrCat(KEELBRIDGE_BINARY_DIR, "/", program);
  std::vector<std::string> words = arguments;
  words.insert(words.begin(), path);
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  for (const int fd : {STDOUT_FILENO, STDERR_FILENO}) {
    posix_spawn_file_actions_addopen(&actions, fd, output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  }
  posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  Wait();
}

void ChildProcess::Signal(int signal) {
  if (pid_ > 0) kill(pid_, signal);
}

int ChildProcess::Wait() {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, 0) != pid_) return -1;
  pid_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

long ChildProcess::ResidentKib() const {
  std::ifstream file(absl::StrCat("/proc/", pid_, "/status"));
  std::string word;
  long value = 0;
  while (file >> word) {
    if (word == "VmRSS:" && file >> value) return value;
  }
  return 0;
}

long ChildProcess::CpuMillis() const {
  std::ifstream file(absl::StrCat("/proc/", pid_, "/stat"));
  std::string text((std::istreambuf_iterator<char>(file)),
                   std::istreambuf_iterator<char>());
  // After the name in parentheses, the 12th and 13th fields are the user and
  // system processor times in clock ticks.
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) rest >> skipped;
  long user = 0;
  long system = 0;
  rest >> user >> system;
  return (user + system) * 1000 / sysconf(_SC_CLK_TCK);
}

}  // namespace keelbridge::testing
