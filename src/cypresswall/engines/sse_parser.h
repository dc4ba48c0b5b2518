/// Incremental parser for the subset of server-sent events that engines use: only "data" fields.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "cypresswall/common/errors.h"
#include "cypresswall/engines/engine_types.h"

namespace cypresswall::engines {

/// Thrown if an event, with the comments before it, exceeds kMaximumEventBytes.
class SseError : public common::Error {
 public:
  using common::Error::Error;
};

/// Accepts the bytes of one answer in chunks of any size. Lines end with LF or CR LF. Comments and
/// fields other than "data" are ignored. An event whose terminating blank line never arrives is
/// ignored, too.
class SseParser {
 public:
  /// Calls `on_data(std::string_view)` for each event completed by `bytes`. If `on_data` returns
  /// false, parsing stops permanently.
  /// \throws SseError, and whatever `on_data` throws
  template <typename OnData>
  void feed(std::string_view bytes, OnData&& on_data) {
    while (!bytes.empty() && !stopped_) {
      const auto end = bytes.find('\n');
      countBytes(std::min(end, bytes.size() - 1) + 1);
      if (end == std::string_view::npos) {
        partial_line_ += bytes;
        return;
      }
      handleLine(bytes.substr(0, end), on_data);
      bytes.remove_prefix(end + 1);
    }
  }

 private:
  template <typename OnData>
  void handleLine(std::string_view line, OnData&& on_data) {
    if (!partial_line_.empty()) {
      partial_line_ += line;
      const std::string whole = std::exchange(partial_line_, {});
      handleCompleteLine(whole, on_data);
    } else {
      handleCompleteLine(line, on_data);
    }
  }

  template <typename OnData>
  void handleCompleteLine(std::string_view line, OnData&& on_data) {
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!line.empty()) {
      handleField(line);
    } else if (has_data_) {
      has_data_ = false;
      event_bytes_ = 0;
      const std::string data = std::exchange(data_, {});
      stopped_ = !on_data(std::string_view(data));
    }
  }

  /// Counts bytes towards the next event.
  /// \throws SseError
  void countBytes(std::size_t bytes);
  void handleField(std::string_view line);

  std::string partial_line_;
  std::string data_;
  std::size_t event_bytes_ = 0;
  bool has_data_ = false;
  bool stopped_ = false;
};

}  // namespace cypresswall::engines
