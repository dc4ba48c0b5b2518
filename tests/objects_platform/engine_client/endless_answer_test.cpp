// Guards against a process that grows without limit before engines whose answers have no end: each
// answer ends as the engine's failure, after a limited number of bytes.
#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "cypresswall/runtime/asio_scheduler.h"
#include "platform/duty_client.h"
#include "platform/engine_client.h"
#include "platform/headers.h"
#include "platform/store_calls.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"
#include "tests/support/scripted_server.h"

namespace cypresswall::objects_platform {
namespace {

using engines::StreamFailure;
using testing::runUntil;

const std::string kFields = "X-Request-Id: r1\r\nX-Response-Seal: s\r\n";
const std::string kSuccess = "HTTP/1.1 200 OK\r\n" + kFields + "\r\n";
const std::string kThousand(1000, 'x');
/// Larger than the limit of each answer of an engine.
constexpr std::size_t kMoreThanAnyAnswer = 2U << 20;

class CountingHandler final : public engines::StreamHandler {
 public:
  void onToken(std::uint32_t, std::uint32_t, const std::string&) override { ++events; }
  void onFinished(std::uint32_t, const engines::StreamUsage&) override { finished = true; }
  void onFailed(StreamFailure given, const std::string&) override { failure = given; }
  bool ended() const { return finished || failure.has_value(); }

  std::size_t events = 0;
  bool finished = false;
  std::optional<StreamFailure> failure;
};

class EndlessAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessAnswerTest);
  CPPUNIT_TEST(eventWithoutEndFailsTheStream);
  CPPUNIT_TEST(fieldWithoutEndFailsTheStream);
  CPPUNIT_TEST(commentsWithoutEndFailTheStream);
  CPPUNIT_TEST(emptyLinesWithoutEndFailTheStream);
  CPPUNIT_TEST(errorBodyWithoutEndFailsTheStream);
  CPPUNIT_TEST(longestEventsAndCommentsBetweenThemPass);
  CPPUNIT_TEST(prefillAnswerWithoutEndIsBroken);
  CPPUNIT_TEST(handleThatIsTooLongIsNotKept);
  CPPUNIT_TEST(orderAnswerWithoutEndHasUnknownOutcome);
  CPPUNIT_TEST(reportWithoutEndIsUnavailable);
  CPPUNIT_TEST(cacheListsWithoutEndAreUnavailable);
  CPPUNIT_TEST(dutyAnswerWithoutEndHasUnknownOutcome);
  CPPUNIT_TEST(storeAnswerWithoutEndIsBroken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void eventWithoutEndFailsTheStream() {
    CPPUNIT_ASSERT(failureOf(kSuccess + "id: 1\n", "data: " + kThousand + "\n") ==
                   StreamFailure::kMalformed);
  }

  void fieldWithoutEndFailsTheStream() {
    CPPUNIT_ASSERT(failureOf(kSuccess + "id: 1\ndata: ", kThousand) == StreamFailure::kMalformed);
  }

  void commentsWithoutEndFailTheStream() {
    CPPUNIT_ASSERT(failureOf(kSuccess, ": still there\n") == StreamFailure::kMalformed);
    CPPUNIT_ASSERT(failureOf(kSuccess, ": still there\n\n") == StreamFailure::kMalformed);
  }

  void emptyLinesWithoutEndFailTheStream() {
    CPPUNIT_ASSERT(failureOf(kSuccess, "\n") == StreamFailure::kMalformed);
  }

  void errorBodyWithoutEndFailsTheStream() {
    CPPUNIT_ASSERT(failureOf("HTTP/1.1 500 Failed\r\n" + kFields + "\r\n", kThousand) ==
                   StreamFailure::kBroken);
  }

  void longestEventsAndCommentsBetweenThemPass() {
    const std::string frame = "id: 10\ndata: \n\n";
    const std::string content(engines::kMaximumEventBytes - frame.size(), 'x');
    const std::string comment = ":" + std::string(engines::kMaximumEventBytes / 2, 'x') + "\n\n";
    std::string body;
    for (int id = 10; id < 13; ++id) {
      body += comment;
      body += "id: " + std::to_string(id) + "\ndata: ";
      body += content;
      body += "\n\n";
    }
    server_.answer(kSuccess + body, true);
    CountingHandler handler;
    const auto stream = client_.startStream({"engine", server_.address()}, call(), handler);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return handler.ended(); }));
    CPPUNIT_ASSERT(handler.finished);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, handler.events);
  }

  void prefillAnswerWithoutEndIsBroken() {
    CPPUNIT_ASSERT(failureOf(kSuccess + R"({"kv_handle":")", kThousand, prefill()) ==
                   StreamFailure::kBroken);
  }

  /// Thousands of handles are kept at once.
  void handleThatIsTooLongIsNotKept() {
    const std::string handle(4000, 'h');
    server_.answer(testing::httpAnswer(200, R"({"kv_handle":")" + handle + R"("})", kFields), true);
    CountingHandler handler;
    const auto stream = client_.startStream({"engine", server_.address()}, prefill(), handler);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return handler.ended(); }));
    CPPUNIT_ASSERT(handler.failure == StreamFailure::kMalformed);
  }

  void orderAnswerWithoutEndHasUnknownOutcome() {
    engines::EngineOrder order;
    order.content.kind = engines::OrderKind::kChangeRole;
    std::optional<engines::EngineFailure> failure;
    server_.answer(kSuccess);
    client_.sendOrder({"engine", server_.address()}, order, [&](const auto& result) {
      CPPUNIT_ASSERT(!result.ok());
      failure = result.failure().kind;
    });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return !server_.requests().empty(); }));
    sendUntil(kThousand, [&] { return failure.has_value(); });
    CPPUNIT_ASSERT(failure == engines::EngineFailure::kUnknownOutcome);
  }

  void reportWithoutEndIsUnavailable() {
    bool failed = false;
    server_.answer(kSuccess);
    client_.fetchLoad({"engine", server_.address()},
                      [&](const auto& result) { failed = !result.ok(); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return !server_.requests().empty(); }));
    const std::string filler(64U << 10, 'x');
    sendUntil(filler, [&] { return failed; });
    CPPUNIT_ASSERT(failed);
  }

  void cacheListsWithoutEndAreUnavailable() {
    for (const std::uint64_t after : {0, 7}) {
      bool failed = false;
      const auto sent = server_.requests().size() + 1;
      server_.answer(kSuccess);
      client_.fetchCacheEvents({"engine", server_.address()}, after,
                               [&](const auto& result) { failed = !result.ok(); });
      CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.requests().size() == sent; }));
      sendUntil(std::string(64U << 10, 'x'), [&] { return failed; });
      CPPUNIT_ASSERT(failed);
    }
  }

  void dutyAnswerWithoutEndHasUnknownOutcome() {
    DutyClientSettings settings;
    settings.address = server_.address();
    DutyClient duties(curl_, settings);
    std::optional<duties::DutyFailure> failure;
    server_.answer(kSuccess);
    duties.reportUsage({"machine", 1}, {5, {{"tenant", 3}}}, [&](auto given) { failure = given; });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return !server_.requests().empty(); }));
    sendUntil(kThousand, [&] { return failure.has_value(); });
    CPPUNIT_ASSERT(failure == duties::DutyFailure::kUnknownOutcome);
  }

  void storeAnswerWithoutEndIsBroken() {
    constexpr std::size_t kMoreThanAStoreAnswer = 24U << 20;
    StoreCallSettings settings;
    settings.address = server_.address();
    CurlStoreCalls calls(curl_, settings);
    std::optional<runtime::CurlResponse> response;
    server_.answer("HTTP/1.1 200 OK\r\n\r\n{\"items\":[");
    calls.fetch(readCall("/objects/x", std::chrono::seconds(30)),
                [&](const runtime::CurlResponse& given) { response = given; });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return !server_.requests().empty(); }));
    sendUntil(
        std::string(64U << 10, ' '), [&] { return response.has_value(); }, kMoreThanAStoreAnswer);
    CPPUNIT_ASSERT(response && response->outcome == runtime::CurlOutcome::kBroken);
  }

 private:
  static engines::StreamRequest prefill() {
    engines::StreamRequest request = call();
    request.phase = engines::StreamPhase::kPrefillOnly;
    return request;
  }

  static engines::StreamRequest call() {
    engines::StreamRequest request;
    request.stream_id = "s1";
    request.pass_through = std::make_shared<const engines::PassThroughRequest>(
        engines::PassThroughRequest{"POST", "/chat/1", {{kRequestIdHeader, "r1"}}, "ask"});
    return request;
  }

  /// Answers a call with `begin`, and `filler` again and again until the stream ends.
  /// \return the stream's failure; nothing if it goes on
  std::optional<StreamFailure> failureOf(const std::string& begin, const std::string& filler,
                                         const engines::StreamRequest& request = call()) {
    constexpr std::size_t kFillersAtOnce = 100;
    std::string fillers;
    for (std::size_t i = 0; i < kFillersAtOnce; ++i) {
      fillers += filler;
    }
    const auto sent = server_.requests().size() + 1;
    server_.answer(begin);
    CountingHandler handler;
    const auto stream = client_.startStream({"engine", server_.address()}, request, handler);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.requests().size() == sent; }));
    sendUntil(fillers, [&] { return handler.ended(); });
    return handler.failure;
  }

  template <typename Ended>
  void sendUntil(const std::string& filler, Ended ended, std::size_t limit = kMoreThanAnyAnswer) {
    for (std::size_t bytes = 0; !ended() && bytes < limit; bytes += filler.size()) {
      server_.sendMore(filler);
      drain();
    }
  }

  /// Runs handlers until the client has read what was sent. A write to a client that does not read
  /// would block this thread.
  void drain() {
    constexpr auto kQuiet = std::chrono::milliseconds(2);
    do {
      context_.restart();
      context_.poll();
      context_.restart();
    } while (context_.run_one_for(kQuiet) > 0);
  }

  asio::io_context context_;
  runtime::AsioScheduler scheduler_{context_};
  testing::ScriptedServer server_{context_};
  runtime::CurlMulti curl_{context_};
  EngineClient client_{curl_, scheduler_, [](const common::EngineName&) { return std::nullopt; }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessAnswerTest);

}  // namespace
}  // namespace cypresswall::objects_platform
