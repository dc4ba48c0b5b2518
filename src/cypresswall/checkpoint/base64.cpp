#include "cypresswall/checkpoint/base64.h"

#include <cstddef>
#include <cstdint>

namespace cypresswall::checkpoint {
namespace {

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr char kPadding = '=';
constexpr unsigned kBitsPerDigit = 6;
constexpr unsigned kBitsPerByte = 8;
constexpr std::size_t kDigitsPerGroup = 4;
constexpr std::uint32_t kDigitMask = (1U << kBitsPerDigit) - 1;
constexpr std::uint32_t kByteMask = (1U << kBitsPerByte) - 1;

}  // namespace

std::string encodeBase64(std::string_view bytes) {
  std::string text;
  std::uint32_t buffer = 0;
  unsigned bits = 0;
  for (const char byte : bytes) {
    buffer = (buffer << kBitsPerByte) | static_cast<unsigned char>(byte);
    bits += kBitsPerByte;
    while (bits >= kBitsPerDigit) {
      bits -= kBitsPerDigit;
      text += kDigits[(buffer >> bits) & kDigitMask];
    }
  }
  if (bits > 0) {
    text += kDigits[(buffer << (kBitsPerDigit - bits)) & kDigitMask];
  }
  while (text.size() % kDigitsPerGroup != 0) {
    text += kPadding;
  }
  return text;
}

std::optional<std::string> decodeBase64(std::string_view text) {
  if (text.size() % kDigitsPerGroup != 0) {
    return std::nullopt;
  }
  for (int padding = 0; padding < 2 && text.ends_with(kPadding); ++padding) {
    text.remove_suffix(1);
  }
  std::string bytes;
  std::uint32_t buffer = 0;
  unsigned bits = 0;
  for (const char digit : text) {
    const std::size_t value = kDigits.find(digit);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    buffer = (buffer << kBitsPerDigit) | static_cast<std::uint32_t>(value);
    bits += kBitsPerDigit;
    if (bits >= kBitsPerByte) {
      bits -= kBitsPerByte;
      bytes += static_cast<char>((buffer >> bits) & kByteMask);
    }
  }
  return bytes;
}

}  // namespace cypresswall::checkpoint
