#include "cypresswall/runtime/message_frame.h"

#include <cstdint>

namespace cypresswall::runtime {
namespace {

constexpr unsigned kBitsPerByte = 8;

std::size_t decodeLength(std::string_view header) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length = (length << kBitsPerByte) | static_cast<unsigned char>(header[i]);
  }
  return length;
}

}  // namespace

std::string encodeFrame(const std::string& payload) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  for (std::size_t i = kFrameHeaderBytes; i > 0; --i) {
    frame += static_cast<char>((payload.size() >> ((i - 1) * kBitsPerByte)) & 0xff);
  }
  frame += payload;
  return frame;
}

void FrameReader::feed(std::string_view bytes,
                       const std::function<void(std::string_view)>& onFrame) {
  buffer_ += bytes;
  std::size_t position = 0;
  while (buffer_.size() - position >= kFrameHeaderBytes) {
    const std::string_view rest = std::string_view(buffer_).substr(position);
    const std::size_t length = decodeLength(rest);
    if (length == 0 || length > maximum_payload_bytes_) {
      throw FrameError("frame length " + std::to_string(length) + " is out of range");
    }
    if (rest.size() - kFrameHeaderBytes < length) {
      break;
    }
    onFrame(rest.substr(kFrameHeaderBytes, length));
    position += kFrameHeaderBytes + length;
  }
  buffer_.erase(0, position);
  if (buffer_.empty() && buffer_.capacity() > (64U << 10)) {
    buffer_.shrink_to_fit();
  }
}

}  // namespace cypresswall::runtime
