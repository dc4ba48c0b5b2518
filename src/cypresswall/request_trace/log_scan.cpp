#include "cypresswall/request_trace/log_scan.h"

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <limits>
#include <string_view>

#include "cypresswall/request_trace/log_record_parser.h"

namespace cypresswall::request_trace {
namespace {

/// Reads the next line without its line break.
/// \param too_long set to true if the line did not fit into the buffer and was skipped, or else to
///   false
/// \return false at the end of the log
bool readLine(std::istream& log, std::vector<char>& buffer, std::string_view& line,
              bool& too_long) {
  log.getline(buffer.data(), static_cast<std::streamsize>(buffer.size()));
  const auto taken = static_cast<std::size_t>(log.gcount());
  too_long = log.fail() && !log.bad() && taken == buffer.size() - 1;
  if (too_long) {
    log.clear();
    log.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
    return true;
  }
  const bool ended = !log.eof();
  line = std::string_view(buffer.data(), ended && taken > 0 ? taken - 1 : taken);
  return !log.fail();
}

void countUnreadable(ScanCount& count) {
  ++count.unreadable;
  if (count.first_unreadable == 0) {
    count.first_unreadable = count.lines;
  }
}

bool isBlank(std::string_view line) {
  return line.find_first_not_of(" \t\r") == std::string_view::npos;
}

std::ifstream openLog(const std::string& path) {
  std::error_code error;
  if (std::filesystem::exists(path, error) && !std::filesystem::is_regular_file(path, error)) {
    throw LogFileError(path + ": is not a regular file; logs are read twice");
  }
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw LogFileError(path + ": can't be opened: " + std::strerror(errno));
  }
  return file;
}

}  // namespace

ScanCount scanLog(std::istream& log, const std::string& name, std::size_t index,
                  const RecordVisitor& visitor) {
  ScanCount count;
  count.log = name;
  std::vector<char> buffer(kMaximumLineBytes + 1);
  std::string_view line;
  bool too_long = false;
  while (readLine(log, buffer, line, too_long)) {
    ++count.lines;
    if (!too_long && isBlank(line)) {
      continue;
    }
    auto record = too_long ? std::nullopt : parseLogRecord(line);
    if (record) {
      record->position = {index, count.lines};
      visitor(*record);
    } else {
      countUnreadable(count);
    }
  }
  if (log.bad()) {
    throw LogFileError(name + ": read error at line " + std::to_string(count.lines));
  }
  return count;
}

std::vector<ScanCount> scanLogFiles(const std::vector<std::string>& paths,
                                    const RecordVisitor& visitor) {
  std::vector<ScanCount> counts;
  for (const std::string& path : paths) {
    std::ifstream file = openLog(path);
    counts.push_back(scanLog(file, path, counts.size(), visitor));
  }
  return counts;
}

}  // namespace cypresswall::request_trace
