/// JSON texts with one odd value each, for tests of readers.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace cypresswall::testing {

/// Depth at which a recursive copy or dump of a value overflows the stack.
inline constexpr std::size_t kOddDepth = 100'000;

inline std::string deepJson(std::size_t depth = kOddDepth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

/// \return texts that replace a value: of another type, out of every range, deep, long or invalid
inline std::vector<std::string> oddJsonValues() {
  std::string long_list = "[0";
  for (int item = 1; item < 100'000; ++item) {
    long_list += ",0";
  }
  return {"null",
          "true",
          "[]",
          "{}",
          "\"\"",
          "-1",
          "0.5",
          "1e300",
          "-1e300",
          "9007199254740993",
          "18446744073709551615",
          "18446744073709551616",
          "4294967376",
          "1e400",
          std::string(400, '9'),
          "\"\\ud800\"",
          "\"\xff\"",
          "\"\\u0000\"",
          nlohmann::json(std::string(std::size_t{1} << 20, 'n')).dump(),
          long_list.append("]"),
          deepJson(),
          std::string("{\"a\":").append(deepJson()).append("}")};
}

namespace detail {

/// Calls `found` with each value below `value`, which it may change.
template <typename Found>
void visitValues(nlohmann::json& value, const Found& found) {
  // Iteration over a value that is no container yields the value itself.
  if (!value.is_structured()) {
    return;
  }
  for (auto& member : value) {
    visitValues(member, found);
    found(member);
  }
}

}  // namespace detail

/// Calls `check` with copies of the JSON text `example`, in each of which one value is replaced.
/// \return number of copies
template <typename Check>
std::size_t forEachOddCopy(const std::string& example, const Check& check) {
  constexpr const char* kMark = "@odd value@";
  const std::string marked = nlohmann::json(kMark).dump();
  const std::vector<std::string> odd_values = oddJsonValues();
  nlohmann::json document = nlohmann::json::parse(example);
  std::size_t copies = 0;
  detail::visitValues(document, [&](nlohmann::json& value) {
    const nlohmann::json kept = std::exchange(value, kMark);
    const std::string text = document.dump();
    value = kept;
    const auto position = text.find(marked);
    for (const std::string& odd : odd_values) {
      check(std::string(text).replace(position, marked.size(), odd));
      ++copies;
    }
  });
  return copies;
}

}  // namespace cypresswall::testing
