/// Output and exit codes of a `cypressctl explain` process.
#include "tests/daemon/child_process.h"
#include "tests/request_trace/log_file.h"

namespace cypresswall::cypressctl {
namespace {

using cypresswall::testing::ChildProcess;
using request_trace::testing::endedPairs;
using request_trace::testing::kNodeOne;
using request_trace::testing::kNodeTwo;
using request_trace::testing::lineOf;
using request_trace::testing::LogFile;
using request_trace::testing::requirePart;
using request_trace::testing::routedPairs;

class ExplainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainTest);
  CPPUNIT_TEST(mergesLogsOfSeveralNodes);
  CPPUNIT_TEST(unknownRequestExitsWithOne);
  CPPUNIT_TEST(unreadableLogExitsWithTwo);
  CPPUNIT_TEST(missingArgumentsExitWithTwo);
  CPPUNIT_TEST_SUITE_END();

 public:
  void mergesLogsOfSeveralNodes() {
    ChildProcess program(CYPRESSWALL_CTL, {"explain", two_.path(), one_.path(), "--request", "a1"});
    CPPUNIT_ASSERT_EQUAL(0, program.waitForExit());
    requirePart(one_.path() + ": 1 of 2 lines can't be read, the first is line 1\n",
                program.output());
    requirePart("\n  20:25:49.000       +0 ms  10.1.0.34:8667  routed to i-1", program.output());
    requirePart("\n  20:25:50.000    +1000 ms  10.2.0.16:8667  ended at the front, done (stop)\n",
                program.output());
    const std::string& output = program.output();
    requirePart("outcome: done; most likely cause: ",
                output.substr(output.rfind('\n', output.size() - 2)));
  }

  void unknownRequestExitsWithOne() {
    ChildProcess program(CYPRESSWALL_CTL, {"explain", one_.path(), "--request", "none"});
    CPPUNIT_ASSERT_EQUAL(1, program.waitForExit());
    requirePart("none: no line of 1 logs names this request", program.output());
  }

  void unreadableLogExitsWithTwo() {
    const std::string missing = one_.path() + ".none";
    ChildProcess program(CYPRESSWALL_CTL, {"explain", one_.path(), missing, "--request", "a1"});
    CPPUNIT_ASSERT_EQUAL(2, program.waitForExit());
    CPPUNIT_ASSERT_EQUAL(missing + ": can't be opened: No such file or directory\n",
                         program.output());
  }

  void missingArgumentsExitWithTwo() {
    ChildProcess no_log(CYPRESSWALL_CTL, {"explain", "--request", "a1"});
    CPPUNIT_ASSERT_EQUAL(2, no_log.waitForExit());
    ChildProcess no_request(CYPRESSWALL_CTL, {"explain", one_.path()});
    CPPUNIT_ASSERT_EQUAL(2, no_request.waitForExit());
    requirePart("usage: cypressctl explain", no_request.output());
  }

 private:
  const LogFile one_{{"cut line", lineOf("20:25:49.000", kNodeOne, routedPairs("a1", "i-1"))}};
  const LogFile two_{{lineOf("20:25:50.000", kNodeTwo, endedPairs("a1", "done", "stop"))}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);

}  // namespace
}  // namespace cypresswall::cypressctl
