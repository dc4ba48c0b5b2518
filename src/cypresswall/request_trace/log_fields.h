/// Splits a line of a node's log into the key=value pairs that common::LogEvent writes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cypresswall::request_trace {

/// The key=value pairs of one line. The line's text must outlive this object.
class LogFields {
 public:
  /// Parses a line. Skips everything before the first `time=`, such as a prefix added by a log
  /// collector.
  /// \return nothing if the line does not consist of pairs, has no time or ends within a quoted
  /// value
  static std::optional<LogFields> read(std::string_view line);

  bool has(std::string_view key) const { return find(key) != nullptr; }
  /// \return the unquoted and unescaped value; empty if the line has no such key
  std::string text(std::string_view key) const;
  /// \return nothing if the line has no such key or its value is not an integer
  std::optional<std::int64_t> number(std::string_view key) const;

 private:
  struct Field {
    std::string_view key;
    /// Value as in the line, with escape sequences but without the enclosing quotes.
    std::string_view value;
  };

  const Field* find(std::string_view key) const;
  /// Removes one pair from the front of `rest`. \return false if there is none
  bool consumeField(std::string_view& rest);

  std::vector<Field> fields_;
};

}  // namespace cypresswall::request_trace
