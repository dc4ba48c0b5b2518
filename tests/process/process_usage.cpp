#include "tests/process/process_usage.h"

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <system_error>

namespace cypresswall::testing {
namespace {

constexpr std::size_t kBytesPerKibibyte = 1024;

std::string procFile(pid_t process, const std::string& name) {
  return "/proc/" + std::to_string(process) + "/" + name;
}

/// \return the inodes of the process's sockets
std::set<std::string> socketsOf(pid_t process) {
  const std::string prefix = "socket:[";
  std::set<std::string> sockets;
  std::error_code error;
  std::filesystem::directory_iterator entry(procFile(process, "fd"), error);
  while (!error && entry != std::filesystem::directory_iterator()) {
    std::error_code gone;
    const std::string target = std::filesystem::read_symlink(entry->path(), gone).string();
    if (target.rfind(prefix, 0) == 0) {
      sockets.insert(target.substr(prefix.size(), target.size() - prefix.size() - 1));
    }
    entry.increment(error);
  }
  return sockets;
}

}  // namespace

std::size_t peakResidentBytes(pid_t process) {
  std::ifstream status(procFile(process, "status"));
  const std::string label = "VmHWM:";
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind(label, 0) == 0) {
      return std::stoul(line.substr(label.size())) * kBytesPerKibibyte;
    }
  }
  return 0;
}

std::size_t openDescriptors(pid_t process) {
  std::error_code error;
  std::size_t count = 0;
  std::filesystem::directory_iterator entry(procFile(process, "fd"), error);
  while (!error && entry != std::filesystem::directory_iterator()) {
    ++count;
    entry.increment(error);
  }
  return count;
}

std::size_t unreadBytes(pid_t process) {
  constexpr int kHexadecimal = 16;
  const std::string listening = "0A";
  const auto sockets = socketsOf(process);
  std::ifstream table(procFile(process, "net/tcp"));
  std::string line;
  std::getline(table, line);
  std::size_t bytes = 0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number, local, remote, state, queues, timer, retransmits, user, timeout, inode;
    fields >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >>
        timeout >> inode;
    if (state != listening && sockets.contains(inode)) {
      bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, kHexadecimal);
    }
  }
  return bytes;
}

}  // namespace cypresswall::testing
