#include "cypresswall/runtime/bounded_line_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <sstream>
#include <vector>

#include "tests/support/property.h"

namespace cypresswall::runtime {
namespace {

constexpr std::size_t kMaximumBufferedBytes = 10000;

class Pipe {
 public:
  Pipe() {
    CPPUNIT_ASSERT_EQUAL(0, pipe(ends_));
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~Pipe() {
    close(ends_[0]);
    close(ends_[1]);
  }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;

  int input() const { return ends_[1]; }
  std::string readAll() const {
    std::string text;
    char buffer[4096];
    for (ssize_t size = read(ends_[0], buffer, sizeof buffer); size > 0;
         size = read(ends_[0], buffer, sizeof buffer)) {
      text.append(buffer, static_cast<std::size_t>(size));
    }
    return text;
  }

 private:
  int ends_[2] = {-1, -1};
};

std::string lineOf(std::size_t number, std::size_t length = 100) {
  std::ostringstream line;
  line << number << ' ';
  std::string text = line.str();
  text.append(length, 'x');
  text += '\n';
  return text;
}

class BoundedLineWriterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedLineWriterTest);
  CPPUNIT_TEST(linesAreWrittenImmediatelyAndInOrder);
  CPPUNIT_TEST(writesDoNotBlockOnAStalledReader);
  CPPUNIT_TEST(aLongLineStaysWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  void linesAreWrittenImmediatelyAndInOrder() {
    Pipe pipe;
    BoundedLineWriter writer(pipe.input(), kMaximumBufferedBytes);
    writer.write("one\n");
    writer.write("two\n");
    CPPUNIT_ASSERT_EQUAL(std::string("one\ntwo\n"), pipe.readAll());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, writer.takeDropped());
  }

  /// Writes far more than the capacity of a pipe without reading from it; a blocking write would
  /// never return.
  void writesDoNotBlockOnAStalledReader() {
    Pipe pipe;
    BoundedLineWriter writer(pipe.input(), kMaximumBufferedBytes);
    constexpr std::size_t kLines = 20000;
    for (std::size_t number = 0; number < kLines; ++number) {
      writer.write(lineOf(number));
      CPPUNIT_ASSERT(writer.bufferedBytes() <= kMaximumBufferedBytes);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, writer.takeDropped());
    std::string text = pipe.readAll();
    CPPUNIT_ASSERT(writer.flush());
    text += pipe.readAll();
    std::istringstream lines(text);
    std::size_t whole = 0;
    for (std::string line; std::getline(lines, line); ++whole) {
      CPPUNIT_ASSERT_EQUAL(lineOf(whole), line + '\n');
    }
    const std::uint64_t dropped = writer.takeDropped();
    CPPUNIT_ASSERT(dropped > 0);
    CPPUNIT_ASSERT_EQUAL(kLines, whole + dropped);
  }

  void aLongLineStaysWhole() {
    Pipe pipe;
    BoundedLineWriter writer(pipe.input(), std::size_t{1} << 20U);
    const std::string long_line = lineOf(1, 300000);
    writer.write(long_line);
    writer.write("after\n");
    std::string text;
    while (!writer.flush()) {
      text += pipe.readAll();
    }
    text += pipe.readAll();
    CPPUNIT_ASSERT_EQUAL(long_line + "after\n", text);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedLineWriterTest);

}  // namespace
}  // namespace cypresswall::runtime
