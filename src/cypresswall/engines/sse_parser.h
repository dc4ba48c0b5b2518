/// Incremental parser of server-sent events, as far as engines use them: the data of each event.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "cypresswall/common/errors.h"

namespace cypresswall::engines {

/// An event that is longer than any engine sends.
class SseError : public common::Error {
 public:
  using common::Error::Error;
};

/// Takes the bytes of one answer in any split. Lines end with LF or CR LF; comments and fields
/// other than "data" are skipped; an event without its blank line at the end is dropped.
class SseParser {
 public:
  static constexpr std::size_t kMaximumEventBytes = 1U << 20;

  /// Calls `on_data(std::string_view)` for each event that the bytes complete; it returns false to
  /// stop parsing for good.
  /// \throws SseError, and whatever `on_data` throws
  template <typename OnData>
  void feed(std::string_view bytes, OnData&& on_data) {
    while (!bytes.empty() && !stopped_) {
      const auto end = bytes.find('\n');
      if (end == std::string_view::npos) {
        keepPartialLine(bytes);
        return;
      }
      takeLine(bytes.substr(0, end), on_data);
      bytes.remove_prefix(end + 1);
    }
  }

 private:
  template <typename OnData>
  void takeLine(std::string_view line, OnData&& on_data) {
    if (!partial_line_.empty()) {
      keepPartialLine(line);
      const std::string whole = std::exchange(partial_line_, {});
      takeWholeLine(whole, on_data);
    } else {
      takeWholeLine(line, on_data);
    }
  }

  template <typename OnData>
  void takeWholeLine(std::string_view line, OnData&& on_data) {
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!line.empty()) {
      takeField(line);
    } else if (has_data_) {
      has_data_ = false;
      const std::string data = std::exchange(data_, {});
      stopped_ = !on_data(std::string_view(data));
    }
  }

  void keepPartialLine(std::string_view bytes);
  void takeField(std::string_view line);

  std::string partial_line_;
  std::string data_;
  bool has_data_ = false;
  bool stopped_ = false;
};

}  // namespace cypresswall::engines
