/// A child process of a test: its output is captured, and it is killed by the destructor.
#pragma once

#include <poll.h>
#include <spawn.h>
#include <sys/ptrace.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <vector>

extern char** environ;  // NOLINT: POSIX name

namespace cypresswall::testing {

class ChildProcess {
 public:
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments) {
    int pipe_ends[2];
    if (pipe(pipe_ends) != 0) {
      throw std::runtime_error("pipe failed");
    }
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDERR_FILENO);
    // A connection that this process closes stays open while another one holds it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::vector<char*> words = {const_cast<char*>(program.c_str())};
    for (const std::string& argument : arguments) {
      words.push_back(const_cast<char*>(argument.c_str()));
    }
    words.push_back(nullptr);
    const int result =
        posix_spawn(&process_, program.c_str(), &actions, nullptr, words.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    close(pipe_ends[1]);
    output_ = pipe_ends[0];
    if (result != 0) {
      throw std::runtime_error("can't start " + program);
    }
  }
  ~ChildProcess() {
    if (running_) {
      kill(process_, SIGKILL);
      // A process can only be reaped after all its traced threads.
      for (const pid_t thread : frozen_) {
        waitpid(thread, nullptr, __WALL);
      }
      waitpid(process_, nullptr, 0);
    }
    close(output_);
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void signal(int number) const { kill(process_, number); }

  /// Reads until the output contains `text`. \return false at the end of the output or on time-out
  bool waitForText(const std::string& text) {
    while (seen_.find(text) == std::string::npos) {
      if (!readMore()) {
        return false;
      }
    }
    return true;
  }

  /// Reads to the end of the output. \return the exit code, or -1 if a signal killed the process
  int waitForExit() {
    while (readMore()) {
    }
    int status = 0;
    waitpid(process_, &status, 0);
    running_ = false;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

  const std::string& output() const { return seen_; }

  /// Freezes all threads but the main thread, as on a platform that does not schedule them.
  /// \return the number of frozen threads
  std::size_t freezeOtherThreads() {
    const auto tasks = "/proc/" + std::to_string(process_) + "/task";
    for (const auto& entry : std::filesystem::directory_iterator(tasks)) {
      const auto thread = static_cast<pid_t>(std::stoi(entry.path().filename().string()));
      if (thread != process_ && ptrace(PTRACE_SEIZE, thread, nullptr, nullptr) == 0 &&
          ptrace(PTRACE_INTERRUPT, thread, nullptr, nullptr) == 0) {
        waitpid(thread, nullptr, __WALL);
        frozen_.push_back(thread);
      }
    }
    return frozen_.size();
  }

  /// \return true if the process ends within the time limit despite frozen threads
  bool endsWithFrozenThreads() {
    while (readMore()) {
    }
    return ended_;
  }

 private:
  bool readMore() {
    constexpr int kTimeLimitMilliseconds = 20000;
    pollfd wanted{output_, POLLIN, 0};
    if (poll(&wanted, 1, kTimeLimitMilliseconds) <= 0) {
      return false;
    }
    char buffer[4096];
    const auto size = read(output_, buffer, sizeof buffer);
    if (size <= 0) {
      ended_ = true;
      return false;
    }
    seen_.append(buffer, static_cast<std::size_t>(size));
    return true;
  }

  pid_t process_ = 0;
  bool running_ = true;
  /// The output pipe was closed.
  bool ended_ = false;
  int output_ = -1;
  std::string seen_;
  std::vector<pid_t> frozen_;
};

}  // namespace cypresswall::testing
