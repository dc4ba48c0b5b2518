#include "tests/process/program.h"

#include <poll.h>
#include <unistd.h>

#include <array>
#include <cstdio>

#include "tests/daemon/child_process.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

class ProgramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProgramTest);
  CPPUNIT_TEST(programHoldsNoConnectionsOfTheTest);
  CPPUNIT_TEST(childHoldsNoConnectionsOfTheTest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void tearDown() override { std::remove(output_.c_str()); }

  /// Guards against connections that stay open although their proxy closed them: a daemon that was
  /// started later held them as well, so that its peers waited for 10 s on an engine that had
  /// crashed.
  void programHoldsNoConnectionsOfTheTest() {
    const Pipe pipe;
    const Program program("cypresswall-service-standin", {"--addresses", "127.0.0.1:0"}, output_);
    CPPUNIT_ASSERT(pipe.endsWhenClosedHere());
  }

  void childHoldsNoConnectionsOfTheTest() {
    const Pipe pipe;
    const ChildProcess child("/bin/sleep", {"10"});
    CPPUNIT_ASSERT(pipe.endsWhenClosedHere());
  }

 private:
  /// Its ends are inherited unless a child process closes them, as those of Asio's sockets.
  class Pipe {
   public:
    Pipe() { CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends_.data())); }
    ~Pipe() { ::close(ends_[0]); }
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;

    bool endsWhenClosedHere() const {
      constexpr int kMilliseconds = 2000;
      ::close(ends_[1]);
      pollfd ended{ends_[0], POLLIN, 0};
      return ::poll(&ended, 1, kMilliseconds) == 1;
    }

   private:
    std::array<int, 2> ends_{};
  };

  const std::string output_ = "program_test." + std::to_string(getpid()) + ".log";
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgramTest);

}  // namespace
}  // namespace cypresswall::testing
