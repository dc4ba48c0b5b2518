#include "cypresswall/request_trace/log_scan.h"

#include <utility>

#include "cypresswall/request_trace/time_line_rendering.h"
#include "tests/request_trace/log_lines.h"

namespace cypresswall::request_trace {
namespace {

using namespace testing;

class LogScanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogScanTest);
  CPPUNIT_TEST(countsUnreadableLines);
  CPPUNIT_TEST(skipsOverlongLines);
  CPPUNIT_TEST(readsLineOfMaximumLength);
  CPPUNIT_TEST(reportsPositionOfALine);
  CPPUNIT_TEST(errorNamesUnreadableFile);
  CPPUNIT_TEST(arbitraryBytesAreScannedToTheEnd);
  CPPUNIT_TEST_SUITE_END();

 public:
  void countsUnreadableLines() {
    const ScanCount count = scan({"starting", "", "  \r", good(), good().substr(0, 30)});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, count.lines);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, count.unreadable);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, count.first_unreadable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, records_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("log: 2 of 5 lines can't be read, the first is line 1\n"),
                         renderUnreadable({count, ScanCount{"good", 4, 0, 0}}));
  }

  void skipsOverlongLines() {
    const std::string long_line(3 * kMaximumLineBytes, 'x');
    const ScanCount count = scan({good(), long_line, good(), long_line});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, count.lines);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, count.unreadable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records_.size());
  }

  void readsLineOfMaximumLength() {
    const std::string start = good() + " more=";
    const std::string line = start + std::string(kMaximumLineBytes - start.size(), 'x');
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, scan({line, line}).unreadable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records_.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, scan({line + "x"}).unreadable);
  }

  void reportsPositionOfALine() {
    scan({"", good()});
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, records_.front().position.log);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, records_.front().position.line);
  }

  void errorNamesUnreadableFile() {
    for (const char* path : {"no-such-folder/node.log", "."}) {
      try {
        scanLogFiles({path}, [](const LogRecord&) {});
        CPPUNIT_FAIL("was read");
      } catch (const LogFileError& error) {
        requirePart(path, error.what());
      }
    }
  }

  void arbitraryBytesAreScannedToTheEnd() {
    cypresswall::testing::requireProperty(
        "a good line behind any bytes is found", 500, [this](const std::string& bytes) {
          records_.clear();
          const ScanCount count = scan({bytes, good()});
          RC_ASSERT(!records_.empty());
          RC_ASSERT(records_.size() + count.unreadable <= count.lines);
        });
  }

 private:
  static std::string good() {
    return lineOf("20:25:49.070", kNodeOne, endedPairs("a1", "done", "stop"));
  }
  /// Scans the lines; the last one has no line break.
  ScanCount scan(const Log& lines) {
    std::stringstream stream;
    const char* separator = "";
    for (const std::string& line : lines) {
      stream << std::exchange(separator, "\n") << line;
    }
    return scanLog(stream, "log", 3,
                   [this](const LogRecord& record) { records_.push_back(record); });
  }

  std::vector<LogRecord> records_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogScanTest);

}  // namespace
}  // namespace cypresswall::request_trace
