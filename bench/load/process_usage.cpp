#include "bench/load/process_usage.h"

#include <unistd.h>

#include <charconv>
#include <fstream>
#include <sstream>

namespace cypresswall::bench {

std::vector<WatchedProcess> parseWatchList(const std::string& text) {
  std::vector<WatchedProcess> processes;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    const auto separator = part.find('=');
    if (separator == std::string::npos) {
      throw WatchListError("\"" + part + "\" is not name=pid");
    }
    WatchedProcess process;
    process.name = part.substr(0, separator);
    const char* end = part.data() + part.size();
    const auto parsed = std::from_chars(part.data() + separator + 1, end, process.pid);
    if (parsed.ec != std::errc() || parsed.ptr != end || process.pid <= 0) {
      throw WatchListError("\"" + part + "\" has no process identifier");
    }
    processes.push_back(process);
  }
  return processes;
}

std::optional<ProcessUsage> readProcessUsage(int pid) {
  const std::string folder = "/proc/" + std::to_string(pid);
  std::ifstream stat_file(folder + "/stat");
  std::ifstream memory_file(folder + "/statm");
  std::string stat;
  std::uint64_t total_pages = 0;
  std::uint64_t resident_pages = 0;
  if (!std::getline(stat_file, stat) || !(memory_file >> total_pages >> resident_pages)) {
    return std::nullopt;
  }
  // The process name in parentheses may contain spaces, so parsing starts after it, at field 3.
  std::istringstream fields(stat.substr(stat.rfind(')') + 1));
  constexpr int kFieldsBeforeTimes = 11;
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeTimes; ++field) {
    fields >> skipped;
  }
  std::uint64_t user_ticks = 0;
  std::uint64_t system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  const auto ticks_per_second = static_cast<double>(sysconf(_SC_CLK_TCK));
  ProcessUsage usage;
  usage.processor_time =
      common::fromSeconds(static_cast<double>(user_ticks + system_ticks) / ticks_per_second);
  usage.resident_bytes = resident_pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
  return usage;
}

}  // namespace cypresswall::bench
