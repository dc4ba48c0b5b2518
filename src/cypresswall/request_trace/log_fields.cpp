#include "cypresswall/request_trace/log_fields.h"

#include <algorithm>
#include <charconv>

namespace cypresswall::request_trace {
namespace {

constexpr std::string_view kTimeStart = "time=";
constexpr std::string_view kBlanks = " \t\r";
constexpr std::size_t kUsualFields = 20;
constexpr int kHexadecimal = 16;
constexpr std::size_t kHexDigits = 2;

/// \return the rest of the line from the first `time=` that follows a blank or starts the line;
///   empty if there is none
std::string_view withoutPrefix(std::string_view line) {
  std::size_t start = line.find(kTimeStart);
  while (start != std::string_view::npos && start > 0 &&
         kBlanks.find(line[start - 1]) == std::string_view::npos) {
    start = line.find(kTimeStart, start + 1);
  }
  return start == std::string_view::npos ? std::string_view() : line.substr(start);
}

/// \return the position of the closing quote of the value at the start of `text`, or npos
std::size_t closingQuote(std::string_view text) {
  for (std::size_t position = 0; position < text.size(); ++position) {
    if (text[position] == '\\') {
      ++position;
    } else if (text[position] == '"') {
      return position;
    }
  }
  return std::string_view::npos;
}

/// Removes an escape sequence, whose backslash was already removed, from the front of `rest`.
/// \return the character that the escape sequence stands for
char consumeEscape(std::string_view& rest) {
  const char kind = rest.front();
  rest.remove_prefix(1);
  unsigned char code = 0;
  if (kind == 'x' && rest.size() >= kHexDigits) {
    const auto [end, error] =
        std::from_chars(rest.data(), rest.data() + kHexDigits, code, kHexadecimal);
    if (error == std::errc() && end == rest.data() + kHexDigits) {
      rest.remove_prefix(kHexDigits);
      return static_cast<char>(code);
    }
  }
  return kind == 'n' ? '\n' : kind;
}

}  // namespace

std::optional<LogFields> LogFields::read(std::string_view line) {
  std::string_view rest = withoutPrefix(line);
  LogFields fields;
  fields.fields_.reserve(kUsualFields);
  while (!rest.empty()) {
    if (!fields.consumeField(rest)) {
      return std::nullopt;
    }
    rest.remove_prefix(std::min(rest.find_first_not_of(kBlanks), rest.size()));
  }
  return fields.fields_.empty() ? std::nullopt : std::optional(std::move(fields));
}

bool LogFields::consumeField(std::string_view& rest) {
  const std::size_t equals = rest.find('=');
  if (equals == 0 || equals == std::string_view::npos || rest.find_first_of(kBlanks) < equals) {
    return false;
  }
  const std::string_view key = rest.substr(0, equals);
  rest.remove_prefix(equals + 1);
  const bool quoted = rest.starts_with('"');
  if (quoted) {
    rest.remove_prefix(1);
  }
  const std::size_t found = quoted ? closingQuote(rest) : rest.find_first_of(kBlanks);
  if (quoted && found == std::string_view::npos) {
    return false;
  }
  const std::size_t end = std::min(found, rest.size());
  fields_.push_back({key, rest.substr(0, end)});
  rest.remove_prefix(quoted ? end + 1 : end);
  return rest.empty() || kBlanks.find(rest.front()) != std::string_view::npos;
}

const LogFields::Field* LogFields::find(std::string_view key) const {
  const auto found = std::find_if(fields_.begin(), fields_.end(),
                                  [key](const Field& field) { return field.key == key; });
  return found == fields_.end() ? nullptr : &*found;
}

std::string LogFields::text(std::string_view key) const {
  const Field* field = find(key);
  std::string text;
  std::string_view rest = field == nullptr ? std::string_view() : field->value;
  while (!rest.empty()) {
    const char next = rest.front();
    rest.remove_prefix(1);
    text += next == '\\' && !rest.empty() ? consumeEscape(rest) : next;
  }
  return text;
}

std::optional<std::int64_t> LogFields::number(std::string_view key) const {
  const Field* field = find(key);
  if (field == nullptr) {
    return std::nullopt;
  }
  std::int64_t number = 0;
  const char* const end = field->value.data() + field->value.size();
  const auto [stop, error] = std::from_chars(field->value.data(), end, number);
  return error == std::errc() && stop == end ? std::optional(number) : std::nullopt;
}

}  // namespace cypresswall::request_trace
