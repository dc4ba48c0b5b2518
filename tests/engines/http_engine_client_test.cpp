#include "cypresswall/engines/http_engine_client.h"

#include <asio/io_context.hpp>
#include <optional>
#include <string>
#include <vector>

#include "tests/support/event_loop.h"
#include "tests/support/odd_json.h"
#include "tests/support/property.h"
#include "tests/support/scripted_server.h"

namespace cypresswall::engines {
namespace {

using testing::httpAnswer;
using testing::runUntil;

constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* kStreamEnd = "0\r\n\r\n";
constexpr const char* kDone =
    R"({"attempt": 1, "done": true, "prompt_tokens": 9, "cached_prompt_tokens": 0,)"
    R"( "output_tokens": 2, "finish_reason": "stop"})";

std::string chunk(const std::string& data) {
  std::ostringstream out;
  out << std::hex << data.size() << "\r\n" << data << "\r\n";
  return out.str();
}

std::string event(const std::string& json) { return chunk("data: " + json + "\n\n"); }

std::string token(int attempt, int index, const std::string& text) {
  return event(R"({"attempt": )" + std::to_string(attempt) + R"(, "index": )" +
               std::to_string(index) + R"(, "token": ")" + text + "\"}");
}

class RecordingHandler : public StreamHandler {
 public:
  void onToken(std::uint32_t attempt, std::uint32_t index, const std::string& text) override {
    tokens.push_back(std::to_string(attempt) + ":" + std::to_string(index) + text);
    if (destroy_on_token) {
      stream.reset();
    }
  }
  void onFinished(std::uint32_t attempt, const StreamUsage& given) override {
    if (attempt == 1) {
      usage = given;
    } else {
      ++foreign_ends;
    }
  }
  void onFailed(StreamFailure given, const std::string&) override {
    failure = given;
    stream.reset();
  }
  bool ended() const { return usage.has_value() || failure.has_value(); }

  std::unique_ptr<Stream> stream;
  bool destroy_on_token = false;
  std::vector<std::string> tokens;
  std::optional<StreamUsage> usage;
  std::optional<StreamFailure> failure;
  int foreign_ends = 0;
};

class HttpEngineClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpEngineClientTest);
  CPPUNIT_TEST(streamsTokensToTheEnd);
  CPPUNIT_TEST(forwardsEventsOfOtherAttempts);
  CPPUNIT_TEST(failsOnMalformedEvents);
  CPPUNIT_TEST(streamWithoutFinalEventIsBroken);
  CPPUNIT_TEST(eventsWithoutEndFailTheStream);
  CPPUNIT_TEST(onlyRanFalseCountsAsRefusal);
  CPPUNIT_TEST(unreachableEngineReportsNotSent);
  CPPUNIT_TEST(destroyingStreamClosesConnection);
  CPPUNIT_TEST(sendsOrdersAndReadsVerdicts);
  CPPUNIT_TEST(orderFailuresAreReported);
  CPPUNIT_TEST(oddAnswersToOrdersFailThemWithAReason);
  CPPUNIT_TEST(readsReports);
  CPPUNIT_TEST_SUITE_END();

 public:
  void streamsTokensToTheEnd() {
    server_.answer(kStreamHead + token(1, 0, "a") + token(1, 1, "\\n") + event(kDone) + kStreamEnd);
    StreamRequest first = streamRequest();
    first.prompt = "caf\u00e9 \"x\"";
    run(first);
    CPPUNIT_ASSERT(handler_.tokens == (std::vector<std::string>{"1:0a", "1:1\n"}));
    CPPUNIT_ASSERT_EQUAL(9U, handler_.usage->prompt_tokens);
    const std::string& sent = server_.requests().at(0);
    CPPUNIT_ASSERT(sent.starts_with("POST /v1/streams HTTP/1.1\r\n"));
    CPPUNIT_ASSERT(sent.find(R"("prompt":"café \"x\"")") != std::string::npos);
    CPPUNIT_ASSERT(sent.find("kv_source") == std::string::npos);
    // The next stream reuses the connection of a finished one.
    server_.answer(kStreamHead + event(kDone) + kStreamEnd);
    handler_ = RecordingHandler();
    StreamRequest second = streamRequest();
    second.phase = StreamPhase::kDecodeOnly;
    second.kv_source = "127.0.0.9:1";
    run(second);
    CPPUNIT_ASSERT(handler_.usage.has_value());
    CPPUNIT_ASSERT_EQUAL(1, server_.connections());
    CPPUNIT_ASSERT(server_.requests().at(1).find(R"("kv_source":"127.0.0.9:1")") !=
                   std::string::npos);
  }

  void forwardsEventsOfOtherAttempts() {
    std::string foreign_done = kDone;
    foreign_done.replace(foreign_done.find('1'), 1, "2");
    server_.answer(kStreamHead + token(2, 0, "x") + event(foreign_done) + token(1, 0, "a") +
                   event(kDone) + kStreamEnd);
    run(streamRequest());
    CPPUNIT_ASSERT(handler_.tokens == (std::vector<std::string>{"2:0x", "1:0a"}));
    CPPUNIT_ASSERT_EQUAL(1, handler_.foreign_ends);
    CPPUNIT_ASSERT(handler_.usage.has_value());
  }

  void failsOnMalformedEvents() {
    server_.answer(kStreamHead + token(1, 0, "a") + event("{") + token(1, 1, "b"));
    run(streamRequest());
    CPPUNIT_ASSERT(handler_.failure == StreamFailure::kMalformed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, handler_.tokens.size());
  }

  void streamWithoutFinalEventIsBroken() {
    server_.answer(kStreamHead + token(1, 0, "a"), true);
    run(streamRequest());
    CPPUNIT_ASSERT(handler_.failure == StreamFailure::kBroken);
    server_.answer(kStreamHead + token(1, 0, "a") + kStreamEnd);
    handler_ = RecordingHandler();
    run(streamRequest());
    CPPUNIT_ASSERT(handler_.failure == StreamFailure::kBroken);
  }

  /// Guards against a process that grows, or reads on, while no event is ever complete.
  void eventsWithoutEndFailTheStream() {
    const std::string text(1000, 'x');
    for (const std::string& filler : {text, "data: " + text + "\n", ": " + text + "\n",
                                      ": " + text + "\n\n", std::string(1000, '\n')}) {
      handler_ = RecordingHandler();
      const auto sent = server_.requests().size() + 1;
      server_.answer("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
      handler_.stream = client_.startStream(endpoint_, streamRequest(), handler_);
      CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.requests().size() == sent; }));
      for (std::size_t bytes = 0; !handler_.ended() && bytes < 2 * kMaximumEventBytes;) {
        server_.sendMore(filler);
        bytes += filler.size();
        context_.restart();
        context_.poll();
      }
      CPPUNIT_ASSERT_MESSAGE(filler.substr(0, 10), handler_.failure == StreamFailure::kMalformed);
    }
  }

  void onlyRanFalseCountsAsRefusal() {
    server_.answer(httpAnswer(409, R"({"error": "changing", "ran": false})"));
    run(streamRequest());
    CPPUNIT_ASSERT(handler_.failure == StreamFailure::kRefused);
    server_.answer(httpAnswer(500, "oops"));
    handler_ = RecordingHandler();
    run(streamRequest());
    CPPUNIT_ASSERT(handler_.failure == StreamFailure::kMalformed);
  }

  void unreachableEngineReportsNotSent() {
    endpoint_.address = "127.0.0.1:1";
    run(streamRequest());
    CPPUNIT_ASSERT(handler_.failure == StreamFailure::kNotSent);
  }

  void destroyingStreamClosesConnection() {
    server_.answer(kStreamHead + token(1, 0, "a") + token(1, 1, "b"));
    handler_.destroy_on_token = true;
    handler_.stream = client_.startStream(endpoint_, streamRequest(), handler_);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_.closedByClient() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, handler_.tokens.size());
    CPPUNIT_ASSERT(!handler_.ended());
  }

  void sendsOrdersAndReadsVerdicts() {
    server_.answer(httpAnswer(200, R"({"verdict": "stale_epoch", "highest_epoch":
        {"generation": 1, "term": 5}, "last_sequence": 3, "in_progress": true})"));
    EngineOrder order;
    order.epoch = {1, 4};
    order.sequence = 2;
    order.engine_incarnation = 77;
    order.content.kind = OrderKind::kChangeRole;
    order.content.role = EngineRole::kDecode;
    const auto result = sendOrder(order);
    CPPUNIT_ASSERT(result.ok());
    CPPUNIT_ASSERT(result.value().verdict == OrderVerdict::kStaleEpoch);
    CPPUNIT_ASSERT(result.value().highest_epoch == (common::Epoch{1, 5}));
    const std::string& sent = server_.requests().at(0);
    for (const char* part : {R"("engine_incarnation":77)", R"("kind":"change_role")",
                             R"("role":"decode")", R"("term":4)", R"("only_if_idle":true)"}) {
      CPPUNIT_ASSERT_MESSAGE(part, sent.find(part) != std::string::npos);
    }
  }

  void orderFailuresAreReported() {
    server_.answer("", true);
    CPPUNIT_ASSERT(sendOrder({}).failure().kind == EngineFailure::kUnknownOutcome);
    server_.answer(httpAnswer(200, "{}"));
    CPPUNIT_ASSERT(sendOrder({}).failure().kind == EngineFailure::kMalformed);
    endpoint_.address = "127.0.0.1:1";
    CPPUNIT_ASSERT(sendOrder({}).failure().kind == EngineFailure::kUnavailable);
  }

  /// Guards against an exception, or a failure without its reason, on an odd answer to an order.
  void oddAnswersToOrdersFailThemWithAReason() {
    // The server writes an answer at once, so that larger ones could block it. parseOrderReply()
    // gets them in stream_event_test.cpp.
    constexpr std::size_t kMaximumBodyBytes = 64U << 10U;
    constexpr std::size_t kLevels = 15'000;
    const std::string example = R"({"verdict": "accepted", "in_progress": false,
        "highest_epoch": {"generation": 1, "term": 2}, "last_sequence": 3})";
    testing::forEachOddCopy(example, [&](const std::string& body) {
      if (body.size() > kMaximumBodyBytes) {
        return;
      }
      server_.answer(httpAnswer(200, body));
      const auto result = sendOrder({});
      if (result.ok()) {
        CPPUNIT_ASSERT(result.value().verdict == OrderVerdict::kAccepted);
      } else {
        requireMalformed(result, body);
      }
    });
    for (const std::string& body :
         {std::string(), std::string("accepted"), std::string("\xff\0", 2), std::string("[]"),
          std::string("null"), example.substr(0, example.size() - 1), testing::deepJson(kLevels),
          R"({"verdict": )" + testing::deepJson(kLevels) + "}"}) {
      server_.answer(httpAnswer(200, body));
      requireMalformed(sendOrder({}), body);
    }
    server_.answer("HTTP/1.1 200 Scripted\r\nContent-Length: 1000000000\r\n\r\n{", true);
    const auto huge = sendOrder({});
    CPPUNIT_ASSERT(!huge.ok());
    CPPUNIT_ASSERT(huge.failure().kind == EngineFailure::kUnknownOutcome);
    CPPUNIT_ASSERT(!huge.failure().message.empty());
    server_.answer(httpAnswer(200, example));
    CPPUNIT_ASSERT(sendOrder({}).ok());
  }

  void readsReports() {
    server_.answer(httpAnswer(200, R"({"incarnation": 18446744073709551615, "state": "changing",
        "role": "prefill", "model": "m", "version": "2", "adapters": ["x"], "running_streams": 1,
        "waiting_streams": 2, "maximum_streams": 3, "queued_prefill_tokens": 4,
        "queued_decode_tokens": 5, "cache_pieces_used": 6, "cache_pieces_total": 7,
        "highest_epoch": {"generation": 1, "term": 2}, "last_sequence": 8,
        "order_in_progress": true, "prefill_tokens_per_second": 1000.5,
        "decode_step_base_us": 2000, "decode_step_per_stream_us": 100.0, "age_ms": 1.5})"));
    std::optional<EngineLoad> load;
    client_.fetchLoad(endpoint_, [&](const auto& result) { load = result.value(); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return load.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(UINT64_MAX, load->incarnation);
    CPPUNIT_ASSERT(load->state == EngineState::kChanging && load->role == EngineRole::kPrefill);
    CPPUNIT_ASSERT(load->age == common::Duration(1500));
    server_.answer(httpAnswer(200, R"({"incarnation": 1, "last_sequence": 9, "events":
        [{"sequence": 8, "kind": "evicted", "piece": "00000000000000ff"}]})"));
    std::optional<CacheEvents> events;
    client_.fetchCacheEvents(endpoint_, 7, [&](const auto& result) { events = result.value(); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return events.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(common::PieceHash{255}, events->events.at(0).piece);
    CPPUNIT_ASSERT(server_.requests().at(1).starts_with("GET /v1/cache/events?after=7 "));
  }

 private:
  static StreamRequest streamRequest() {
    StreamRequest request;
    request.stream_id = "s";
    request.model = "m";
    return request;
  }

  static void requireMalformed(const common::Result<OrderReply, EngineFailure>& result,
                               const std::string& body) {
    const std::string beginning = body.substr(0, 200);
    CPPUNIT_ASSERT_MESSAGE(beginning, !result.ok());
    CPPUNIT_ASSERT_MESSAGE(beginning, result.failure().kind == EngineFailure::kMalformed);
    const std::size_t length = result.failure().message.size();
    CPPUNIT_ASSERT_MESSAGE(beginning, length > 0 && length < 1000);
  }

  void run(StreamRequest request) {
    handler_.stream = client_.startStream(endpoint_, std::move(request), handler_);
    CPPUNIT_ASSERT(!handler_.ended());
    CPPUNIT_ASSERT(runUntil(context_, [&] { return handler_.ended(); }));
  }

  common::Result<OrderReply, EngineFailure> sendOrder(const EngineOrder& order) {
    std::optional<common::Result<OrderReply, EngineFailure>> answer;
    client_.sendOrder(endpoint_, order, [&](auto result) { answer = std::move(result); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return answer.has_value(); }));
    return *answer;
  }

  asio::io_context context_;
  testing::ScriptedServer server_{context_};
  common::CounterRegistry counters_;
  runtime::CurlMulti curl_{context_};
  HttpEngineClient client_{curl_, counters_};
  EngineEndpoint endpoint_{"engine-1", server_.address()};
  RecordingHandler handler_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpEngineClientTest);

}  // namespace
}  // namespace cypresswall::engines
