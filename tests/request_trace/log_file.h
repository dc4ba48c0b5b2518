/// Log files on disk for tests.
#pragma once

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "tests/request_trace/log_lines.h"

namespace cypresswall::request_trace::testing {

/// A temporary log file, deleted by the destructor.
class LogFile {
 public:
  explicit LogFile(const Log& lines) {
    std::string name = (std::filesystem::temp_directory_path() / "request-trace-XXXXXX").string();
    const int file = mkstemp(name.data());
    CPPUNIT_ASSERT(file >= 0);
    close(file);
    path_ = name;
    std::ofstream stream(path_);
    for (const std::string& line : lines) {
      stream << line << "\n";
    }
  }
  ~LogFile() { std::filesystem::remove(path_); }
  LogFile(const LogFile&) = delete;
  LogFile& operator=(const LogFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace cypresswall::request_trace::testing
