/// JSON from outside: one value that is nested too deeply, out of range or not valid text must not
/// make the rest of the text unreadable, nor lead to unbounded recursion.
#include "cypresswall/common/bounded_json.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/common/log_interval.h"
#include "tests/support/property.h"

namespace cypresswall::common {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kHostileDepth = 100'000;

std::string nested(std::size_t depth, const std::string& open, const std::string& close) {
  std::string text;
  for (std::size_t level = 0; level < depth; ++level) {
    text += open;
  }
  text += "1";
  for (std::size_t level = 0; level < depth; ++level) {
    text += close;
  }
  return text;
}

std::string repeated(const std::string& piece, std::size_t times) {
  std::string text;
  for (std::size_t time = 0; time < times; ++time) {
    text += piece;
  }
  return text;
}

/// \return containers of various shapes with at least `values` values each
std::vector<std::string> largeContainers(std::size_t values) {
  return {
      "[0" + repeated(",0", values) + "]", R"({"a":0)" + repeated(R"(,"a":0)", values) + "}",
      "[{}" + repeated(R"(,{"[":[",]"]})", values / 2) + "]",
      R"({"a":1e400,"b":"\ud800")" + repeated(R"(,"c":{})", values) + "}",
      "[" + nested(2 * kMaximumJsonDepth, "[", "]") + repeated(",[[1,2],[3,4]]", values / 6) + "]"};
}

/// \return the number of nested containers
std::size_t depthOf(const Json& value) {
  std::size_t depth = 0;
  for (const Json* level = &value; level->is_structured(); ++depth) {
    if (level->empty()) {
      return depth + 1;
    }
    level = &level->front();
  }
  return depth;
}

class BoundedJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedJsonTest);
  CPPUNIT_TEST(validTextIsUnchanged);
  CPPUNIT_TEST(deepValuesEndAtTheLimit);
  CPPUNIT_TEST(depthCountsOutsideOfStringsOnly);
  CPPUNIT_TEST(replacesOnlyTheOddValue);
  CPPUNIT_TEST(replacesInvalidCharacters);
  CPPUNIT_TEST(keepsValidEscapes);
  CPPUNIT_TEST(brokenStructureIsAnError);
  CPPUNIT_TEST(tooManyValuesAreAnError);
  CPPUNIT_TEST(manyValuesOfOneMemberLeaveTheOthers);
  CPPUNIT_TEST(manyValuesOfManyMembersLeaveTheOthers);
  CPPUNIT_TEST(brokenStructureWithManyValuesIsAnError);
  CPPUNIT_TEST(messagesAreShort);
  CPPUNIT_TEST(integersAreExactOrNothing);
  CPPUNIT_TEST(numbersAreWithinBounds);
  CPPUNIT_TEST(replacesDeeperValues);
  CPPUNIT_TEST(abbreviatesBetweenCharacters);
  CPPUNIT_TEST(anyBytesAreReadOrRefused);
  CPPUNIT_TEST(anyBytesBesideSoundMembersLeaveThese);
  CPPUNIT_TEST(linesAreWrittenOnceAnInterval);
  CPPUNIT_TEST_SUITE_END();

 public:
  void validTextIsUnchanged() {
    for (const std::string text :
         {"{}", "null", "-0.5e3", R"({"a":[1,2,{"b":"\u00e9\ud83d\ude00 \"[{\\"}],"c":true})",
          "18446744073709551615", "\"\xc3\xa9\"", " [ ] "}) {
      const BoundedJson parsed = parseBoundedJson(text);
      CPPUNIT_ASSERT_MESSAGE(text, !parsed.repaired());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, Json::parse(text), parsed.value);
    }
    CPPUNIT_ASSERT_EQUAL(Json(1), parseBoundedJson("\xEF\xBB\xBF"
                                                   "1")
                                      .value);
  }

  void deepValuesEndAtTheLimit() {
    for (const auto& [open, close] : std::vector<std::pair<std::string, std::string>>{
             {"[", "]"}, {R"({"a":)", "}"}, {R"([{"a":)", "}]"}}) {
      const BoundedJson parsed = parseBoundedJson(nested(kHostileDepth, open, close));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parsed.replaced_values);
      CPPUNIT_ASSERT_EQUAL(kMaximumJsonDepth, depthOf(parsed.value));
      // A copy and a dump recurse.
      CPPUNIT_ASSERT_EQUAL(parsed.value.dump(), Json(parsed.value).dump());
    }
    const auto sound = nested(kMaximumJsonDepth, "[", "]");
    CPPUNIT_ASSERT(!parseBoundedJson(sound).repaired());
    const auto beside =
        parseBoundedJson(R"({"a":7,"deep":)" + nested(kHostileDepth, "[", "]") + R"(,"b":"x"})");
    CPPUNIT_ASSERT_EQUAL(Json(7), beside.value.at("a"));
    CPPUNIT_ASSERT_EQUAL(Json("x"), beside.value.at("b"));
  }

  void depthCountsOutsideOfStringsOnly() {
    const std::string brackets(1000, '[');
    const BoundedJson parsed = parseBoundedJson(R"({"\"[[[":")" + brackets + R"("})");
    CPPUNIT_ASSERT(!parsed.repaired());
    CPPUNIT_ASSERT_EQUAL(Json(brackets), parsed.value.at("\"[[["));
  }

  void replacesOnlyTheOddValue() {
    for (const std::string& odd :
         {std::string("1e400"), std::string("-1e400"), std::string(400, '9'),
          std::string("Infinity"), std::string("NaN"), std::string("-"), std::string("01"),
          std::string("tru"), std::string("undefined"), std::string("1\0", 2),
          std::string("\xff\xfe")}) {
      std::string text = R"({"a":[1,)";
      text.append(odd).append(R"(,3],"odd":)").append(odd).append(R"(,"b":{"c":"x"}})");
      const BoundedJson parsed = parseBoundedJson(text);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t{2}, parsed.replaced_values);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, Json::parse(R"({"a":[1,null,3],"odd":null,"b":{"c":"x"}})"),
                                   parsed.value);
    }
  }

  void replacesInvalidCharacters() {
    using namespace std::string_literals;
    for (const auto& [odd, read] : std::vector<std::pair<std::string, std::string>>{
             {"\\ud800", "?"},
             {"\\udc00", "?"},
             {"\\ud800\\u0041", "?A"},
             {"\\ud800\\ud800\\udc00", "?\xf0\x90\x80\x80"},
             {"\\u12g4", "?12g4"},
             {"\\x41", "?x41"},
             {"\xff", "?"},
             {"\xc3", "?"},
             {"\xed\xa0\x80", "???"},
             {"\n", "?"},
             {"\0"s, "?"}}) {
      const BoundedJson parsed = parseBoundedJson(R"({"a":"x)" + odd + R"(y","b":"z"})");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, "x" + read + "y", parsed.value.at("a").get<std::string>());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, Json("z"), parsed.value.at("b"));
      CPPUNIT_ASSERT_MESSAGE(odd, parsed.replaced_characters > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(odd, std::size_t{0}, parsed.replaced_values);
    }
  }

  void keepsValidEscapes() {
    // The number makes the text go through the replacements.
    const std::string sound = R"("\"\\\/\b\f\n\r\t\u0000\u00e9\ud83d\ude00")";
    const BoundedJson parsed = parseBoundedJson("[1e400," + sound + "]");
    CPPUNIT_ASSERT_EQUAL(Json::parse(sound), parsed.value.at(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, parsed.replaced_characters);
  }

  void brokenStructureIsAnError() {
    for (const char* text : {"", " ", "[", "]", "{\"a\"}", "[1,]", "[1 2]", "{1:2}", "\"a", "\"a\\",
                             "{\"a\":1]", "[1]]", "[[[["}) {
      CPPUNIT_ASSERT_THROW_MESSAGE(text, parseBoundedJson(text), JsonError);
    }
    CPPUNIT_ASSERT_THROW(parseBoundedJson(std::string(kHostileDepth, '[')), JsonError);
    CPPUNIT_ASSERT_THROW(parseBoundedJson(std::string(kHostileDepth, ']')), JsonError);
  }

  void tooManyValuesAreAnError() {
    std::string text = "[0";
    for (std::size_t value = 0; value < kMaximumJsonValues; ++value) {
      text += ",0";
    }
    CPPUNIT_ASSERT_THROW(parseBoundedJson(text + "]"), JsonError);
  }

  /// Guards against an answer that can't be read as a whole because one of its members has very
  /// many values.
  void manyValuesOfOneMemberLeaveTheOthers() {
    const std::string first = R"({"name":"a","spec":{"b":[1,"[,"]}})";
    const std::string last = R"({"spec":[[],{}],"name":"z"})";
    for (const std::string& odd : largeContainers(kMaximumJsonValues)) {
      std::string text = R"({"at":7,"items":[)";
      text.append(first).append(R"(,{"name":"odd","spec":)").append(odd).append(R"(,"end":1},)");
      text.append(odd).append(",").append(last).append(R"(],"more":true})");
      std::string expected = R"({"at":7,"items":[)";
      expected.append(first).append(R"(,{"name":"odd","spec":null,"end":1},null,)");
      expected.append(last).append(R"(],"more":true})");
      const BoundedJson parsed = parseBoundedJson(text);
      const Json read = Json::parse(expected);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(odd.substr(0, 20), read, parsed.value);
      CPPUNIT_ASSERT(parsed.replaced_values >= 2);
      CPPUNIT_ASSERT(parsed.replaced_elements == (std::set<std::size_t>{1, 2}));
    }
  }

  /// Guards against members none of which has too many values, while all of them together do.
  void manyValuesOfManyMembersLeaveTheOthers() {
    constexpr std::size_t kOddMembers = 400;
    for (const std::string& odd : largeContainers(3000)) {
      std::string text = R"({"items":[{"name":"a","spec":[1,2]})";
      for (std::size_t member = 0; member < kOddMembers; ++member) {
        text.append(R"(,{"name":"odd","spec":)").append(odd).append("}");
      }
      text += R"(,{"name":"z","spec":{"b":{}}}]})";
      const BoundedJson parsed = parseBoundedJson(text);
      const Json& items = parsed.value.at("items");
      CPPUNIT_ASSERT_EQUAL(kOddMembers + 2, items.size());
      CPPUNIT_ASSERT_EQUAL(Json::parse(R"({"name":"a","spec":[1,2]})"), items.front());
      CPPUNIT_ASSERT_EQUAL(Json::parse(R"({"name":"z","spec":{"b":{}}})"), items.back());
      CPPUNIT_ASSERT_EQUAL(Json::parse(R"({"name":"odd","spec":null})"), items.at(1));
      CPPUNIT_ASSERT_EQUAL(kOddMembers, parsed.replaced_elements.size());
    }
  }

  void brokenStructureWithManyValuesIsAnError() {
    for (const std::string& odd : largeContainers(kMaximumJsonValues)) {
      for (const std::string& text :
           {R"({"items":[{"spec":)" + odd.substr(0, odd.size() - 1),
            R"({"items":[{"spec":)" + odd + "}}", R"({"items":[{"spec":)" + odd + "]]]]]"}) {
        CPPUNIT_ASSERT_THROW(parseBoundedJson(text), JsonError);
      }
    }
  }

  void messagesAreShort() {
    try {
      parseBoundedJson("[\"" + std::string(1'000'000, 'a') + "\" 1]");
      CPPUNIT_FAIL("not refused");
    } catch (const JsonError& error) {
      CPPUNIT_ASSERT(std::string(error.what()).size() < 1000);
    }
  }

  void integersAreExactOrNothing() {
    using Expected = std::optional<std::uint64_t>;
    const auto read = [](const std::string& text, std::uint64_t maximum = kLargestInteger) {
      return integerIn(parseBoundedJson(text).value, maximum);
    };
    CPPUNIT_ASSERT(Expected(48) == read("48"));
    CPPUNIT_ASSERT(Expected(48) == read("48.0"));
    CPPUNIT_ASSERT(Expected(0) == read("-0"));
    CPPUNIT_ASSERT(Expected(kLargestInteger) == read("18446744073709551615"));
    CPPUNIT_ASSERT(Expected(65535) == read("65535", 65535));
    for (const char* text : {"65536", "99999", "4294967376", "6.5536e4"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !read(text, 65535));
    }
    for (const char* text :
         {"-1", "-80", "0.5", "18446744073709551616", "18446744073709551616.0", "1e300", "-1e300",
          "1e400", "null", "true", "\"48\"", "[]", "[48]", "{}"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !read(text));
    }
    const Json object = Json::parse(R"({"a":4,"b":-4,"c":null})");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, integerAt(object, "a"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, integerOr(object, "c", 9));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, integerOr(object, "d", 9));
    CPPUNIT_ASSERT_THROW(integerOr(object, "b", 9), JsonError);
    CPPUNIT_ASSERT_THROW(integerAt(object, "d"), JsonError);
    CPPUNIT_ASSERT_THROW(integerAt(Json("text"), "d"), JsonError);
  }

  void numbersAreWithinBounds() {
    CPPUNIT_ASSERT(std::optional(0.5) == numberIn(Json(0.5), 0, 1));
    CPPUNIT_ASSERT(std::optional(1.0) == numberIn(Json(1), 0, 1));
    CPPUNIT_ASSERT(!numberIn(Json(-0.5), 0, 1));
    CPPUNIT_ASSERT(!numberIn(Json(1e300), 0, 1));
    CPPUNIT_ASSERT(!numberIn(Json("0.5"), 0, 1));
    CPPUNIT_ASSERT(!numberIn(Json(true), 0, 1));
  }

  void replacesDeeperValues() {
    Json value = Json::parse(R"({"a":[[1],2],"b":3})");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replaceDeeperValues(value, 2));
    CPPUNIT_ASSERT_EQUAL(Json::parse(R"({"a":[null,2],"b":3})"), value);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, replaceDeeperValues(value, 2));
  }

  void abbreviatesBetweenCharacters() {
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), abbreviated("abc", 3));
    CPPUNIT_ASSERT_EQUAL(std::string("ab..."), abbreviated("abcd", 2));
    CPPUNIT_ASSERT_EQUAL(std::string("a..."), abbreviated("a\xc3\xa9xx", 2));
    CPPUNIT_ASSERT_EQUAL(std::string("..."), abbreviated("\xf0\x9f\x98\x80xx", 2));
  }

  void anyBytesAreReadOrRefused() {
    testing::requireProperty("any bytes are read or refused", 3000, [] {
      const auto pieces =
          *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
              "{", "}", "[", "]", ",", ":", "\"", "\\", "\\u", "d800", "dc00", "1", "-", "e400",
              ".", "null", "true", "\xff", "\xc3\xa9", " ", std::string(1, '\0'),
              "\"a\":", "[[[[[[[["));
      std::string text;
      for (const std::string& piece : pieces) {
        text += piece;
      }
      try {
        const BoundedJson parsed = parseBoundedJson(text, 4);
        RC_ASSERT(depthOf(parsed.value) <= 4U);
        RC_ASSERT(Json::parse(parsed.value.dump()) == parsed.value);
      } catch (const JsonError&) {
        RC_SUCCEED("refused");
      }
    });
  }

  void anyBytesBesideSoundMembersLeaveThese() {
    testing::requireProperty("bytes in a string leave its neighbours", 2000, [] {
      auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
      std::erase(bytes, '"');
      std::erase(bytes, '\\');
      const BoundedJson parsed = parseBoundedJson(R"({"a":1,"odd":")" + bytes + R"(","z":[2]})");
      RC_ASSERT(parsed.value.at("a") == Json(1));
      RC_ASSERT(parsed.value.at("odd").is_string());
      RC_ASSERT(parsed.value.at("z") == Json::array({2}));
    });
  }

  void linesAreWrittenOnceAnInterval() {
    LogInterval interval(std::chrono::seconds(10));
    const MonotonicTime begin(std::chrono::seconds(5));
    CPPUNIT_ASSERT(!interval.record(begin, 0));
    CPPUNIT_ASSERT(std::optional<std::uint64_t>(3) == interval.record(begin, 3));
    CPPUNIT_ASSERT(!interval.record(begin + std::chrono::seconds(9)));
    CPPUNIT_ASSERT(!interval.record(begin + std::chrono::seconds(9), 5));
    CPPUNIT_ASSERT(std::optional<std::uint64_t>(7) ==
                   interval.record(begin + std::chrono::seconds(10)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedJsonTest);

}  // namespace
}  // namespace cypresswall::common
