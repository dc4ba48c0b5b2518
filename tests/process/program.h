/// A program run by a test, with its output in a file. It is killed with the test.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace cypresswall::testing {

class Program {
 public:
  /// Starts the program of that name from the build folder. \throws std::runtime_error
  Program(const std::string& name, const std::vector<std::string>& arguments,
          const std::string& output_file);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void signal(int number) const;
  /// Sends SIGKILL and waits for the end.
  void kill();
  /// Waits for the end, at most `seconds`. \return the exit code; -1 if a signal or the time ended
  ///   the wait
  int waitForExit(int seconds);

 private:
  pid_t process_ = 0;
  bool running_ = true;
};

}  // namespace cypresswall::testing
