#include "cypresswall/engines/stream_event.h"

#include <nlohmann/json.hpp>

#include "cypresswall/common/bounded_json.h"

namespace cypresswall::engines {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaximumReasonBytes = 256;

std::uint32_t numberAt(const Json& object, const char* key) {
  const Json& value = object.at(key);
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > UINT32_MAX) {
    throw EngineProtocolError(std::string("'") + key + "' is out of range");
  }
  return value.get<std::uint32_t>();
}

DoneEvent doneEventOf(const Json& object) {
  DoneEvent event;
  event.attempt = numberAt(object, "attempt");
  event.usage.prompt_tokens = numberAt(object, "prompt_tokens");
  event.usage.cached_prompt_tokens = numberAt(object, "cached_prompt_tokens");
  event.usage.output_tokens = numberAt(object, "output_tokens");
  event.usage.finish_reason = object.at("finish_reason").get<std::string>();
  return event;
}

StreamEvent eventOf(const Json& object) {
  if (object.contains("token")) {
    return TokenEvent{numberAt(object, "attempt"), numberAt(object, "index"),
                      object.at("token").get<std::string>()};
  }
  if (!object.at("done").get<bool>()) {
    throw EngineProtocolError("event has neither a token nor an end");
  }
  return doneEventOf(object);
}

/// Scanner for flat JSON objects.
class Scanner {
 public:
  explicit Scanner(std::string_view text) : rest_(text) {}

  bool take(char expected) {
    skipBlanks();
    if (rest_.empty() || rest_.front() != expected) {
      return false;
    }
    rest_.remove_prefix(1);
    return true;
  }

  bool atEnd() {
    skipBlanks();
    return rest_.empty();
  }

  /// Reads a string of valid UTF-8 without escapes or control characters.
  bool takeString(std::string_view& value) {
    if (!take('"')) {
      return false;
    }
    std::size_t size = 0;
    while (size < rest_.size() && rest_[size] != '"') {
      const std::size_t step = characterSize(rest_.substr(size));
      if (step == 0) {
        return false;
      }
      size += step;
    }
    if (size >= rest_.size()) {
      return false;
    }
    value = rest_.substr(0, size);
    rest_.remove_prefix(size + 1);
    return true;
  }

  /// Reads a number of at most nine digits, without sign, fraction or exponent.
  bool takeNumber(std::uint32_t& value) {
    constexpr std::size_t kMaximumDigits = 9;
    skipBlanks();
    std::size_t digits = 0;
    value = 0;
    while (digits < rest_.size() && isDigit(rest_[digits])) {
      if (++digits > kMaximumDigits) {
        return false;
      }
      value = value * 10 + static_cast<std::uint32_t>(rest_[digits - 1] - '0');
    }
    const bool leading_zero = digits > 1 && rest_.front() == '0';
    if (digits == 0 || leading_zero || !endsNumber(digits)) {
      return false;
    }
    rest_.remove_prefix(digits);
    return true;
  }

 private:
  static bool isDigit(char c) { return c >= '0' && c <= '9'; }
  static bool isContinuation(char c) { return (static_cast<unsigned char>(c) & 0xC0) == 0x80; }

  bool endsNumber(std::size_t position) const {
    constexpr std::string_view kAfterNumber = " ,}";
    return position < rest_.size() && kAfterNumber.find(rest_[position]) != std::string_view::npos;
  }

  void skipBlanks() {
    while (!rest_.empty() && rest_.front() == ' ') {
      rest_.remove_prefix(1);
    }
  }

  /// \return the length in bytes of the first character of `text`, or zero if a plain string may
  ///   not contain it. Zero also for four-byte sequences and for lead bytes that need further UTF-8
  ///   range checks: these are left to the full parser.
  static std::size_t characterSize(std::string_view text) {
    const auto first = static_cast<unsigned char>(text.front());
    if (first < 0x80) {
      return first < 0x20 || first == '\\' ? 0 : 1;
    }
    const bool three_bytes = first > 0xE0 && first < 0xF0 && first != 0xED;
    const std::size_t size = first >= 0xC2 && first < 0xE0 ? 2 : (three_bytes ? 3 : 0);
    if (size == 0 || text.size() < size) {
      return 0;
    }
    for (std::size_t i = 1; i < size; ++i) {
      if (!isContinuation(text[i])) {
        return 0;
      }
    }
    return size;
  }

  std::string_view rest_;
};

/// Parses one member of a token event. \return false if it is malformed, unknown or repeated.
bool parseMember(Scanner& scanner, TokenEvent& event, unsigned& seen) {
  constexpr unsigned kAttempt = 1;
  constexpr unsigned kIndex = 2;
  constexpr unsigned kToken = 4;
  std::string_view key;
  std::string_view text;
  if (!scanner.takeString(key) || !scanner.take(':')) {
    return false;
  }
  unsigned member = 0;
  if (key == "attempt" && scanner.takeNumber(event.attempt)) {
    member = kAttempt;
  } else if (key == "index" && scanner.takeNumber(event.index)) {
    member = kIndex;
  } else if (key == "token" && scanner.takeString(text)) {
    event.text.assign(text);
    member = kToken;
  }
  if (member == 0 || (seen & member) != 0) {
    return false;
  }
  seen |= member;
  return true;
}

}  // namespace

StreamEvent parseStreamEvent(std::string_view json) {
  try {
    return eventOf(Json::parse(json));
  } catch (const Json::exception& error) {
    // The message may quote all of a token.
    throw EngineProtocolError("stream event can't be read: " +
                              common::abbreviated(error.what(), kMaximumReasonBytes));
  }
}

bool parseTokenEventFast(std::string_view json, TokenEvent& event) {
  constexpr unsigned kAllMembers = 7;
  Scanner scanner(json);
  unsigned seen = 0;
  if (!scanner.take('{')) {
    return false;
  }
  do {
    if (!parseMember(scanner, event, seen)) {
      return false;
    }
  } while (scanner.take(','));
  return scanner.take('}') && scanner.atEnd() && seen == kAllMembers;
}

}  // namespace cypresswall::engines
