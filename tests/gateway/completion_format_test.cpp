#include "cypresswall/gateway/completion_format.h"

#include <nlohmann/json.hpp>

#include "tests/support/property.h"

namespace cypresswall::gateway {
namespace {

using Json = nlohmann::json;

void appendUtf8(std::string& out, std::uint32_t code) {
  const auto tail = [&](int shift) { out += static_cast<char>(0x80 | ((code >> shift) & 0x3f)); };
  if (code < 0x80) {
    out += static_cast<char>(code);
  } else if (code < 0x800) {
    out += static_cast<char>(0xC0 | (code >> 6));
    tail(0);
  } else if (code < 0x10000) {
    out += static_cast<char>(0xE0 | (code >> 12));
    tail(6);
    tail(0);
  } else {
    out += static_cast<char>(0xF0 | (code >> 18));
    tail(12);
    tail(6);
    tail(0);
  }
}

/// Generates arbitrary text with many characters that are special in JSON or server-sent events.
rc::Gen<std::string> arbitraryText() {
  const auto code = rc::gen::oneOf(
      rc::gen::element<std::uint32_t>('"', '\\', '\n', '\r', 0, 0x7f, 0x2028),
      rc::gen::inRange<std::uint32_t>(0, 0x80), rc::gen::inRange<std::uint32_t>(0x80, 0x800),
      rc::gen::inRange<std::uint32_t>(0x800, 0xD800),
      rc::gen::inRange<std::uint32_t>(0xE000, 0x110000));
  return rc::gen::map(rc::gen::container<std::vector<std::uint32_t>>(code),
                      [](const std::vector<std::uint32_t>& codes) {
                        std::string text;
                        for (const auto each : codes) {
                          appendUtf8(text, each);
                        }
                        return text;
                      });
}

class CompletionFormatTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CompletionFormatTest);
  CPPUNIT_TEST(eventsRoundTrip);
  CPPUNIT_TEST(completeAnswersRoundTrip);
  CPPUNIT_TEST(invalidUtf8IsReplaced);
  CPPUNIT_TEST_SUITE_END();

 public:
  void eventsRoundTrip() {
    testing::requireProperty("events read back", 2000, [] {
      const auto text = *arbitraryText();
      const auto model = *arbitraryText();
      const StreamFormatter format({CompletionKind::kChat, "id", model, 1});
      std::string event;
      format.appendToken(event, text);
      // Exactly one event: a data line followed by an empty line.
      RC_ASSERT(event.starts_with("data: "));
      RC_ASSERT(event.find('\n') == event.size() - 2);
      RC_ASSERT(event.find('\r') == std::string::npos);
      const auto json = Json::parse(event.substr(6));
      RC_ASSERT(json["choices"][0]["delta"]["content"] == text);
      RC_ASSERT(json["model"] == model);
    });
  }

  void completeAnswersRoundTrip() {
    testing::requireProperty("whole answers read back", 500, [] {
      const auto text = *arbitraryText();
      const auto body =
          completeAnswer({CompletionKind::kText, "id", "m", 1}, text, {1, 0, 2, "stop"});
      RC_ASSERT(Json::parse(body)["choices"][0]["text"] == text);
    });
  }

  void invalidUtf8IsReplaced() {
    testing::requireProperty("any bytes give valid JSON", 2000,
                             [](const std::vector<std::uint8_t>& bytes) {
                               std::string escaped = "\"";
                               appendJsonEscaped(escaped, std::string(bytes.begin(), bytes.end()));
                               escaped += '"';
                               RC_ASSERT(Json::accept(escaped));
                             });
    std::string replaced;
    appendJsonEscaped(replaced, "a\xffz");
    CPPUNIT_ASSERT_EQUAL(std::string("a\xEF\xBF\xBDz"), replaced);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CompletionFormatTest);

}  // namespace
}  // namespace cypresswall::gateway
