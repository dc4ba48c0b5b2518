#include "cypresswall/common/request_content.h"

#include <string_view>

namespace cypresswall::common {
namespace {

/// Keeps fingerprints of parts apart from those of whole requests.
constexpr std::uint64_t kPartSeed = 0x70617274;

RequestFingerprint fingerprintOfPart(PieceHash piece) {
  const std::string_view bytes(reinterpret_cast<const char*>(&piece), sizeof piece);
  return hash64(bytes, kPartSeed);
}

}  // namespace

RequestContent contentOf(RequestFingerprint request, const PromptShape& prompt) {
  RequestContent content;
  content.request = request;
  const std::size_t shared = prompt.sharedPieces();
  content.shared_parts.reserve(shared);
  for (std::size_t part = 0; part < shared; ++part) {
    content.shared_parts.push_back(fingerprintOfPart(prompt.pieces[part]));
  }
  return content;
}

std::string sharedPartsText(const RequestContent& content) {
  std::string text;
  for (const RequestFingerprint part : content.shared_parts) {
    if (!text.empty()) {
      text += ',';
    }
    text += toString(part);
  }
  return text;
}

}  // namespace cypresswall::common
