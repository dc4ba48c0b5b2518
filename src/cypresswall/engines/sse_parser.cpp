#include "cypresswall/engines/sse_parser.h"

namespace cypresswall::engines {
namespace {

constexpr std::string_view kDataField = "data:";

void requireWithinLimit(std::size_t size) {
  if (size > SseParser::kMaximumEventBytes) {
    throw SseError("server-sent event is longer than " +
                   std::to_string(SseParser::kMaximumEventBytes) + " bytes");
  }
}

}  // namespace

void SseParser::keepPartialLine(std::string_view bytes) {
  requireWithinLimit(partial_line_.size() + bytes.size());
  partial_line_ += bytes;
}

void SseParser::handleField(std::string_view line) {
  if (!line.starts_with(kDataField)) {
    return;
  }
  line.remove_prefix(kDataField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  requireWithinLimit(data_.size() + line.size());
  if (has_data_) {
    data_ += '\n';
  }
  data_ += line;
  has_data_ = true;
}

}  // namespace cypresswall::engines
