#include "cypresswall/http/chunk_buffer.h"

namespace cypresswall::http {
namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr std::string_view kLineEnd = "\r\n";
/// Limit of the memory that an idle stream retains for its next chunk.
constexpr std::size_t kMaximumRetainedBytes = 1024;

}  // namespace

void ChunkBuffer::append(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  if (content_.empty()) {
    content_.resize(kSizeLineRoom);
  }
  content_.append(bytes);
}

std::string_view ChunkBuffer::payload() const {
  return empty() ? std::string_view() : std::string_view(content_).substr(kSizeLineRoom);
}

std::string_view ChunkBuffer::frame() {
  std::size_t size = pendingBytes();
  std::size_t start = kSizeLineRoom - kLineEnd.size();
  content_.replace(start, kLineEnd.size(), kLineEnd);
  do {
    content_[--start] = kHexDigits[size & 0xf];
    size >>= 4;
  } while (size != 0 && start != 0);
  content_.append(kLineEnd);
  return std::string_view(content_).substr(start);
}

void ChunkBuffer::clear() {
  if (content_.capacity() > kMaximumRetainedBytes) {
    content_ = std::string();
  } else {
    content_.clear();
  }
}

}  // namespace cypresswall::http
