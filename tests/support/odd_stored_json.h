/// JSON values that any writer may leave in an object that others read, and texts that contain them
/// in each place.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cypresswall::testing {

inline std::string nestedValue(std::size_t depth, const std::string& open,
                               const std::string& close) {
  std::string text;
  for (std::size_t level = 0; level < depth; ++level) {
    text += open;
  }
  for (std::size_t level = 0; level < depth; ++level) {
    text += close;
  }
  return text;
}

/// \return values as JSON text; some of them are no valid JSON
inline std::vector<std::string> oddStoredValues() {
  constexpr std::size_t kHostileDepth = 100'000;
  using namespace std::string_literals;
  return {nestedValue(kHostileDepth, "[", "]"),
          nestedValue(kHostileDepth, "{\"a\":[", "]}"),
          "1e400",
          "-1e400",
          std::string(400, '9'),
          "Infinity",
          "NaN",
          "-1",
          "0.5",
          "1e300",
          "18446744073709551615",
          "18446744073709551616",
          "9007199254740993",
          "\"\\ud800\"",
          "\"x\\udc00\\u0000y\"",
          "\"\xff\xfe\"",
          "\"\xed\xa0\x80\"",
          "\"a\0b\""s,
          "\"\\u0000\"",
          "\"a\\r\\nb: c\"",
          "\"\"",
          "\"a/b\"",
          "\"_5\"",
          "null",
          "true",
          "\"text\"",
          "[]",
          "[null, 7, \"a\", {}]",
          "{}",
          "{\"a\": {\"b\": null}}",
          "\"" + std::string(std::size_t{1} << 20U, 'n') + "\"",
          "\"10.0.0.1:0\"",
          "\"10.0.0.1:65536\"",
          "\"10.0.0.1:99999\"",
          "\"10.0.0.1:-80\"",
          "\"10.0.0.1:4294967376\"",
          "0",
          "65536",
          "-80"};
}

/// \return pointers to all values within `example`, and to `example` itself
inline std::vector<nlohmann::json::json_pointer> placesIn(const nlohmann::json& example) {
  std::vector<nlohmann::json::json_pointer> places{nlohmann::json::json_pointer()};
  const auto flat = example.flatten();
  for (const auto& [path, value] : flat.items()) {
    // Each beginning of a leaf's path is the place of a container.
    for (nlohmann::json::json_pointer place(path); !place.empty(); place = place.parent_pointer()) {
      if (std::find(places.begin(), places.end(), place) == places.end()) {
        places.push_back(place);
      }
    }
  }
  return places;
}

/// \return `example` as text, with `odd` in place of the value at `place`
inline std::string mutatedText(nlohmann::json example, const nlohmann::json::json_pointer& place,
                               const std::string& odd) {
  const std::string mark = "value to be replaced";
  example[place] = mark;
  std::string text = example.dump();
  return text.replace(text.find('"' + mark + '"'), mark.size() + 2, odd);
}

}  // namespace cypresswall::testing
