#include "cypresswall/runtime/connection_pool.h"

#include <algorithm>
#include <optional>
#include <set>

#include "tests/support/property.h"

namespace cypresswall::runtime {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Sockets = std::vector<ConnectionPool::Socket>;

const common::Address kPeer = "10.0.0.1:80";

class ConnectionPoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionPoolTest);
  CPPUNIT_TEST(keepsNothingWithoutShare);
  CPPUNIT_TEST(idleTimeIsTheSmallestOfAllLimits);
  CPPUNIT_TEST(idleConnectionMakesRoomForAFreshOne);
  CPPUNIT_TEST(smallerShareClosesIdleConnections);
  CPPUNIT_TEST(staleConnectionShortensTheIdleTimeForAMinute);
  CPPUNIT_TEST(totalOfIdleConnectionsIsBounded);
  CPPUNIT_TEST(keepAliveHeaders);
  CPPUNIT_TEST(connectionsStayWithinTheShareWhateverHappens);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { make({}); }

  void keepsNothingWithoutShare() {
    share_ = 0;
    CPPUNIT_ASSERT(!pool_->keeping());
    pool_->requestBegan(kPeer, false, now_);
    CPPUNIT_ASSERT(!pool_->requestEnded(kPeer, 7, seconds(60), now_));
  }

  void idleTimeIsTheSmallestOfAllLimits() {
    keep(7, seconds(5));
    now_ += milliseconds(4699);
    CPPUNIT_ASSERT(pool_->hasIdle(kPeer, now_));
    now_ += milliseconds(1);
    CPPUNIT_ASSERT(!pool_->hasIdle(kPeer, now_));
    CPPUNIT_ASSERT(pool_->requestBegan(kPeer, true, now_) == Sockets{7});
    pool_->requestEnded(kPeer, std::nullopt, std::nullopt, now_);

    keep(8, seconds(3600));
    now_ += ConnectionPoolSettings{}.idle_limit;
    CPPUNIT_ASSERT(pool_->expired(now_) == Sockets{8});

    keep(9, std::nullopt);
    now_ += milliseconds(500);
    CPPUNIT_ASSERT(pool_->expired(now_) == Sockets{9});

    pool_->requestBegan(kPeer, false, now_);
    CPPUNIT_ASSERT(!pool_->requestEnded(kPeer, 10, seconds(0), now_));
  }

  void idleConnectionMakesRoomForAFreshOne() {
    share_ = 2;
    keep(7, seconds(5));
    CPPUNIT_ASSERT(pool_->requestBegan(kPeer, false, now_).empty());
    CPPUNIT_ASSERT(pool_->requestBegan(kPeer, false, now_) == Sockets{7});
    CPPUNIT_ASSERT(!pool_->hasIdle(kPeer, now_));
  }

  void smallerShareClosesIdleConnections() {
    pool_->requestBegan(kPeer, false, now_);
    pool_->requestBegan(kPeer, false, now_);
    pool_->requestEnded(kPeer, 7, seconds(9), now_);
    pool_->requestEnded(kPeer, 8, seconds(9), now_);
    CPPUNIT_ASSERT(pool_->expired(now_).empty());
    share_ = 1;
    CPPUNIT_ASSERT(pool_->expired(now_) == Sockets{7});
  }

  void staleConnectionShortensTheIdleTimeForAMinute() {
    pool_->foundStale(kPeer, now_);
    keep(7, seconds(60));
    now_ += ConnectionPoolSettings{}.idle_limit / 2;
    CPPUNIT_ASSERT(!pool_->hasIdle(kPeer, now_));
    pool_->expired(now_);
    now_ += seconds(60);
    keep(8, seconds(60));
    now_ += ConnectionPoolSettings{}.idle_limit / 2;
    CPPUNIT_ASSERT(pool_->hasIdle(kPeer, now_));
  }

  void totalOfIdleConnectionsIsBounded() {
    ConnectionPoolSettings settings;
    settings.maximum_idle = 3;
    make(settings);
    for (int i = 0; i < 5; ++i) {
      const common::Address peer = "10.0.0." + std::to_string(i) + ":80";
      pool_->requestBegan(peer, false, now_);
      CPPUNIT_ASSERT_EQUAL(i < 3, pool_->requestEnded(peer, 10 + i, seconds(5), now_));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, pool_->state().idle);
  }

  void keepAliveHeaders() {
    CPPUNIT_ASSERT(parseKeepAlive("timeout=5") == seconds(5));
    CPPUNIT_ASSERT(parseKeepAlive("max=100, Timeout=2") == seconds(2));
    CPPUNIT_ASSERT(parseKeepAlive("timeout=0") == seconds(0));
    CPPUNIT_ASSERT(parseKeepAlive("timeout=999999999") == seconds(3600));
    for (const char* const malformed :
         {"", "max=3", "timeout=", "timeout=-4", "timeout=x", "timeout=99999999999999999999999"}) {
      CPPUNIT_ASSERT(!parseKeepAlive(malformed));
    }
  }

  /// Idle connections and those in use never exceed the share while idle ones exist, no connection
  /// is closed or kept twice, and one that is in use is never closed.
  void connectionsStayWithinTheShareWhateverHappens() {
    testing::requireProperty("connections within the share", 100, [this] {
      make({});
      std::set<int> open;
      std::set<int> idle;
      int next = 1;
      for (int step = 0; step < 200; ++step) {
        now_ += milliseconds(*rc::gen::inRange(0, 400));
        share_ = static_cast<std::size_t>(*rc::gen::inRange(0, 6));
        const auto closeAll = [&](const Sockets& sockets) {
          for (const int socket : sockets) {
            RC_ASSERT(idle.erase(socket) == 1);
          }
        };
        switch (*rc::gen::inRange(0, 4)) {
          case 0: {
            const bool may_reuse = *rc::gen::inRange(0, 2) == 0;
            closeAll(pool_->requestBegan(kPeer, may_reuse, now_));
            const bool reused = may_reuse && !idle.empty();
            const int socket = reused ? *idle.begin() : next++;
            idle.erase(socket);
            open.insert(socket);
            pool_->taken(socket, reused);
            break;
          }
          case 1:
            if (!open.empty()) {
              const int socket = *open.begin();
              open.erase(socket);
              if (pool_->requestEnded(kPeer, socket, seconds(2), now_)) {
                idle.insert(socket);
              }
            }
            break;
          case 2:
            if (!idle.empty()) {
              pool_->closed(*idle.begin());
              idle.erase(idle.begin());
            }
            break;
          default:
            closeAll(pool_->expired(now_));
            RC_ASSERT(idle.empty() || open.size() + idle.size() <= share_);
        }
        RC_ASSERT(pool_->state().idle == idle.size());
        RC_ASSERT(pool_->state().in_use == open.size());
      }
    });
  }

 private:
  void make(ConnectionPoolSettings settings) {
    settings.keeps = true;
    pool_.emplace(settings, counters_);
    pool_->setShare([this] { return share_; });
    share_ = 8;
  }

  void keep(int socket, std::optional<common::Duration> announced) {
    pool_->requestBegan(kPeer, false, now_);
    pool_->taken(socket, false);
    CPPUNIT_ASSERT(pool_->requestEnded(kPeer, socket, announced, now_));
  }

  common::CounterRegistry counters_;
  std::optional<ConnectionPool> pool_;
  std::size_t share_ = 8;
  common::MonotonicTime now_{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionPoolTest);

}  // namespace
}  // namespace cypresswall::runtime
