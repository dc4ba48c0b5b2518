#include "cypresswall/engines/stream_event.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cypresswall/engines/engine_json.h"
#include "cypresswall/engines/sse_parser.h"
#include "tests/support/odd_json.h"
#include "tests/support/property.h"

namespace cypresswall::engines {
namespace {

std::string tokenJson(const std::string& text) {
  return R"({"attempt": 2, "index": 7, "token": ")" + text + "\"}";
}

class StreamEventTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamEventTest);
  CPPUNIT_TEST(fastParserReadsPlainTokens);
  CPPUNIT_TEST(fastParserRejectsOtherForms);
  CPPUNIT_TEST(fastAndFullParsersAgree);
  CPPUNIT_TEST(arbitraryBytesAreParsedOrRejected);
  CPPUNIT_TEST(readsDoneEvent);
  CPPUNIT_TEST(eventsSurviveArbitrarySplits);
  CPPUNIT_TEST(limitsEventSize);
  CPPUNIT_TEST(rejectsMalformedAnswers);
  CPPUNIT_TEST(messagesOnOddEventsAreShort);
  CPPUNIT_TEST(oddNumbersOfAReportAreNeverConverted);
  CPPUNIT_TEST(oddCacheEventIsLeftOutAlone);
  CPPUNIT_TEST(noOddValueEndsTheProcess);
  CPPUNIT_TEST_SUITE_END();

 public:
  void fastParserReadsPlainTokens() {
    TokenEvent event;
    for (const std::string text : {" plain", "", "\u5BAE\u5D0E", "na\u00EFve", "{\u20AC,}"}) {
      CPPUNIT_ASSERT(parseTokenEventFast(tokenJson(text), event));
      CPPUNIT_ASSERT(event == (TokenEvent{2, 7, text}));
    }
    CPPUNIT_ASSERT(parseTokenEventFast(R"({"token":"a","index":0,"attempt":1})", event));
    CPPUNIT_ASSERT(event == (TokenEvent{1, 0, "a"}));
  }

  void fastParserRejectsOtherForms() {
    TokenEvent event;
    const std::vector<std::string> others = {
        "",
        "{}",
        "[]",
        tokenJson("\\n"),
        tokenJson("\x01"),
        tokenJson("\xff"),
        tokenJson("\xe5\xae"),
        tokenJson("x") + "x",
        R"({"attempt": 1, "index": 0})",
        R"({"attempt": 1, "attempt": 1, "index": 0, "token": "x"})",
        R"({"attempt": 01, "index": 0, "token": "x"})",
        R"({"attempt": -1, "index": 0, "token": "x"})",
        R"({"attempt": 1.5, "index": 0, "token": "x"})",
        R"({"attempt": 1, "index": 9999999999, "token": "x"})",
        R"({"attempt": 1, "index": 0, "token": "x", "more": 1})",
        R"({"attempt": 1, "index": 0, "token": "x")",
        R"({"attempt": 1, "index": 0, "token": "x)"};
    for (const std::string& json : others) {
      CPPUNIT_ASSERT_MESSAGE(json, !parseTokenEventFast(json, event));
    }
  }

  void fastAndFullParsersAgree() {
    testing::requireProperty(
        "what the fast parser accepts, the full parser reads alike", 2000,
        [](std::uint32_t attempt, std::uint32_t index, const std::string& text, bool raw,
           std::uint8_t cut) {
          const nlohmann::json value = {{"attempt", attempt}, {"index", index}, {"token", text}};
          std::string json =
              raw ? tokenJson(text)
                  : value.dump(-1, ' ', cut % 2 == 0, nlohmann::json::error_handler_t::replace);
          if (cut > 200) {
            json.resize(json.size() - std::min<std::size_t>(json.size(), cut - 200U));
          }
          TokenEvent fast;
          if (parseTokenEventFast(json, fast)) {
            RC_ASSERT(std::get<TokenEvent>(parseStreamEvent(json)) == fast);
          }
        });
  }

  void arbitraryBytesAreParsedOrRejected() {
    testing::requireProperty(
        "no answer of an engine crashes a parser", 2000, [](const std::string& bytes) {
          for (const auto& parse : {+[](std::string_view json) { parseStreamEvent(json); },
                                    +[](std::string_view json) { parseEngineLoad(json); },
                                    +[](std::string_view json) { parseOrderReply(json); },
                                    +[](std::string_view json) { parseCacheEvents(json); }}) {
            RC_ASSERT_THROWS_AS(parse(bytes), EngineProtocolError);
          }
          RC_ASSERT(!parseStreamRefusal(bytes).not_run);
        });
  }

  void readsDoneEvent() {
    const auto event = std::get<DoneEvent>(parseStreamEvent(
        R"({"attempt": 3, "done": true, "prompt_tokens": 10, "cached_prompt_tokens": 4,
            "output_tokens": 5, "finish_reason": "stop", "unknown": null})"));
    CPPUNIT_ASSERT_EQUAL(3U, event.attempt);
    CPPUNIT_ASSERT_EQUAL(10U, event.usage.prompt_tokens);
    CPPUNIT_ASSERT_EQUAL(4U, event.usage.cached_prompt_tokens);
    CPPUNIT_ASSERT_EQUAL(5U, event.usage.output_tokens);
    CPPUNIT_ASSERT_EQUAL(std::string("stop"), event.usage.finish_reason);
  }

  void eventsSurviveArbitrarySplits() {
    const std::string bytes =
        ": comment\r\n\r\ndata: one\r\n\r\nevent: x\ndata:two\ndata: lines\n\ndata: cut";
    testing::requireProperty(
        "events come whole however the bytes are split", 200,
        [&](const std::vector<std::uint8_t>& cuts) {
          SseParser parser;
          std::vector<std::string> events;
          std::size_t position = 0;
          std::size_t turn = 0;
          while (position < bytes.size()) {
            const std::size_t step = cuts.empty() ? 1 : 1 + cuts[turn++ % cuts.size()] % 9;
            parser.feed(std::string_view(bytes).substr(position, step), [&](std::string_view data) {
              events.emplace_back(data);
              return true;
            });
            position += step;
          }
          RC_ASSERT(events == (std::vector<std::string>{"one", "two\nlines"}));
        });
  }

  void limitsEventSize() {
    SseParser parser;
    const std::string piece(64U << 10, 'x');
    const auto ignore = [](std::string_view) { return true; };
    const auto feedForever = [&] {
      for (std::size_t fed = 0; fed <= 2 * kMaximumEventBytes; fed += piece.size()) {
        parser.feed(piece, ignore);
      }
    };
    CPPUNIT_ASSERT_THROW(feedForever(), SseError);
  }

  void rejectsMalformedAnswers() {
    CPPUNIT_ASSERT_THROW(parseOrderReply(R"({"verdict": "perhaps"})"), EngineProtocolError);
    CPPUNIT_ASSERT_THROW(parseCacheEvents(R"({"incarnation": 1, "last_sequence": 1, "events":
        [{"sequence": 1, "kind": "stored", "piece": "xyz"}]})"),
                         EngineProtocolError);
    CPPUNIT_ASSERT_THROW(parseStreamEvent(R"({"attempt": -1, "index": 0, "token": "\n"})"),
                         EngineProtocolError);
    CPPUNIT_ASSERT_THROW(parseStreamEvent(R"({"attempt": 1, "done": false})"), EngineProtocolError);
  }

  // Guards against: the reason that is logged for an odd event quotes all of its 64 KiB.
  void messagesOnOddEventsAreShort() {
    for (const std::string& odd : {std::string(kMaximumEventBytes, 'x') + "\xff",
                                   std::string(kMaximumEventBytes, '9') + "\" x"}) {
      try {
        parseStreamEvent(R"({"attempt": 1, "index": 0, "token": ")" + odd);
        CPPUNIT_FAIL("not refused");
      } catch (const EngineProtocolError& error) {
        CPPUNIT_ASSERT_MESSAGE(std::to_string(std::string(error.what()).size()),
                               std::string(error.what()).size() < 1000);
      }
    }
  }

  // Guards against: a negative, fractional or huge number in a report becomes another number, or a
  // duration out of range.
  void oddNumbersOfAReportAreNeverConverted() {
    const auto report = nlohmann::json::parse(kReport);
    CPPUNIT_ASSERT_EQUAL(12U, parseEngineLoad(kReport).running_streams);
    for (const char* field :
         {"incarnation", "last_sequence", "running_streams", "waiting_streams", "maximum_streams",
          "queued_prefill_tokens", "queued_decode_tokens", "cache_pieces_used",
          "cache_pieces_total", "prefill_tokens_per_second", "decode_step_base_us",
          "decode_step_per_stream_us", "age_ms"}) {
      for (const double odd : {-1.0, 1e300, -1e300}) {
        auto copy = report;
        copy[field] = odd;
        CPPUNIT_ASSERT_THROW_MESSAGE(field, parseEngineLoad(copy.dump()), EngineProtocolError);
      }
    }
  }

  // Guards against: one odd event makes a whole batch of cache events unreadable.
  void oddCacheEventIsLeftOutAlone() {
    for (const std::string& odd : testing::oddJsonValues()) {
      const auto events = parseCacheEvents(
          R"({"incarnation": 1, "last_sequence": 3, "events": [
              {"sequence": 1, "kind": "stored", "piece": "a1"}, )" +
          odd + R"(, {"sequence": 3, "kind": "evicted", "piece": "b2"}]})");
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.events.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.unreadable);
      CPPUNIT_ASSERT(events.gap.value());
    }
  }

  // Guards against: a value of an engine's answer that is deep, long or out of range ends the
  // process.
  void noOddValueEndsTheProcess() {
    requireReadOrRefused(kReport, [](const std::string& json) { parseEngineLoad(json); });
    requireReadOrRefused(R"({"verdict": "accepted", "highest_epoch": {"generation": 1, "term": 2},
                             "last_sequence": 3, "in_progress": false})",
                         [](const std::string& json) { parseOrderReply(json); });
    requireReadOrRefused(R"({"incarnation": 1, "last_sequence": 3, "events": [
                             {"sequence": 1, "kind": "stored", "piece": "a1"}]})",
                         [](const std::string& json) { parseCacheEvents(json); });
    requireReadOrRefused(R"({"attempt": 3, "done": true, "prompt_tokens": 10, "output_tokens": 5,
                             "cached_prompt_tokens": 4, "finish_reason": "stop"})",
                         [](const std::string& json) { parseStreamEvent(json); });
    requireReadOrRefused(R"({"attempt": 2, "index": 7, "token": "a"})",
                         [](const std::string& json) { parseStreamEvent(json); });
    requireReadOrRefused(R"({"ran": true, "error": "busy"})",
                         [](const std::string& json) { parseStreamRefusal(json); });
  }

 private:
  template <typename Parse>
  static void requireReadOrRefused(const std::string& example, Parse parse) {
    testing::forEachOddCopy(example, [&](const std::string& json) {
      try {
        parse(json);
      } catch (const EngineProtocolError&) {
        // Refused in order.
      }
    });
  }

  static constexpr const char* kReport =
      R"({"incarnation": 5, "state": "ready", "role": "mixed", "model": "m", "version": "1",
          "adapters": ["a"], "highest_epoch": {"generation": 1, "term": 2}, "last_sequence": 3,
          "order_in_progress": false, "running_streams": 12, "waiting_streams": 1,
          "maximum_streams": 48, "queued_prefill_tokens": 100, "queued_decode_tokens": 200,
          "cache_pieces_used": 5, "cache_pieces_total": 10, "prefill_tokens_per_second": 1000.5,
          "decode_step_base_us": 5000, "decode_step_per_stream_us": 30.5, "age_ms": 1.5})";
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamEventTest);

}  // namespace
}  // namespace cypresswall::engines
