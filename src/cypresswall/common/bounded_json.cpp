#include "cypresswall/common/bounded_json.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace cypresswall::common {
namespace {

using Json = nlohmann::json;

constexpr char kReplacement = '?';
constexpr std::string_view kNull = "null";
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
constexpr std::string_view kSimpleEscapes = "\"\\/bfnrt";
/// Length of an escape such as \u00e9.
constexpr std::size_t kUnicodeEscapeLength = 6;
constexpr std::uint32_t kHexBase = 16;
/// Depth of a list that is a member of the outermost object.
constexpr std::size_t kListDepth = 2;
/// Values that a container within a list's element may have if the whole text has too many. The
/// bound is divided until the rest of the text fits, down to the smallest one.
constexpr std::size_t kLargestContainerBound = 100'000;
constexpr std::size_t kSmallestContainerBound = 100;
constexpr std::size_t kContainerBoundDivisor = 10;

bool opens(char letter) { return letter == '{' || letter == '['; }
bool closes(char letter) { return letter == '}' || letter == ']'; }
bool isBlank(char letter) {
  return letter == ' ' || letter == '\t' || letter == '\n' || letter == '\r';
}
bool endsWord(char letter) {
  return opens(letter) || closes(letter) || isBlank(letter) || letter == ',' || letter == ':' ||
         letter == '"';
}
bool isControl(char letter) { return static_cast<unsigned char>(letter) < ' '; }

/// \return the length of the UTF-8 character at `position`, or zero if it is invalid
std::size_t characterAt(std::string_view text, std::size_t position) {
  const auto byteAt = [&](std::size_t at) { return static_cast<unsigned char>(text[at]); };
  const unsigned char first = byteAt(position);
  const std::size_t length = first < 0x80                    ? 1
                             : first >= 0xC2 && first < 0xE0 ? 2
                             : first >= 0xE0 && first < 0xF0 ? 3
                             : first >= 0xF0 && first < 0xF5 ? 4
                                                             : 0;
  if (length == 0 || position + length > text.size()) {
    return 0;
  }
  for (std::size_t next = 1; next < length; ++next) {
    if ((byteAt(position + next) & 0xC0U) != 0x80) {
      return 0;
    }
  }
  const auto second = length > 2 ? byteAt(position + 1) : 0x80;
  const bool overlong = (first == 0xE0 && second < 0xA0) || (first == 0xF0 && second < 0x90);
  const bool beyond = (first == 0xED && second > 0x9F) || (first == 0xF4 && second > 0x8F);
  return overlong || beyond ? 0 : length;
}

/// \return the position after the string that begins at `position`, or the size of the text if the
///   string does not end
std::size_t endOfString(std::string_view text, std::size_t position) {
  for (++position; position < text.size(); ++position) {
    if (text[position] == '"') {
      return position + 1;
    }
    if (text[position] == '\\') {
      ++position;
    }
  }
  return text.size();
}

struct Shape {
  std::size_t depth = 0;
  /// Not below the number of values.
  std::size_t values = 1;
};

Shape shapeOf(std::string_view text) {
  Shape shape;
  std::size_t depth = 0;
  for (std::size_t position = 0; position < text.size();) {
    const char letter = text[position];
    if (letter == '"') {
      position = endOfString(text, position);
      continue;
    }
    if (opens(letter)) {
      shape.depth = std::max(shape.depth, ++depth);
      ++shape.values;
    } else if (closes(letter) && depth > 0) {
      --depth;
    } else if (letter == ',') {
      ++shape.values;
    }
    ++position;
  }
  return shape;
}

struct RepairLimits {
  std::size_t depth = kMaximumJsonDepth;
  /// Values that a container nested more deeply than kListDepth may have.
  std::size_t container_values = kMaximumJsonValues;
};

/// Copies a text and replaces what nlohmann::json can't represent, and containers beyond the
/// limits. Leaves the structure unchanged, whether it is valid or not.
class Repair {
 public:
  Repair(std::string_view text, const RepairLimits& limits) : text_(text), limits_(limits) {}

  std::string run() {
    result_.reserve(text_.size());
    while (position_ < text_.size() && !exceedsMaximum()) {
      step();
    }
    return std::move(result_);
  }
  /// \return a number not below that of the values in the result, which is incomplete if the number
  ///   exceeds kMaximumJsonValues
  std::size_t values() const { return values_; }
  std::size_t replacedValues() const { return replaced_values_; }
  std::size_t replacedCharacters() const { return replaced_characters_; }
  std::set<std::size_t> takeReplacedElements() { return std::move(replaced_elements_); }

 private:
  /// A container that has begun and not ended.
  struct OpenContainer {
    /// Size of the result, and number of values, before the container.
    std::size_t result_size = 0;
    std::size_t values = 0;
  };

  void step() {
    const char letter = text_[position_];
    if (innermostIsTooLarge()) {
      replaceInnermost();
    } else if (letter == '"') {
      copyString();
    } else if (opens(letter) && containers_.size() >= limits_.depth) {
      skipContainers(0);
      replaceValue();
    } else if (endsWord(letter)) {
      follow(letter);
      copy(1);
    } else {
      copyWord();
    }
  }

  void follow(char letter) {
    if (opens(letter)) {
      containers_.push_back({result_.size(), values_++});
      element_ = containers_.size() == kListDepth ? 0 : element_;
    } else if (closes(letter) && !containers_.empty()) {
      containers_.pop_back();
    } else if (letter == ',') {
      ++values_;
      element_ += containers_.size() == kListDepth ? 1 : 0;
    }
  }

  /// \return true if there are too many values outside of containers that may be replaced
  bool exceedsMaximum() const {
    return containers_.size() <= kListDepth && values_ > kMaximumJsonValues;
  }

  bool innermostIsTooLarge() const {
    return containers_.size() > kListDepth &&
           values_ - containers_.back().values > limits_.container_values;
  }

  /// Removes what has been copied of the innermost container, and skips the rest of it.
  void replaceInnermost() {
    result_.resize(containers_.back().result_size);
    values_ = containers_.back().values;
    containers_.pop_back();
    skipContainers(1);
    replaceValue();
  }

  void recordElement() {
    if (containers_.size() >= kListDepth) {
      replaced_elements_.insert(element_);
    }
  }

  void replaceValue() {
    result_ += kNull;
    ++replaced_values_;
    recordElement();
  }

  void replaceCharacters(std::size_t length) {
    result_ += kReplacement;
    ++replaced_characters_;
    recordElement();
    position_ += length;
  }

  void copy(std::size_t length) {
    result_ += text_.substr(position_, length);
    position_ += length;
  }

  /// Skips the text up to the end of the `open` containers around the current position; if that is
  /// zero, the container that begins there.
  void skipContainers(std::size_t open) {
    while (position_ < text_.size()) {
      const char letter = text_[position_];
      if (letter == '"') {
        position_ = endOfString(text_, position_);
        continue;
      }
      ++position_;
      open += opens(letter) ? 1 : 0;
      open -= closes(letter) ? 1 : 0;
      if (open == 0) {
        return;
      }
    }
  }

  /// Copies a number or literal if it is valid.
  void copyWord() {
    const auto* const begin = text_.begin() + static_cast<std::ptrdiff_t>(position_);
    const auto* const end = std::find_if(begin, text_.end(), endsWord);
    const auto length = static_cast<std::size_t>(end - begin);
    const std::string_view word = text_.substr(position_, length);
    // The library takes a NUL for the end of the text.
    if (word.find('\0') == std::string_view::npos && Json::accept(word)) {
      copy(length);
    } else {
      position_ += length;
      replaceValue();
    }
  }

  void copyString() {
    copy(1);
    while (position_ < text_.size()) {
      const char letter = text_[position_];
      if (letter == '"') {
        copy(1);
        return;
      }
      if (letter == '\\') {
        copyEscape();
      } else {
        copyCharacter();
      }
    }
  }

  void copyCharacter() {
    const std::size_t length = characterAt(text_, position_);
    if (length == 0 || isControl(text_[position_])) {
      replaceCharacters(1);
    } else {
      copy(length);
    }
  }

  void copyEscape() {
    constexpr std::size_t kSimpleLength = 2;
    const char kind = position_ + 1 < text_.size() ? text_[position_ + 1] : '\0';
    if (kind != 'u') {
      if (kind != '\0' && kSimpleEscapes.find(kind) != std::string_view::npos) {
        copy(kSimpleLength);
      } else {
        replaceCharacters(1);
      }
      return;
    }
    const auto code = unicodeEscapeAt(position_);
    if (!code) {
      replaceCharacters(kSimpleLength);
    } else if (isHighSurrogate(*code) &&
               isLowSurrogate(unicodeEscapeAt(position_ + kUnicodeEscapeLength).value_or(0))) {
      copy(2 * kUnicodeEscapeLength);
    } else if (isHighSurrogate(*code) || isLowSurrogate(*code)) {
      replaceCharacters(kUnicodeEscapeLength);
    } else {
      copy(kUnicodeEscapeLength);
    }
  }

  static bool isHighSurrogate(std::uint32_t code) { return code >= 0xD800 && code < 0xDC00; }
  static bool isLowSurrogate(std::uint32_t code) { return code >= 0xDC00 && code < 0xE000; }

  /// \return the code of the escape \uXXXX at `position`, or nothing if there is none
  std::optional<std::uint32_t> unicodeEscapeAt(std::size_t position) const {
    constexpr std::size_t kPrefixLength = 2;
    if (position + kUnicodeEscapeLength > text_.size() ||
        text_.substr(position, kPrefixLength) != "\\u") {
      return std::nullopt;
    }
    std::uint32_t code = 0;
    for (std::size_t digit = kPrefixLength; digit < kUnicodeEscapeLength; ++digit) {
      const auto value = hexValue(text_[position + digit]);
      if (!value) {
        return std::nullopt;
      }
      code = code * kHexBase + *value;
    }
    return code;
  }

  static std::optional<std::uint32_t> hexValue(char digit) {
    constexpr std::string_view kDigits = "0123456789abcdef";
    const char lower = digit >= 'A' && digit <= 'F' ? static_cast<char>(digit - 'A' + 'a') : digit;
    const auto value = kDigits.find(lower);
    return value == std::string_view::npos ? std::nullopt
                                           : std::optional(static_cast<std::uint32_t>(value));
  }

  std::string_view text_;
  RepairLimits limits_;
  std::string result_;
  std::size_t position_ = 0;
  std::vector<OpenContainer> containers_;
  std::size_t values_ = 1;
  /// Position in the list at kListDepth.
  std::size_t element_ = 0;
  std::set<std::size_t> replaced_elements_;
  std::size_t replaced_values_ = 0;
  std::size_t replaced_characters_ = 0;
};

/// \return the repaired text as JSON, or nothing if it has more than kMaximumJsonValues values
std::optional<BoundedJson> parseRepaired(std::string_view text, const RepairLimits& limits) {
  Repair repair(text, limits);
  const std::string repaired = repair.run();
  if (repair.values() > kMaximumJsonValues) {
    return std::nullopt;
  }
  try {
    return BoundedJson{Json::parse(repaired), repair.replacedValues(), repair.replacedCharacters(),
                       repair.takeReplacedElements()};
  } catch (const Json::exception& error) {
    // The message may quote all of a token.
    throw JsonError(abbreviated(error.what(), 2 * kMaximumQuotedBytes));
  }
}

}  // namespace

BoundedJson parseBoundedJson(std::string_view text, std::size_t maximum_depth) {
  if (text.starts_with(kByteOrderMark)) {
    text.remove_prefix(kByteOrderMark.size());
  }
  const Shape shape = shapeOf(text);
  const bool crowded = shape.values > kMaximumJsonValues;
  if (!crowded && shape.depth <= maximum_depth) {
    Json value = Json::parse(text, nullptr, false);
    if (!value.is_discarded()) {
      return {std::move(value), 0, 0, {}};
    }
  }
  RepairLimits limits{maximum_depth, crowded ? kLargestContainerBound : kMaximumJsonValues};
  for (; limits.container_values >= kSmallestContainerBound;
       limits.container_values /= kContainerBoundDivisor) {
    if (auto parsed = parseRepaired(text, limits)) {
      return std::move(*parsed);
    }
  }
  throw JsonError("the text has more than " + std::to_string(kMaximumJsonValues) + " values");
}

std::size_t replaceDeeperValues(Json& value, std::size_t maximum_depth) {
  if (!value.is_structured()) {
    return 0;
  }
  if (maximum_depth == 0) {
    value = nullptr;
    return 1;
  }
  std::size_t replaced = 0;
  for (Json& member : value) {
    replaced += replaceDeeperValues(member, maximum_depth - 1);
  }
  return replaced;
}

std::optional<std::uint64_t> integerIn(const Json& value, std::uint64_t maximum) {
  // The first double that is too large for the type of the result.
  constexpr double kBeyondIntegers = 18446744073709551616.0;
  std::uint64_t integer = 0;
  if (value.is_number_unsigned()) {
    integer = value.get<std::uint64_t>();
  } else if (value.is_number_integer()) {
    const auto number = value.get<std::int64_t>();
    if (number < 0) {
      return std::nullopt;
    }
    integer = static_cast<std::uint64_t>(number);
  } else if (value.is_number_float()) {
    const auto number = value.get<double>();
    if (!(number >= 0 && number < kBeyondIntegers) || number != std::floor(number)) {
      return std::nullopt;
    }
    integer = static_cast<std::uint64_t>(number);
  } else {
    return std::nullopt;
  }
  return integer <= maximum ? std::optional(integer) : std::nullopt;
}

std::optional<double> numberIn(const Json& value, double minimum, double maximum) {
  if (!value.is_number()) {
    return std::nullopt;
  }
  const auto number = value.get<double>();
  return number >= minimum && number <= maximum ? std::optional(number) : std::nullopt;
}

std::uint64_t integerAt(const Json& object, const char* name, std::uint64_t maximum) {
  const auto integer = integerIn(memberOrNull(object, name), maximum);
  if (!integer) {
    throw JsonError(std::string(name) + " is not an integer from 0 to " + std::to_string(maximum));
  }
  return *integer;
}

std::uint64_t integerOr(const Json& object, const char* name, std::uint64_t fallback,
                        std::uint64_t maximum) {
  return memberOrNull(object, name).is_null() ? fallback : integerAt(object, name, maximum);
}

const Json& memberOrNull(const Json& object, const char* name) {
  static const Json kMissing;
  if (!object.is_object()) {
    return kMissing;
  }
  const auto found = object.find(name);
  return found == object.end() ? kMissing : *found;
}

std::string asUtf8(std::string_view text) {
  std::string result;
  result.reserve(text.size());
  for (std::size_t position = 0; position < text.size();) {
    const std::size_t length = characterAt(text, position);
    if (length == 0) {
      result += kReplacement;
    } else {
      result += text.substr(position, length);
    }
    position += std::max<std::size_t>(length, 1);
  }
  return result;
}

std::string abbreviated(std::string_view text, std::size_t maximum_bytes, std::string_view ending) {
  if (text.size() <= maximum_bytes) {
    return std::string(text);
  }
  const auto continues = [&](std::size_t position) {
    return (static_cast<unsigned char>(text[position]) & 0xC0U) == 0x80;
  };
  std::size_t end = maximum_bytes;
  while (end > 0 && continues(end)) {
    --end;
  }
  return std::string(text.substr(0, end)).append(ending);
}

}  // namespace cypresswall::common
