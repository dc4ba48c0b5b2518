/// Structured logging: one line of key=value pairs per event, written through log4cplus. Values
/// that contain blanks, quotes, equals signs, backslashes or control characters are quoted.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace cypresswall::common {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// Destination of log lines. The daemon writes to log4cplus; tests and the simulator record or
/// discard lines.
class LogSink {
 public:
  virtual ~LogSink() = default;
  virtual bool enabled(LogLevel level) const = 0;
  /// \param line the key=value pairs of one event; the sink adds level and timestamp
  virtual void write(LogLevel level, const std::string& line) = 0;
};

/// A sink that discards all lines.
LogSink& nullLogSink();

/// One event under construction; the line is written when the object goes out of scope.
///
///     LogEvent(log, LogLevel::kInfo, "lease_acquired").field("zone", zone).field("term", term);
class LogEvent {
 public:
  LogEvent(LogSink& sink, LogLevel level, std::string_view event);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& field(std::string_view key, std::string_view value);
  LogEvent& field(std::string_view key, const char* value) {
    return field(key, std::string_view(value));
  }
  LogEvent& field(std::string_view key, const std::string& value) {
    return field(key, std::string_view(value));
  }
  LogEvent& field(std::string_view key, bool value) {
    return field(key, std::string_view(value ? "true" : "false"));
  }
  template <typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
  LogEvent& field(std::string_view key, Number value) {
    return enabled_ ? field(key, std::string_view(std::to_string(value))) : *this;
  }

 private:
  LogSink& sink_;
  LogLevel level_;
  bool enabled_;
  std::string line_;
};

/// \return `value` unchanged if it is a single plain word, otherwise quoted and escaped.
std::string quoteLogValue(std::string_view value);

}  // namespace cypresswall::common
