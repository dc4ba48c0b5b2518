/// The words of one line of a node's log: key=value pairs as common::LogEvent writes them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cypresswall::request_trace {

/// The pairs of one line. It points into the line, which must outlive it.
class LogFields {
 public:
  /// Reads a line. What stands before the first `time=`, such as the prefix of a log collector, is
  /// passed over.
  /// \return nothing if the line is not made of pairs, has no time or is cut within a quoted value
  static std::optional<LogFields> read(std::string_view line);

  bool has(std::string_view key) const { return find(key) != nullptr; }
  /// \return the value without quotes and escapes; empty if the key does not stand in the line
  std::string text(std::string_view key) const;
  /// \return nothing if the key does not stand in the line or its value is no whole number
  std::optional<std::int64_t> number(std::string_view key) const;

 private:
  struct Field {
    std::string_view key;
    /// As it stands in the line, without the quotes around it.
    std::string_view value;
  };

  const Field* find(std::string_view key) const;
  /// Takes one pair off the front of `rest`. \return false if there is none
  bool consumeField(std::string_view& rest);

  std::vector<Field> fields_;
};

}  // namespace cypresswall::request_trace
