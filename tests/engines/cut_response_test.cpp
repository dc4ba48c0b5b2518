/// Responses of engines that end early, at the client's own interface.
#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "cypresswall/engines/http_engine_client.h"
#include "tests/support/cut_response.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"

namespace cypresswall::engines {
namespace {

using testing::CutResponse;
using testing::httpAnswer;
using testing::runUntil;

class LastCallHandler : public StreamHandler {
 public:
  void onToken(std::uint32_t, std::uint32_t, const std::string&) override { ++tokens; }
  void onRateLimit(std::uint32_t, const common::RateLimitNotice&) override { limited = true; }
  void onFinished(std::uint32_t, const StreamUsage&) override { ended = finished = true; }
  void onFailed(StreamFailure given, const std::string&) override {
    ended = true;
    failure = given;
  }

  int tokens = 0;
  bool limited = false;
  bool ended = false;
  bool finished = false;
  std::optional<StreamFailure> failure;
};

class CutResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutResponseTest);
  CPPUNIT_TEST(streamEndsWithItsDoneEventOnly);
  CPPUNIT_TEST(cutRefusalIsNoRefusal);
  CPPUNIT_TEST(cutReplyIsNoReply);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against streams that look finished because their connection ended. The done event names
  /// the number of tokens, so a stream is whole once it has arrived, whatever follows it.
  void streamEndsWithItsDoneEventOnly() {
    const std::string done =
        "data: {\"attempt\": 1, \"done\": true, \"prompt_tokens\": 9, \"cached_prompt_tokens\": 0, "
        "\"output_tokens\": 1, \"finish_reason\": \"stop\"}\n\n";
    const std::string response =
        "HTTP/1.1 200 OK\r\nX-Cypresswall-Rate-Limit: 1.5\r\nTransfer-Encoding: chunked\r\n\r\n" +
        testing::chunked({"data: {\"attempt\": 1, \"index\": 0, \"token\": \"a\"}\n\n", done});
    const std::size_t done_end = response.find(done) + done.size();
    forEachCut(server_, response, [&](const CutResponse& cut) {
      const LastCallHandler handler = stream();
      // A reset may discard bytes that have arrived.
      const bool may_finish = cut.bytes >= done_end;
      const bool must_finish = may_finish && !cut.reset;
      CPPUNIT_ASSERT_MESSAGE(cut.description, may_finish || !handler.finished);
      CPPUNIT_ASSERT_MESSAGE(cut.description, !must_finish || handler.finished);
      CPPUNIT_ASSERT_MESSAGE(cut.description, cut.head_arrives || !handler.limited);
    });
  }

  /// Guards against a second run of a stream because a part of the answer looked like a refusal.
  void cutRefusalIsNoRefusal() {
    const std::string response = httpAnswer(409, R"({"error": "changing", "ran": false})");
    forEachCut(server_, response, [&](const CutResponse& cut) {
      CPPUNIT_ASSERT_MESSAGE(cut.description, stream().failure == StreamFailure::kBroken);
    });
    server_.answer(response, true);
    CPPUNIT_ASSERT(stream().failure == StreamFailure::kRefused);
  }

  /// Guards against orders that are believed taken, and loads and cache contents that are believed,
  /// though the end of the reply is missing.
  void cutReplyIsNoReply() {
    requireWholeReply(R"({"verdict": "accepted", "highest_epoch": {"generation": 1, "term": 5},
                          "last_sequence": 3, "in_progress": false})",
                      [this](auto callback) { client_.sendOrder(endpoint_, {}, callback); });
    requireWholeReply(R"({"incarnation": 1, "last_sequence": 9, "events": []})",
                      [this](auto callback) { client_.fetchCacheEvents(endpoint_, 7, callback); });
    requireWholeReply(
        R"({"incarnation": 1, "state": "ready", "role": "prefill", "model": "m", "version": "2",
            "adapters": [], "running_streams": 1, "waiting_streams": 2, "maximum_streams": 3,
            "queued_prefill_tokens": 4, "queued_decode_tokens": 5, "cache_pieces_used": 6,
            "cache_pieces_total": 7, "highest_epoch": {"generation": 1, "term": 2},
            "last_sequence": 8, "order_in_progress": true, "prefill_tokens_per_second": 1000.5,
            "decode_step_base_us": 2000, "decode_step_per_stream_us": 100.0, "age_ms": 1.5})",
        [this](auto callback) { client_.fetchLoad(endpoint_, callback); });
  }

 private:
  LastCallHandler stream() {
    LastCallHandler handler;
    StreamRequest request;
    request.stream_id = "s";
    request.model = "m";
    const auto running = client_.startStream(endpoint_, request, handler);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return handler.ended; }));
    return handler;
  }

  template <typename Call>
  bool succeeds(Call call) {
    std::optional<bool> ok;
    call([&](const auto& result) { ok = result.ok(); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return ok.has_value(); }));
    return *ok;
  }

  template <typename Call>
  void requireWholeReply(const std::string& body, Call call) {
    const std::string response = httpAnswer(200, body, "X-Cypresswall-Leaving: 1\r\n");
    int announcements = 0;
    client_.observeAnnouncements([&](const std::string&, const auto& announcement) {
      announcements += announcement.leaving ? 1 : 0;
    });
    forEachCut(server_, response, [&](const CutResponse& cut) {
      CPPUNIT_ASSERT_MESSAGE(cut.description, !succeeds(call));
      CPPUNIT_ASSERT_MESSAGE(cut.description, cut.head_arrives || announcements == 0);
      announcements = 0;
    });
    server_.answer(response, true);
    CPPUNIT_ASSERT(succeeds(call));
    CPPUNIT_ASSERT_EQUAL(1, announcements);
  }

  asio::io_context context_;
  testing::ScriptedServer server_{context_};
  common::CounterRegistry counters_;
  runtime::CurlMulti curl_{context_};
  HttpEngineClient client_{curl_, counters_};
  EngineEndpoint endpoint_{"engine-1", server_.address()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutResponseTest);

}  // namespace
}  // namespace cypresswall::engines
