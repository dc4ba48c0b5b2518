/// Parsing of JSON text from outside, of which any part may be malformed or hostile. nlohmann::json
/// copies, compares and writes values recursively, and rejects a whole text for one number out of
/// range or one invalid character. Here, depth and number of values are bounded before anything is
/// built, and what can't be represented is replaced so that the rest of the text remains readable.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cypresswall/common/errors.h"

namespace cypresswall::common {

/// Number of containers that may be nested within each other. The deepest format in use, a page of
/// the store with a declared fleet, has fewer than 12.
inline constexpr std::size_t kMaximumJsonDepth = 64;
/// Upper bound for the values of one text that are built. A value occupies up to about 100 bytes.
inline constexpr std::size_t kMaximumJsonValues = 1'000'000;
/// Upper bound up to which every JSON program represents all integers exactly, even one that stores
/// numbers as doubles.
inline constexpr std::uint64_t kLargestExactInteger = (std::uint64_t{1} << 53U) - 1;
/// Upper bound for integers that use all 64 bits, such as identifiers.
inline constexpr std::uint64_t kLargestInteger = std::numeric_limits<std::uint64_t>::max();
/// Bytes of a text from outside that are written to a log line or an error message.
inline constexpr std::size_t kMaximumQuotedBytes = 128;

/// Thrown if a text is not JSON or has too many values, or if a value is not what is expected.
class JsonError : public Error {
 public:
  using Error::Error;
};

struct BoundedJson {
  nlohmann::json value;
  /// Number of values that were replaced by null: containers that are nested too deeply or, in a
  /// text with too many values, too large; numbers out of range, and words that are not JSON.
  std::size_t replaced_values = 0;
  /// Number of bytes and escapes in strings that were replaced: invalid UTF-8, lone surrogates,
  /// unknown escapes and unescaped control characters.
  std::size_t replaced_characters = 0;
  /// Where the text is an object with a list: the positions in that list of the elements in which
  /// something was replaced. An answer with several lists yields the positions of all of them.
  std::set<std::size_t> replaced_elements;

  bool repaired() const { return replaced_values + replaced_characters != 0; }
};

/// Parses `text` in time linear in its size, without recursion. If it has more than
/// kMaximumJsonValues, large containers below a list of the outermost object are replaced by null.
/// \param maximum_depth containers that are nested more deeply are replaced by null
/// \throws JsonError if the text is not JSON, or has too many values, even after the replacements
BoundedJson parseBoundedJson(std::string_view text, std::size_t maximum_depth = kMaximumJsonDepth);

/// Replaces the containers in `value` that are nested more deeply by null.
/// \pre `value` is not nested more deeply than kMaximumJsonDepth
/// \return number of replaced containers
std::size_t replaceDeeperValues(nlohmann::json& value, std::size_t maximum_depth);

/// \return the integer in `value`, or nothing if it is not an integer from 0 to `maximum`. JSON
/// does
///   not distinguish integers from other numbers, so 48.0 is accepted as 48.
std::optional<std::uint64_t> integerIn(const nlohmann::json& value,
                                       std::uint64_t maximum = kLargestExactInteger);

/// \return the number in `value`, or nothing if it is not a number from `minimum` to `maximum`
std::optional<double> numberIn(const nlohmann::json& value, double minimum, double maximum);

/// \return the integer `name` in `object`. \throws JsonError if it is missing, or not an integer
/// from
///   0 to `maximum`
std::uint64_t integerAt(const nlohmann::json& object, const char* name,
                        std::uint64_t maximum = kLargestExactInteger);

/// \return the integer `name` in `object`, or `fallback` if it is missing or null.
/// \throws JsonError if it is not an integer from 0 to `maximum`
std::uint64_t integerOr(const nlohmann::json& object, const char* name, std::uint64_t fallback,
                        std::uint64_t maximum = kLargestExactInteger);

/// \return the member `name` of `object`; null if it is missing or `object` is not an object
const nlohmann::json& memberOrNull(const nlohmann::json& object, const char* name);

/// \return `text` with each byte that is not part of a valid UTF-8 character replaced by '?'
std::string asUtf8(std::string_view text);

/// \return `text`, or its beginning followed by `ending` if it is longer than `maximum_bytes`. Does
///   not split UTF-8 characters.
std::string abbreviated(std::string_view text, std::size_t maximum_bytes = kMaximumQuotedBytes,
                        std::string_view ending = "...");

}  // namespace cypresswall::common
