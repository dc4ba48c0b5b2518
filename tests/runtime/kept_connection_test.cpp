/// CurlMulti with a ConnectionPool, against a server in this process.
#include <algorithm>
#include <asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "cypresswall/runtime/curl_multi.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"
#include "tests/support/scripted_server.h"

namespace cypresswall::runtime {
namespace {

using std::chrono::milliseconds;
using testing::httpAnswer;
using testing::runUntil;

const std::string kKeepAlive = "Keep-Alive: timeout=5\r\n";

class KeptConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeptConnectionTest);
  CPPUNIT_TEST(repeatableRequestsReuseTheConnection);
  CPPUNIT_TEST(otherRequestsTakeAFreshOneThatIsKept);
  CPPUNIT_TEST(closedWhileIdleIsNotUsed);
  CPPUNIT_TEST(closedAsTheRequestIsSentIsStale);
  CPPUNIT_TEST(resetAsTheRequestIsSentIsStale);
  CPPUNIT_TEST(closedLongAfterTheRequestIsBroken);
  CPPUNIT_TEST(closedWithinTheAnswerIsBroken);
  CPPUNIT_TEST(freshConnectionIsNeverStale);
  CPPUNIT_TEST(silentPeerIsStale);
  CPPUNIT_TEST(silenceWhileIdleIsFoundByProbes);
  CPPUNIT_TEST(slowAnswerOfALivePeerIsAwaited);
  CPPUNIT_TEST(announcedTimeIsObeyed);
  CPPUNIT_TEST(connectionCloseIsObeyed);
  CPPUNIT_TEST(withoutShareConnectionsAreUsedOnce);
  CPPUNIT_TEST(abandonedRequestLeavesNoConnection);
  CPPUNIT_TEST(surplusOnAnIdleConnectionIsNoAnswer);
  CPPUNIT_TEST(partOfASurplusBeforeTheAnswerIsNoAnswer);
  CPPUNIT_TEST(foreignAnswerIsStale);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    pool_.emplace(settings(), counters_);
    pool_->setShare([this] { return share_; });
    curl_.emplace(context_, CurlMultiSettings{}, &*pool_);
  }
  void tearDown() override { curl_.reset(); }

  void repeatableRequestsReuseTheConnection() {
    for (int i = 0; i < 3; ++i) {
      server_.answer(httpAnswer(200, "body", kKeepAlive));
      const CurlResponse response = fetch(request(ConnectionUse::kReuse));
      CPPUNIT_ASSERT(response.outcome == CurlOutcome::kAnswered);
      CPPUNIT_ASSERT_EQUAL(i > 0, response.reused_connection);
    }
    CPPUNIT_ASSERT_EQUAL(1, server_.connections());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, pool_->state().reused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pool_->state().idle);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool_->state().in_use);
    CPPUNIT_ASSERT(curl_->hasIdleConnection(server_.address()));
  }

  void otherRequestsTakeAFreshOneThatIsKept() {
    for (int i = 1; i <= 3; ++i) {
      server_.answer(httpAnswer(200, "body", kKeepAlive));
      CPPUNIT_ASSERT(!fetch(request(ConnectionUse::kFresh)).reused_connection);
      CPPUNIT_ASSERT_EQUAL(i, server_.connections());
    }
    server_.answer(httpAnswer(200, "body", kKeepAlive));
    CPPUNIT_ASSERT(fetch(request(ConnectionUse::kReuse)).reused_connection);
    CPPUNIT_ASSERT_EQUAL(3, server_.connections());
  }

  void closedWhileIdleIsNotUsed() {
    keepOne();
    server_.closeNewest();
    server_.answer(httpAnswer(200, "second"));
    const CurlResponse response = fetch(request(ConnectionUse::kReuse));
    CPPUNIT_ASSERT(response.outcome == CurlOutcome::kAnswered);
    CPPUNIT_ASSERT(!response.reused_connection);
    CPPUNIT_ASSERT_EQUAL(2, server_.connections());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, pool_->state().stale);
  }

  void closedAsTheRequestIsSentIsStale() {
    keepOne();
    server_.answer("", true);
    CPPUNIT_ASSERT(fetch(request(ConnectionUse::kReuse)).outcome == CurlOutcome::kStale);
    // The request arrived once, and libcurl has not repeated it.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server_.requests().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, pool_->state().stale);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool_->state().in_use);
  }

  void resetAsTheRequestIsSentIsStale() {
    keepOne();
    server_.resetOnClose();
    server_.answer("", true);
    CPPUNIT_ASSERT(fetch(request(ConnectionUse::kReuse)).outcome == CurlOutcome::kStale);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, server_.requests().size());
  }

  void closedLongAfterTheRequestIsBroken() {
    keepOne();
    std::optional<CurlResponse> result;
    curl_->fetch(request(ConnectionUse::kReuse),
                 [&](CurlResponse response) { result = std::move(response); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.requests().size() == 2; }));
    context_.restart();
    context_.run_for(milliseconds(150));
    server_.closeNewest();
    CPPUNIT_ASSERT(runUntil(context_, [&] { return result.has_value(); }));
    CPPUNIT_ASSERT(result->outcome == CurlOutcome::kBroken);
  }

  void closedWithinTheAnswerIsBroken() {
    keepOne();
    server_.answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true);
    CPPUNIT_ASSERT(fetch(request(ConnectionUse::kReuse)).outcome == CurlOutcome::kBroken);
  }

  void freshConnectionIsNeverStale() {
    keepOne();
    server_.answer("", true);
    CPPUNIT_ASSERT(fetch(request(ConnectionUse::kFresh)).outcome == CurlOutcome::kBroken);
    CPPUNIT_ASSERT_EQUAL(2, server_.connections());
  }

  void silentPeerIsStale() {
    keepOne();
    server_.silenceNewest();
    const auto begin = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(fetch(request(ConnectionUse::kReuse)).outcome == CurlOutcome::kStale);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begin < 4 * settings().silence_limit);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_.requests().size());
  }

  void silenceWhileIdleIsFoundByProbes() {
    keepOne();
    server_.silenceNewest();
    context_.restart();
    context_.run_for(milliseconds(2500));
    server_.answer(httpAnswer(200, "second"));
    const CurlResponse response = fetch(request(ConnectionUse::kReuse));
    CPPUNIT_ASSERT(response.outcome == CurlOutcome::kAnswered);
    CPPUNIT_ASSERT(!response.reused_connection);
  }

  void slowAnswerOfALivePeerIsAwaited() {
    keepOne();
    std::optional<CurlResponse> result;
    curl_->fetch(request(ConnectionUse::kReuse),
                 [&](CurlResponse response) { result = std::move(response); });
    context_.restart();
    context_.run_for(3 * settings().silence_limit);
    CPPUNIT_ASSERT(!result.has_value());
    server_.sendMore(httpAnswer(200, "late"));
    CPPUNIT_ASSERT(runUntil(context_, [&] { return result.has_value(); }));
    CPPUNIT_ASSERT(result->outcome == CurlOutcome::kAnswered);
    CPPUNIT_ASSERT(result->reused_connection);
  }

  void announcedTimeIsObeyed() {
    server_.answer(httpAnswer(200, "body", "Keep-Alive: timeout=0\r\n"));
    fetch(request(ConnectionUse::kReuse));
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.closedByClient() == 1; }));
    server_.answer(httpAnswer(200, "body"));
    fetch(request(ConnectionUse::kReuse));
    context_.restart();
    context_.run_for(settings().unannounced_idle_limit + milliseconds(20));
    server_.answer(httpAnswer(200, "body"));
    CPPUNIT_ASSERT(!fetch(request(ConnectionUse::kReuse)).reused_connection);
    CPPUNIT_ASSERT_EQUAL(3, server_.connections());
  }

  void connectionCloseIsObeyed() {
    server_.answer(httpAnswer(200, "body", "Connection: close\r\n" + kKeepAlive));
    fetch(request(ConnectionUse::kReuse));
    CPPUNIT_ASSERT(!curl_->hasIdleConnection(server_.address()));
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.closedByClient() == 1; }));
  }

  void withoutShareConnectionsAreUsedOnce() {
    share_ = 0;
    for (int i = 1; i <= 2; ++i) {
      server_.answer(httpAnswer(200, "body", kKeepAlive));
      fetch(request(ConnectionUse::kReuse));
      CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.closedByClient() == i; }));
    }
  }

  // Guards against surplus bytes that are taken for the answer to the next request, or its begin.
  void surplusOnAnIdleConnectionIsNoAnswer() {
    const std::string surplus = httpAnswer(200, "surplus");
    for (std::size_t cut = 1; cut <= surplus.size(); ++cut) {
      for (const bool pooled : {true, false}) {
        keepOne();
        server_.sendMore(surplus.substr(0, cut));
        server_.answer(httpAnswer(500, "due", kKeepAlive));
        CurlRequest next = request(ConnectionUse::kReuse);
        if (!pooled) {
          next.pooled_use.reset();
          next.connection_use = ConnectionUse::kReuse;
        }
        const CurlResponse response = fetch(next);
        CPPUNIT_ASSERT_MESSAGE(std::string(pooled ? "pooled, " : "") + std::to_string(cut) +
                                   " bytes: " + response.error,
                               response.outcome == CurlOutcome::kAnswered);
        CPPUNIT_ASSERT_EQUAL(500, response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("due"), response.body);
      }
    }
  }

  // Guards against a head that is joined from a part of a surplus answer and the one that is due.
  void partOfASurplusBeforeTheAnswerIsNoAnswer() {
    const std::string head = "HTTP/1.1 200 OK\r\nDate: now\r\nContent-Length: 7\r\n";
    for (std::size_t cut = 1; cut <= head.size(); ++cut) {
      keepOne();
      server_.answer(head.substr(0, cut) + httpAnswer(500, "due", kKeepAlive));
      CPPUNIT_ASSERT(fetch(request(ConnectionUse::kReuse)).outcome != CurlOutcome::kAnswered);
    }
  }

  // Guards against the answer to another request that is taken for a failure of the server.
  void foreignAnswerIsStale() {
    CurlRequest reading = request(ConnectionUse::kReuse);
    reading.belongs_to_request = [](const std::vector<CurlHeader>& headers) {
      return std::none_of(headers.begin(), headers.end(),
                          [](const CurlHeader& header) { return header.name == "X-Other"; });
    };
    keepOne();
    server_.answer(httpAnswer(200, "surplus", "X-Other: yes\r\n"));
    CPPUNIT_ASSERT(fetch(reading).outcome == CurlOutcome::kStale);
    server_.answer(httpAnswer(200, "due", kKeepAlive));
    CPPUNIT_ASSERT_EQUAL(std::string("due"), fetch(reading).body);
  }

  void abandonedRequestLeavesNoConnection() {
    keepOne();
    auto transfer = curl_->startFetch(request(ConnectionUse::kReuse), [](const CurlResponse&) {});
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.requests().size() == 2; }));
    transfer.reset();
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.closedByClient() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool_->state().in_use);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pool_->state().idle);
  }

 private:
  static ConnectionPoolSettings settings() {
    ConnectionPoolSettings settings;
    settings.keeps = true;
    settings.unannounced_idle_limit = milliseconds(50);
    return settings;
  }

  CurlRequest request(ConnectionUse use) {
    CurlRequest made;
    made.method = "POST";
    made.address = server_.address();
    made.target = "/path";
    made.body = "body";
    made.connection_use = ConnectionUse::kOnce;
    made.pooled_use = use;
    return made;
  }

  void keepOne() {
    server_.answer(httpAnswer(200, "first", kKeepAlive));
    fetch(request(ConnectionUse::kReuse));
    CPPUNIT_ASSERT(curl_->hasIdleConnection(server_.address()));
  }

  CurlResponse fetch(const CurlRequest& wanted) {
    std::optional<CurlResponse> result;
    curl_->fetch(wanted, [&](CurlResponse response) { result = std::move(response); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return result.has_value(); }));
    return *result;
  }

  asio::io_context context_;
  testing::ScriptedServer server_{context_};
  common::CounterRegistry counters_;
  std::size_t share_ = 4;
  std::optional<ConnectionPool> pool_;
  std::optional<CurlMulti> curl_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeptConnectionTest);

}  // namespace
}  // namespace cypresswall::runtime
