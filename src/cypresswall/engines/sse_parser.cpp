#include "cypresswall/engines/sse_parser.h"

namespace cypresswall::engines {
namespace {

constexpr std::string_view kDataField = "data:";

}  // namespace

void SseParser::countBytes(std::size_t bytes) {
  event_bytes_ += bytes;
  if (event_bytes_ > kMaximumEventBytes) {
    throw SseError("server-sent event is longer than " + std::to_string(kMaximumEventBytes) +
                   " bytes");
  }
}

void SseParser::handleField(std::string_view line) {
  if (!line.starts_with(kDataField)) {
    return;
  }
  line.remove_prefix(kDataField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (has_data_) {
    data_ += '\n';
  }
  data_ += line;
  has_data_ = true;
}

}  // namespace cypresswall::engines
