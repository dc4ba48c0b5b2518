/// Processor time and memory of other processes, read from /proc.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/time.h"

namespace cypresswall::bench {

/// A "--watch" list that can't be parsed.
class WatchListError : public common::Error {
 public:
  using common::Error::Error;
};

/// A process to measure.
struct WatchedProcess {
  std::string name;
  int pid = 0;
};

/// \param text "name=pid,name=pid". \throws WatchListError
std::vector<WatchedProcess> parseWatchList(const std::string& text);

struct ProcessUsage {
  /// User and system time since the process started.
  common::Duration processor_time{0};
  std::uint64_t resident_bytes = 0;
};

/// \return std::nullopt if there is no such process.
std::optional<ProcessUsage> readProcessUsage(int pid);

}  // namespace cypresswall::bench
