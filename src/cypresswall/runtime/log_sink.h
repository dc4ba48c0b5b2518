/// Log output through log4cplus: time, level, node and zone, followed by the event's own key-value
/// pairs.
#pragma once

#include <log4cplus/logger.h>

#include <string>

#include "cypresswall/common/errors.h"
#include "cypresswall/common/event_log.h"

namespace cypresswall::runtime {

/// Thrown for an unknown log level name.
class LogLevelError : public common::Error {
 public:
  using common::Error::Error;
};

/// \param name "debug", "info", "warning" or "error"
/// \throws LogLevelError
common::LogLevel parseLogLevel(const std::string& name);
const char* toString(common::LogLevel level);

class LineAppender;

/// Writes each event as one line to standard output, without ever blocking on the reader of the
/// output. Lines are dropped while the reader is so slow that the output buffer is full; once the
/// buffered lines are written, a line of its own reports how many were dropped. Lines look like
/// this:
///
///     time=2026-01-31T10:00:00.123Z level=info node=127.0.0.1:7001 zone=kumamoto event=...
class Log4cplusSink final : public common::LogSink {
 public:
  explicit Log4cplusSink(common::LogLevel level);
  ~Log4cplusSink() override;
  Log4cplusSink(const Log4cplusSink&) = delete;
  Log4cplusSink& operator=(const Log4cplusSink&) = delete;
  bool enabled(common::LogLevel level) const override { return level >= level_; }
  void write(common::LogLevel level, const std::string& line) override;
  /// Takes effect immediately; called when the settings are reloaded.
  void setLevel(common::LogLevel level) { level_ = level; }
  /// Sets the key-value pairs that are part of every line.
  void setProcess(const std::string& node, const std::string& zone);

 private:
  void writeLine(common::LogLevel level, const std::string& line);

  log4cplus::Logger logger_;
  log4cplus::helpers::SharedObjectPtr<LineAppender> appender_;
  common::LogLevel level_;
  std::string process_pairs_;
};

}  // namespace cypresswall::runtime
