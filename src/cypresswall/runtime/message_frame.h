/// Length framing of envelopes on a byte stream: four bytes of length, most significant first, then
/// the encoded envelope.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "cypresswall/common/errors.h"

namespace cypresswall::runtime {

inline constexpr std::size_t kFrameHeaderBytes = 4;

/// A length that no envelope can have.
class FrameError : public common::Error {
 public:
  using common::Error::Error;
};

/// \return `payload` with its length before it.
std::string encodeFrame(const std::string& payload);

/// Collects the bytes of one connection and gives whole frames. Memory grows only with bytes that
/// really arrived, not with the length that a peer claims.
class FrameReader {
 public:
  explicit FrameReader(std::size_t maximum_payload_bytes)
      : maximum_payload_bytes_(maximum_payload_bytes) {}

  /// Adds received bytes and calls `onFrame` for each whole frame, in order.
  /// \throws FrameError on an impossible length, and whatever `onFrame` throws
  void feed(std::string_view bytes, const std::function<void(std::string_view)>& onFrame);

 private:
  std::size_t maximum_payload_bytes_;
  std::string buffer_;
};

}  // namespace cypresswall::runtime
