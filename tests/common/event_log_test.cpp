#include "cypresswall/common/event_log.h"

#include <string>
#include <vector>

#include "tests/support/property.h"

namespace cypresswall::common {
namespace {

class RecordingSink final : public LogSink {
 public:
  bool enabled(LogLevel level) const override { return level != LogLevel::kDebug; }
  void write(LogLevel, const std::string& line) override { lines.push_back(line); }
  std::vector<std::string> lines;
};

class EventLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLogTest);
  CPPUNIT_TEST(writesOneLineOfKeyValuePairs);
  CPPUNIT_TEST(dropsDisabledLevels);
  CPPUNIT_TEST(quotedValuesStayOnOneLine);
  CPPUNIT_TEST_SUITE_END();

 public:
  void writesOneLineOfKeyValuePairs() {
    RecordingSink sink;
    LogEvent(sink, LogLevel::kInfo, "lease_acquired").field("zone", "hall a").field("term", 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sink.lines.size());
    CPPUNIT_ASSERT_EQUAL(std::string("event=lease_acquired zone=\"hall a\" term=3"), sink.lines[0]);
  }

  void dropsDisabledLevels() {
    RecordingSink sink;
    LogEvent(sink, LogLevel::kDebug, "tick").field("n", 1);
    CPPUNIT_ASSERT(sink.lines.empty());
  }

  void quotedValuesStayOnOneLine() {
    testing::requireProperty("a quoted value has no raw control character", 500,
                             [](const std::string& value) {
                               for (const char c : quoteLogValue(value)) {
                                 RC_ASSERT(static_cast<unsigned char>(c) >= ' ');
                               }
                             });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLogTest);

}  // namespace
}  // namespace cypresswall::common
