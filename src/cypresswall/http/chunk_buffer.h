/// Buffer for bytes of a streamed answer that are not yet sent, framed in place as one HTTP chunk.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cypresswall::http {

class ChunkBuffer {
 public:
  void append(std::string_view bytes);
  bool empty() const { return content_.empty(); }
  /// \return number of bytes appended since clear().
  std::size_t pendingBytes() const { return empty() ? 0 : content_.size() - kSizeLineRoom; }
  /// \return the bytes appended since clear().
  std::string_view payload() const;
  /// Frames the payload as one chunk: size line, payload, line end. Nothing may be appended before
  /// the next clear(), which invalidates the returned view.
  std::string_view frame();
  /// Discards the bytes; keeps the allocated memory if it is small.
  void clear();

 private:
  /// Space reserved before the payload for eight hexadecimal digits and a line end.
  static constexpr std::size_t kSizeLineRoom = 10;

  std::string content_;
};

}  // namespace cypresswall::http
