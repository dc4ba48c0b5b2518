#include "cypresswall/runtime/curl_multi.h"

#include <asio/io_context.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/event_loop.h"
#include "tests/support/property.h"
#include "tests/support/scripted_server.h"

namespace cypresswall::runtime {
namespace {

using testing::httpAnswer;
using testing::runUntil;

class Recorder : public CurlTransferHandler {
 public:
  void onHead(const CurlResponse& head) override {
    CPPUNIT_ASSERT(body.empty());
    heads.push_back(head);
  }
  void onBody(std::string_view bytes) override {
    body += bytes;
    if (destroy_on_body) {
      transfer.reset();
    }
  }
  void onDone(CurlResponse response) override { done = std::move(response); }

  std::unique_ptr<CurlTransfer> transfer;
  bool destroy_on_body = false;
  std::vector<CurlResponse> heads;
  std::string body;
  std::optional<CurlResponse> done;
};

class CurlMultiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CurlMultiTest);
  CPPUNIT_TEST(fetchesAndReusesTheConnection);
  CPPUNIT_TEST(requestsAreNeverSentTwice);
  CPPUNIT_TEST(freshRequestsTakeANewConnection);
  CPPUNIT_TEST(connectionUsedOnceIsClosed);
  CPPUNIT_TEST(headIsDeliveredOnceBeforeTheBody);
  CPPUNIT_TEST(reusedHandleSendsNothingOfAnEarlierRequest);
  CPPUNIT_TEST(distinguishesNotSentFromBroken);
  CPPUNIT_TEST(timeLimitAfterSendingIsBroken);
  CPPUNIT_TEST(streamsTheBodyAndPauses);
  CPPUNIT_TEST(destroyingInsideACallbackEndsTheConnection);
  CPPUNIT_TEST(startsRequestsInsideACallback);
  CPPUNIT_TEST(refusesTooLongAnswers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void fetchesAndReusesTheConnection() {
    for (int i = 0; i < 3; ++i) {
      server_.answer(httpAnswer(200, "body", "X-Kind: test\r\n"));
      const CurlResponse response = fetch(request("GET"));
      CPPUNIT_ASSERT(response.outcome == CurlOutcome::kAnswered);
      CPPUNIT_ASSERT_EQUAL(200, response.status);
      CPPUNIT_ASSERT_EQUAL(std::string("body"), response.body);
      CPPUNIT_ASSERT_EQUAL(std::string("test"), response.header("x-kind"));
    }
    CPPUNIT_ASSERT_EQUAL(1, server_.connections());
  }

  void requestsAreNeverSentTwice() {
    server_.answer(httpAnswer(200, "first"));
    fetch(request("GET"));
    // The server reads the next request and closes the connection without a response. On a reused
    // connection libcurl would retry the request by itself.
    server_.answer("", true);
    CurlRequest once = request("POST");
    once.body = "booking";
    CPPUNIT_ASSERT(fetch(once).outcome == CurlOutcome::kBroken);
    // Once this request is answered, any retry sent before it would have arrived as well.
    server_.answer(httpAnswer(200, "last"));
    CPPUNIT_ASSERT(fetch(request("GET")).outcome == CurlOutcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, server_.requests().size());
  }

  void freshRequestsTakeANewConnection() {
    server_.answer(httpAnswer(200, "first"));
    fetch(request("GET"));
    server_.answer(httpAnswer(200, "second"));
    CurlRequest fresh = request("POST");
    fresh.connection_use = ConnectionUse::kFresh;
    CPPUNIT_ASSERT(fetch(fresh).outcome == CurlOutcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(2, server_.connections());
  }

  /// Idle connections kept for reuse would exhaust a peer that allows only a few.
  void connectionUsedOnceIsClosed() {
    for (int turn = 1; turn <= 2; ++turn) {
      server_.answer(httpAnswer(200, "answer"));
      CurlRequest once = request("POST");
      once.connection_use = ConnectionUse::kOnce;
      CPPUNIT_ASSERT(fetch(once).outcome == CurlOutcome::kAnswered);
      CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.closedByClient() == turn; }));
    }
    CPPUNIT_ASSERT_EQUAL(2, server_.connections());
  }

  void headIsDeliveredOnceBeforeTheBody() {
    server_.answer("HTTP/1.1 200 OK\r\nX-Kind: test\r\nContent-Length: 4\r\n\r\nab");
    Recorder recorder;
    recorder.transfer = curl_.start(request("POST"), recorder);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return recorder.body == "ab"; }));
    server_.sendMore("cd");
    CPPUNIT_ASSERT(runUntil(context_, [&] { return recorder.done.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, recorder.heads.size());
    CPPUNIT_ASSERT_EQUAL(200, recorder.heads[0].status);
    CPPUNIT_ASSERT_EQUAL(std::string("test"), recorder.heads[0].header("x-kind"));
    CPPUNIT_ASSERT_EQUAL(std::string("abcd"), recorder.body);
  }

  void reusedHandleSendsNothingOfAnEarlierRequest() {
    server_.answer(httpAnswer(200, "first"));
    CurlRequest order = request("POST");
    order.body = "order-body";
    order.headers.push_back({"X-Order", "seven"});
    order.connection_use = ConnectionUse::kFresh;
    fetch(order);
    server_.answer(httpAnswer(200, "second"));
    CPPUNIT_ASSERT_EQUAL(std::string("second"), fetch(request("GET")).body);
    const std::string& last = server_.requests().back();
    CPPUNIT_ASSERT_EQUAL(std::string("GET "), last.substr(0, 4));
    CPPUNIT_ASSERT(last.find("seven") == std::string::npos);
    CPPUNIT_ASSERT(last.find("order-body") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(1, server_.connections());
  }

  void distinguishesNotSentFromBroken() {
    CurlRequest nowhere = request("POST");
    asio::ip::tcp::acceptor unused(context_, {asio::ip::make_address("127.0.0.1"), 0});
    nowhere.address = "127.0.0.1:" + std::to_string(unused.local_endpoint().port());
    unused.close();
    CPPUNIT_ASSERT(fetch(nowhere).outcome == CurlOutcome::kNotSent);
    server_.answer("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", true);
    CPPUNIT_ASSERT(fetch(request("POST")).outcome == CurlOutcome::kBroken);
  }

  void timeLimitAfterSendingIsBroken() {
    CurlRequest slow = request("POST");
    slow.total_time_limit = std::chrono::milliseconds(50);
    CPPUNIT_ASSERT(fetch(slow).outcome == CurlOutcome::kBroken);
  }

  void streamsTheBodyAndPauses() {
    server_.answer("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nab");
    Recorder recorder;
    recorder.transfer = curl_.start(request("GET"), recorder);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return recorder.body == "ab"; }));
    recorder.transfer->pause();
    context_.restart();
    context_.poll();
    server_.sendMore("cdef");
    context_.restart();
    context_.run_for(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), recorder.body);
    recorder.transfer->resume();
    CPPUNIT_ASSERT(runUntil(context_, [&] { return recorder.done.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(std::string("abcdef"), recorder.body);
  }

  void destroyingInsideACallbackEndsTheConnection() {
    server_.answer("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nab");
    Recorder recorder;
    recorder.destroy_on_body = true;
    recorder.transfer = curl_.start(request("GET"), recorder);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.closedByClient() == 1; }));
    CPPUNIT_ASSERT(!recorder.done.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, curl_.running());
  }

  void startsRequestsInsideACallback() {
    server_.answer(httpAnswer(200, "one"));
    server_.answer(httpAnswer(200, "two"));
    std::string bodies;
    curl_.fetch(request("GET"), [&](const CurlResponse& first) {
      bodies += first.body;
      curl_.fetch(request("GET"), [&](const CurlResponse& second) { bodies += second.body; });
    });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return bodies == "onetwo"; }));
  }

  void refusesTooLongAnswers() {
    server_.answer(httpAnswer(200, std::string(1000, 'x')));
    CurlRequest small = request("GET");
    small.maximum_body_bytes = 100;
    const CurlResponse response = fetch(small);
    CPPUNIT_ASSERT(response.outcome == CurlOutcome::kBroken);
    CPPUNIT_ASSERT_EQUAL(std::string("answer is too long"), response.error);
  }

 private:
  CurlRequest request(const std::string& method) {
    CurlRequest made;
    made.method = method;
    made.address = server_.address();
    made.target = "/path?query=1";
    return made;
  }

  CurlResponse fetch(const CurlRequest& wanted) {
    std::optional<CurlResponse> result;
    curl_.fetch(wanted, [&](CurlResponse response) { result = std::move(response); });
    CPPUNIT_ASSERT(!result.has_value());
    CPPUNIT_ASSERT(runUntil(context_, [&] { return result.has_value(); }));
    return *result;
  }

  asio::io_context context_;
  testing::ScriptedServer server_{context_};
  CurlMulti curl_{context_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CurlMultiTest);

}  // namespace
}  // namespace cypresswall::runtime
