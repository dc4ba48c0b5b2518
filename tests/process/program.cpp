#include "tests/process/program.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>

extern char** environ;  // NOLINT: POSIX name

namespace cypresswall::testing {

Program::Program(const std::string& name, const std::vector<std::string>& arguments,
                 const std::string& output_file) {
  const std::string path = std::string(CYPRESSWALL_PROGRAMS) + "/" + name;
  std::vector<char*> words = {const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) {
    words.push_back(const_cast<char*>(argument.c_str()));
  }
  words.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A connection that this process closes stays open while another one holds it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int result = posix_spawn(&process_, path.c_str(), &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (result != 0) {
    throw std::runtime_error("can't start " + path);
  }
}

Program::~Program() { kill(); }

void Program::signal(int number) const {
  if (running_) {
    ::kill(process_, number);
  }
}

void Program::kill() {
  if (running_) {
    ::kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    running_ = false;
  }
}

std::string Program::ending() const {
  siginfo_t found{};
  // WNOWAIT leaves the ended process to waitForExit() and kill().
  if (!running_ ||
      waitid(P_PID, static_cast<id_t>(process_), &found, WEXITED | WNOHANG | WNOWAIT) != 0 ||
      found.si_pid == 0) {
    return "";
  }
  return (found.si_code == CLD_EXITED ? "exit " : "signal ") + std::to_string(found.si_status);
}

int Program::waitForExit(int seconds) {
  constexpr int kMillisecondsPerSecond = 1000;
  const auto descriptor = static_cast<int>(syscall(SYS_pidfd_open, process_, 0));
  pollfd ended{descriptor, POLLIN, 0};
  const int ready = poll(&ended, 1, seconds * kMillisecondsPerSecond);
  close(descriptor);
  if (ready <= 0) {
    return -1;
  }
  int status = 0;
  waitpid(process_, &status, 0);
  running_ = false;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace cypresswall::testing
