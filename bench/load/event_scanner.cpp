#include "bench/load/event_scanner.h"

namespace cypresswall::bench {
namespace {

constexpr std::string_view kData = "data: ";
constexpr std::string_view kEngineToken = "\"token\": \"";
constexpr std::string_view kGatewayToken = "\"text\":\"";
constexpr std::string_view kEngineEnd = "\"done\": true";
constexpr std::string_view kGatewayEnd = "[DONE]";
constexpr std::string_view kErrorStart = "{\"error\"";

}  // namespace

void EventScanner::feed(std::string_view bytes) {
  std::size_t start = 0;
  for (auto end = bytes.find('\n'); end != std::string_view::npos; end = bytes.find('\n', start)) {
    const std::string_view rest = bytes.substr(start, end - start);
    start = end + 1;
    if (partial_.empty()) {
      parseLine(rest);
    } else {
      partial_ += rest;
      const std::string line = std::move(partial_);
      partial_.clear();
      parseLine(line);
    }
  }
  partial_ += bytes.substr(start);
}

void EventScanner::parseLine(std::string_view line) {
  if (line.starts_with(kData)) {
    parseData(line.substr(kData.size()));
  }
}

void EventScanner::parseData(std::string_view data) {
  if (data.starts_with(kErrorStart)) {
    listener_.onErrorEvent(data);
    return;
  }
  const bool engine = dialect_ == Dialect::kEngine;
  const std::string_view mark = engine ? kEngineToken : kGatewayToken;
  const auto at = data.find(mark);
  if (at != std::string_view::npos) {
    // Emulated tokens contain no characters that JSON escapes.
    const std::string_view text = data.substr(at + mark.size());
    const auto end = text.find('"');
    if (end != std::string_view::npos && end > 0) {
      listener_.onToken(text.substr(0, end));
    }
    return;
  }
  if (data.find(engine ? kEngineEnd : kGatewayEnd) != std::string_view::npos) {
    listener_.onComplete();
  }
}

}  // namespace cypresswall::bench
