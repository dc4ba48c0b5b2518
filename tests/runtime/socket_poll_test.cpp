#include "cypresswall/runtime/socket_poll.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <vector>

#include "tests/support/event_loop.h"
#include "tests/support/property.h"

namespace cypresswall::runtime {
namespace {

/// Both ends of a local stream socket.
struct SocketPair {
  SocketPair() { CPPUNIT_ASSERT_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data())); }
  ~SocketPair() {
    ::close(ends[0]);
    ::close(ends[1]);
  }
  SocketPair(const SocketPair&) = delete;
  SocketPair& operator=(const SocketPair&) = delete;
  void send() const { CPPUNIT_ASSERT_EQUAL(ssize_t{1}, ::write(ends[1], "x", 1)); }
  void receive() const {
    char byte = 0;
    CPPUNIT_ASSERT_EQUAL(ssize_t{1}, ::read(ends[0], &byte, 1));
  }
  std::array<int, 2> ends{};
};

class SocketPollTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SocketPollTest);
  CPPUNIT_TEST(reportsReadySocketsUntilTheyAreRead);
  CPPUNIT_TEST(hangUpCountsAsReadiness);
  CPPUNIT_TEST(unwatchedSocketsAreNotReported);
  CPPUNIT_TEST(loopEndsWhenNothingIsWatched);
  CPPUNIT_TEST(listenerMayStopThePoll);
  CPPUNIT_TEST_SUITE_END();

 public:
  void reportsReadySocketsUntilTheyAreRead() {
    SocketPair first;
    SocketPair second;
    watch(first);
    watch(second);
    first.send();
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] { return reported_.size() == 2; }));
    CPPUNIT_ASSERT(reported_ == std::vector<int>({first.ends[0], first.ends[0]}));
    first.receive();
    second.send();
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] { return reported_.back() == second.ends[0]; }));
  }

  void hangUpCountsAsReadiness() {
    SocketPair pair;
    watch(pair);
    ::shutdown(pair.ends[1], SHUT_RDWR);
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] { return !reported_.empty(); }));
  }

  void unwatchedSocketsAreNotReported() {
    SocketPair first;
    SocketPair second;
    watch(first);
    watch(second);
    first.send();
    second.send();
    on_reported_ = [&](int socket) {
      poll_->forget(socket == first.ends[0] ? second.ends[0] : first.ends[0]);
    };
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] { return reported_.size() == 3; }));
    CPPUNIT_ASSERT(reported_[0] == reported_[1] && reported_[1] == reported_[2]);
  }

  void loopEndsWhenNothingIsWatched() {
    SocketPair pair;
    watch(pair);
    poll_->forget(pair.ends[0]);
    poll_->forget(pair.ends[0]);
    context_.restart();
    context_.run();
    watch(pair);
    pair.send();
    CPPUNIT_ASSERT(testing::runUntil(context_, [&] { return !reported_.empty(); }));
  }

  void listenerMayStopThePoll() {
    SocketPair first;
    SocketPair second;
    watch(first);
    watch(second);
    first.send();
    second.send();
    on_reported_ = [&](int) {
      poll_->stop();
      poll_.reset();
    };
    context_.restart();
    context_.run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reported_.size());
  }

 private:
  void watch(const SocketPair& pair) { CPPUNIT_ASSERT(poll_->watch(pair.ends[0], {true, false})); }

  asio::io_context context_;
  std::vector<int> reported_;
  std::function<void(int)> on_reported_;
  std::shared_ptr<SocketPoll> poll_ =
      std::make_shared<SocketPoll>(context_, [this](int socket, SocketReadiness readiness) {
        CPPUNIT_ASSERT(readiness.readable);
        reported_.push_back(socket);
        if (on_reported_) {
          on_reported_(socket);
        }
      });
};

CPPUNIT_TEST_SUITE_REGISTRATION(SocketPollTest);

}  // namespace
}  // namespace cypresswall::runtime
