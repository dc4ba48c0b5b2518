#include "cypresswall/request_trace/log_record_parser.h"

#include "cypresswall/common/event_log.h"
#include "cypresswall/request_trace/log_fields.h"
#include "tests/request_trace/log_lines.h"

namespace cypresswall::request_trace {
namespace {

using namespace testing;

class LogRecordParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogRecordParserTest);
  CPPUNIT_TEST(parsesRoutedEvent);
  CPPUNIT_TEST(skipsPrefixOfLogCollector);
  CPPUNIT_TEST(parsesRoutedEventOfOlderNodes);
  CPPUNIT_TEST(distinguishesTheTwoRefusals);
  CPPUNIT_TEST(unusedEventBecomesOtherEvent);
  CPPUNIT_TEST(rejectsMalformedLines);
  CPPUNIT_TEST(rejectsMalformedTimes);
  CPPUNIT_TEST(quotedValuesRoundTrip);
  CPPUNIT_TEST(arbitraryBytesAreParsedOrRejected);
  CPPUNIT_TEST(damagedLinesAreParsedOrRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void parsesRoutedEvent() {
    const auto record =
        parseLogRecord(lineOf("20:25:49.070", kNodeOne, routedPairs("aa19bb29", "i-808d", 7)));
    CPPUNIT_ASSERT(record.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(kNodeOne), record->node);
    CPPUNIT_ASSERT(record->time == parseWallTime("2026-03-04T20:25:49.070Z"));
    const auto& route = std::get<RequestRouted>(record->event);
    CPPUNIT_ASSERT_EQUAL(std::string("aa19bb29"), requestOf(record->event));
    CPPUNIT_ASSERT_EQUAL(std::string("i-808d"), route.engine);
    CPPUNIT_ASSERT_EQUAL(std::string(), route.prefill_engine);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, route.tokens_given.value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{440}, route.prompt_tokens);
    CPPUNIT_ASSERT(route.expected_first_token == Milliseconds(623));
  }

  void skipsPrefixOfLogCollector() {
    const std::string line = lineOf("20:25:49.070", kNodeOne, endedPairs("a1", "done", "stop"));
    const auto record = parseLogRecord("  36.0703 edge-kumamoto-hall-5 " + line);
    CPPUNIT_ASSERT(record.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("done"), std::get<RequestEnded>(record->event).result);
  }

  void parsesRoutedEventOfOlderNodes() {
    std::string pairs = routedPairs("a1", "i-1");
    pairs.erase(pairs.find(" tokens_given=0"), std::string(" tokens_given=0").size());
    const auto record = parseLogRecord(lineOf("20:25:49.070", kNodeOne, pairs));
    CPPUNIT_ASSERT(record.has_value());
    CPPUNIT_ASSERT(!std::get<RequestRouted>(record->event).tokens_given.has_value());
  }

  void distinguishesTheTwoRefusals() {
    const auto front = parseLogRecord(
        lineOf("20:25:49.070", kNodeOne,
               "event=request_refused request=a1 remote=10.0.0.1:4 method=POST path=/v1 status=429 "
               "code=tenant_limit reason=\"the tenant's limit\""));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{429}, std::get<FrontEndRefusal>(front->event).status);
    const auto load = parseLogRecord(
        lineOf("20:25:49.070", kNodeOne,
               "event=request_refused request=a1 service=s engine=i-1 expected_wait_ms=171 "
               "expected_first_token_ms=916 limit_ms=255 report_age_ms=456 retry_after_ms=58992"));
    CPPUNIT_ASSERT(std::get<LatencyRefusal>(load->event).report_age == Milliseconds(456));
  }

  void unusedEventBecomesOtherEvent() {
    const auto record = parseLogRecord(
        lineOf("20:25:49.070", kNodeOne, "event=controller_began zone=kyushu epoch=1.2"));
    CPPUNIT_ASSERT(std::holds_alternative<OtherEvent>(record.value().event));
    CPPUNIT_ASSERT_EQUAL(std::string(), requestOf(record->event));
  }

  void rejectsMalformedLines() {
    const std::string ended = endedPairs("a1", "done", "stop");
    for (const std::string& line :
         {std::string(), std::string("listening on port 80"), std::string("event=request_ended"),
          lineOf("20:25:49.070", kNodeOne, "request=a1"),
          lineOf("20:25:49.070", kNodeOne, "event=request_ended request=a1"),
          lineOf("20:25:49.070", kNodeOne, "event=first_token request=a1 engine=i after_ms=soon"),
          lineOf("20:25:49.070", kNodeOne, ended.substr(0, ended.size() - 1)),
          lineOf("20:25:49.070", kNodeOne, ended + "x=1"),
          lineOf("20:25:49.070", kNodeOne, ended + " and more"),
          lineOf("20:25:49.070", kNodeOne, ended + " =1")}) {
      CPPUNIT_ASSERT_MESSAGE("was read: " + line, !parseLogRecord(line));
    }
  }

  void rejectsMalformedTimes() {
    for (const char* time :
         {"", "2026-03-04", "2026-03-04T20:25:49Z", "2026-13-04T20:25:49.070Z",
          "2026-02-30T20:25:49.070Z", "2026-03-04 20:25:49.070Z", "2026-03-04T20:25:4x.070Z",
          "2026-03-04T24:00:00.000Z", "2026-03-04T20:60:49.070Z", "2026-03-04T20:25:61.070Z"}) {
      CPPUNIT_ASSERT_MESSAGE(time, !parseWallTime(time));
    }
  }

  void quotedValuesRoundTrip() {
    cypresswall::testing::requireProperty(
        "a value that was logged reads back", 500, [](const std::string& value) {
          const std::string line = "time=x reason=" + common::quoteLogValue(value) + " last=1";
          const auto fields = LogFields::read(line);
          RC_ASSERT(fields.has_value());
          RC_ASSERT(fields->text("reason") == value);
          RC_ASSERT(fields->number("last") == std::int64_t{1});
        });
  }

  void arbitraryBytesAreParsedOrRejected() {
    cypresswall::testing::requireProperty("any bytes are read or refused", 2000,
                                          [](const std::string& bytes) {
                                            parseLogRecord(bytes);
                                            parseLogRecord("time=" + bytes);
                                            parseWallTime(bytes);
                                          });
  }

  void damagedLinesAreParsedOrRejected() {
    const std::string line = lineOf("20:25:49.070", kNodeOne, routedPairs("a1", "i-1"));
    cypresswall::testing::requireProperty("a damaged line is read or refused", 2000, [&line] {
      std::string damaged = line;
      const int changes = *rc::gen::inRange(1, 6);
      for (int change = 0; change < changes && !damaged.empty(); ++change) {
        const auto position = *rc::gen::inRange<std::size_t>(0, damaged.size());
        const bool cut = *rc::gen::arbitrary<bool>();
        if (cut) {
          damaged.erase(position, *rc::gen::inRange<std::size_t>(1, 40));
        } else {
          damaged[position] = *rc::gen::arbitrary<char>();
        }
      }
      parseLogRecord(damaged);
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogRecordParserTest);

}  // namespace
}  // namespace cypresswall::request_trace
