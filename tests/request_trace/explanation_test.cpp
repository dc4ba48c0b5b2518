#include "cypresswall/request_trace/explanation.h"

#include "tests/request_trace/log_file.h"
#include "tests/request_trace/log_lines.h"

namespace cypresswall::request_trace {
namespace {

using namespace testing;

class ExplanationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplanationTest);
  CPPUNIT_TEST(explainsFromFiles);
  CPPUNIT_TEST(unknownRequestIsAnError);
  CPPUNIT_TEST(keepsABoundedNumberOfLines);
  CPPUNIT_TEST_SUITE_END();

 public:
  void explainsFromFiles() {
    const LogFile one({"cut line", lineOf("20:25:49.000", kNodeOne, routedPairs("a1", "i-1"))});
    const LogFile two({lineOf("20:25:50.000", kNodeTwo, endedPairs("a1", "done", "stop"))});
    const Explanation explanation = explainRequest({two.path(), one.path()}, "a1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, explanation.time_line.records.size());
    CPPUNIT_ASSERT_EQUAL(std::string(kNodeOne), explanation.time_line.records[0].node);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, explanation.counts[1].unreadable);
  }

  void unknownRequestIsAnError() {
    const LogFile log(
        {"cut line", lineOf("20:25:50.000", kNodeTwo, endedPairs("a1", "done", "x"))});
    for (const char* request : {"a", "a11", ""}) {
      try {
        explainRequest({log.path()}, request);
        CPPUNIT_FAIL("was found");
      } catch (const UnknownRequestError& error) {
        requirePart("1 can't be read", error.what());
      }
    }
    CPPUNIT_ASSERT_THROW(explainRequest({log.path(), log.path() + ".none"}, "a1"), LogFileError);
  }

  void keepsABoundedNumberOfLines() {
    const LogFile log(Log(kMaximumKeptLines + 5,
                          lineOf("20:25:50.000", kNodeTwo, endedPairs("a1", "done", "stop"))));
    const Explanation explanation = explainRequest({log.path()}, "a1");
    CPPUNIT_ASSERT_EQUAL(kMaximumKeptLines, explanation.time_line.records.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, explanation.omitted_lines);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplanationTest);

}  // namespace
}  // namespace cypresswall::request_trace
