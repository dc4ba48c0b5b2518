/// Reads logs of any size line by line.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <istream>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/request_trace/log_record.h"

namespace cypresswall::request_trace {

/// A log can't be opened or read.
class LogFileError : public common::Error {
 public:
  using common::Error::Error;
};

/// Maximum length of a line. Longer lines count as unreadable; nodes never write such lines.
inline constexpr std::size_t kMaximumLineBytes = std::size_t{64} << 10U;

/// Line counts of one log.
struct ScanCount {
  std::string log;
  std::uint64_t lines = 0;
  std::uint64_t unreadable = 0;
  /// Number of the first unreadable line, counted from 1; 0 if all lines are readable.
  std::uint64_t first_unreadable = 0;
};

using RecordVisitor = std::function<void(const LogRecord& record)>;

/// Passes each readable line of `log` to `visitor`. Empty lines are skipped and not counted as
/// unreadable.
/// \param index index of the log, for LogPosition
ScanCount scanLog(std::istream& log, const std::string& name, std::size_t index,
                  const RecordVisitor& visitor);

/// Passes each readable line of the files to `visitor`, file by file.
/// \throws LogFileError if a file is not a regular file or can't be opened or read
std::vector<ScanCount> scanLogFiles(const std::vector<std::string>& paths,
                                    const RecordVisitor& visitor);

}  // namespace cypresswall::request_trace
