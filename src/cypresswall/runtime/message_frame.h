/// Length-prefixed framing of envelopes on a byte stream: a length of four bytes, most significant
/// first, followed by the encoded envelope.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "cypresswall/common/errors.h"

namespace cypresswall::runtime {

inline constexpr std::size_t kFrameHeaderBytes = 4;

/// Thrown if the announced length of a frame is zero or exceeds the maximum size of an envelope.
class FrameError : public common::Error {
 public:
  using common::Error::Error;
};

/// \return `payload` prefixed with its length in bytes.
std::string encodeFrame(const std::string& payload);

/// Assembles frames from the bytes of one connection. Memory grows only with the bytes received,
/// not with the length announced by a peer.
class FrameReader {
 public:
  explicit FrameReader(std::size_t maximum_payload_bytes)
      : maximum_payload_bytes_(maximum_payload_bytes) {}

  /// Adds received bytes and calls `onFrame` for each complete frame, in order.
  /// \throws FrameError on an invalid length, and whatever `onFrame` throws
  void feed(std::string_view bytes, const std::function<void(std::string_view)>& onFrame);

 private:
  std::size_t maximum_payload_bytes_;
  std::string buffer_;
};

}  // namespace cypresswall::runtime
