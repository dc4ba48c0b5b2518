/// Reads logs line by line, however long they are.
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

/// A log that can't be opened or read.
class LogFileError : public common::Error {
 public:
  using common::Error::Error;
};

/// A longer line can't be read; no node writes one.
inline constexpr std::size_t kMaximumLineBytes = std::size_t{64} << 10U;

/// What was found in one log.
struct ScanCount {
  std::string log;
  std::uint64_t lines = 0;
  std::uint64_t unreadable = 0;
  /// Counted from 1; 0 if every line could be read.
  std::uint64_t first_unreadable = 0;
};

using RecordVisitor = std::function<void(const LogRecord& record)>;

/// Passes each readable line of `log` to `visitor`. Empty lines are neither readable nor
/// unreadable. \param index of the log among those that are read, for the position of its lines
ScanCount scanLog(std::istream& log, const std::string& name, std::size_t index,
                  const RecordVisitor& visitor);

/// Passes each readable line of the files to `visitor`, one file after the other.
/// \throws LogFileError if one is no regular file, can't be opened or read
std::vector<ScanCount> scanLogFiles(const std::vector<std::string>& paths,
                                    const RecordVisitor& visitor);

}  // namespace cypresswall::request_trace
