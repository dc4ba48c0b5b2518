/// The limiter must not lose accepts that have failed, nor begin one twice that is under way.
#include "cypresswall/http/accept_limiter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace cypresswall::http {
namespace {

constexpr std::size_t kAccepts = 3;
constexpr std::size_t kConnections = 8;

/// Records the numbers of the accepts that begin, and of those that are to begin later.
class RecordingAcceptor final : public AcceptLimiter::Acceptor {
 public:
  void call_accept_now(std::size_t accept) noexcept override { begun += std::to_string(accept); }
  void schedule_next_accept_attempt(std::size_t accept) noexcept override {
    scheduled += std::to_string(accept);
  }

  std::string begun;
  std::string scheduled;
};

class AcceptLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AcceptLimiterTest);
  CPPUNIT_TEST(callerResetBeforeItIsAcceptedEndsAnAccept);
  CPPUNIT_TEST(acceptsBegunLongBeforeOneThatEndsHaveFailed);
  CPPUNIT_TEST(acceptsThatEndOutOfOrderAreNotBegunAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (std::size_t accept = 0; accept < kAccepts; ++accept) {
      limiter_.accept_next(accept);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("012"), acceptor_.begun);
  }

  // Such an accept counted as one that had never ended, so that the server took all accepts for
  // failed and began those under way a second time.
  void callerResetBeforeItIsAcceptedEndsAnAccept() {
    limiter_.accept_next(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limiter_.endedAccepts());
    CPPUNIT_ASSERT_EQUAL(std::string("0120"), acceptor_.begun);
  }

  // Accepts that had failed counted as under way as long as others took the callers.
  void acceptsBegunLongBeforeOneThatEndsHaveFailed() {
    limiter_.accept_next(0);
    for (std::size_t ended = 0; ended < kAccepts; ++ended) {
      limiter_.accept_next(1);
      CPPUNIT_ASSERT_EQUAL(std::string(), acceptor_.scheduled);
    }
    limiter_.accept_next(1);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), acceptor_.scheduled);
    limiter_.accept_next(1);
    CPPUNIT_ASSERT_EQUAL(std::string("20"), acceptor_.scheduled);
    CPPUNIT_ASSERT_EQUAL(std::string("012011111"), acceptor_.begun);
    limiter_.accept_next(0);
    limiter_.accept_next(2);
    CPPUNIT_ASSERT_EQUAL(std::string("01201111102"), acceptor_.begun);
    limiter_.accept_next(1);
    CPPUNIT_ASSERT_EQUAL(std::string("20"), acceptor_.scheduled);
  }

  // Accepts under way were begun a second time when a later one ended first. Each such pair ended
  // out of order again, so that the server soon accepted far more callers than its limit.
  void acceptsThatEndOutOfOrderAreNotBegunAgain() {
    std::string order = "012";
    do {
      for (const char accept : order) {
        limiter_.accept_next(static_cast<std::size_t>(accept - '0'));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(order, std::string(), acceptor_.scheduled);
    } while (std::next_permutation(order.begin(), order.end()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, limiter_.restartedAccepts());
  }

 private:
  RecordingAcceptor acceptor_;
  AcceptLimiter limiter_{
      &acceptor_, restinio::connection_count_limits::max_parallel_connections_t{kConnections},
      restinio::connection_count_limits::max_active_accepts_t{kAccepts}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(AcceptLimiterTest);

}  // namespace
}  // namespace cypresswall::http
