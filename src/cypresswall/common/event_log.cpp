#include "cypresswall/common/event_log.h"

#include <algorithm>

namespace cypresswall::common {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

class NullLogSink final : public LogSink {
 public:
  bool enabled(LogLevel) const override { return false; }
  void write(LogLevel, const std::string&) override {}
};

bool needsQuotes(char c) {
  const auto code = static_cast<unsigned char>(c);
  return code <= ' ' || code == 0x7f || c == '"' || c == '=' || c == '\\';
}

void appendEscaped(std::string& out, char c) {
  const auto code = static_cast<unsigned char>(c);
  if (c == '"' || c == '\\') {
    out += '\\';
    out += c;
  } else if (c == '\n') {
    out += "\\n";
  } else if (code < ' ' || code == 0x7f) {
    out += "\\x";
    out += kHexDigits[code >> 4];
    out += kHexDigits[code & 0xf];
  } else {
    out += c;
  }
}

}  // namespace

LogSink& nullLogSink() {
  static NullLogSink sink;
  return sink;
}

std::string quoteLogValue(std::string_view value) {
  if (!value.empty() && std::none_of(value.begin(), value.end(), needsQuotes)) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (const char c : value) {
    appendEscaped(quoted, c);
  }
  quoted += '"';
  return quoted;
}

LogEvent::LogEvent(LogSink& sink, LogLevel level, std::string_view event)
    : sink_(sink), level_(level), enabled_(sink.enabled(level)) {
  field("event", event);
}

LogEvent::~LogEvent() {
  if (enabled_) {
    sink_.write(level_, line_);
  }
}

LogEvent& LogEvent::field(std::string_view key, std::string_view value) {
  if (!enabled_) {
    return *this;
  }
  if (!line_.empty()) {
    line_ += ' ';
  }
  line_ += key;
  line_ += '=';
  line_ += quoteLogValue(value);
  return *this;
}

}  // namespace cypresswall::common
