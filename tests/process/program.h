/// A program started by a test, with its output in a file. The destructor kills it.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace cypresswall::testing {

class Program {
 public:
  /// Starts the program `name` from the build folder. \throws std::runtime_error
  Program(const std::string& name, const std::vector<std::string>& arguments,
          const std::string& output_file);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  pid_t id() const { return process_; }
  void signal(int number) const;
  /// Sends SIGKILL and waits until the process has ended.
  void kill();
  /// Waits at most `seconds` until the process has ended. \return the exit code; -1 on a time-out
  ///   or if a signal ended the process
  int waitForExit(int seconds);
  /// \return how the process has ended by itself, "exit 1" or "signal 11"; empty while it runs and
  ///   after kill()
  std::string ending() const;

 private:
  pid_t process_ = 0;
  bool running_ = true;
};

}  // namespace cypresswall::testing
