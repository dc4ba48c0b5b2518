/// Tests the HTTP engine client against the engine stand-in's HTTP front end over real sockets.
#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "cypresswall/emulation/answer.h"
#include "cypresswall/emulation/engine.h"
#include "cypresswall/engines/http_engine_client.h"
#include "cypresswall/http/server.h"
#include "cypresswall/runtime/asio_clock.h"
#include "cypresswall/runtime/asio_scheduler.h"
#include "standins/fronts/engine_front.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"

namespace cypresswall::engines {
namespace {

using testing::runUntil;

class TextHandler : public StreamHandler {
 public:
  void onToken(std::uint32_t, std::uint32_t, const std::string& token) override {
    text += token;
    ++tokens;
  }
  void onFinished(std::uint32_t, const StreamUsage& given) override { usage = given; }
  void onFailed(StreamFailure given, const std::string& why) override {
    failure = given;
    message = why;
  }
  bool ended() const { return usage.has_value() || failure.has_value(); }

  std::string text;
  std::uint32_t tokens = 0;
  std::string message;
  std::optional<StreamUsage> usage;
  std::optional<StreamFailure> failure;
};

class EngineStandinTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineStandinTest);
  CPPUNIT_TEST(streamsExpectedAnswer);
  CPPUNIT_TEST(resumesBrokenStreamAtNextToken);
  CPPUNIT_TEST(destroyingStreamCancelsIt);
  CPPUNIT_TEST(refusalMeansNotRun);
  CPPUNIT_TEST(ordersAreFenced);
  CPPUNIT_TEST(readsLoadAndCacheEvents);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { server_->start(); }

  void streamsExpectedAnswer() {
    TextHandler handler;
    const auto stream = client_.startStream(endpoint(), request(40), handler);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return handler.ended(); }));
    CPPUNIT_ASSERT_EQUAL(emulation::expectedAnswer(seed(), 40), handler.text);
    CPPUNIT_ASSERT_EQUAL(40U, handler.usage->output_tokens);
  }

  void resumesBrokenStreamAtNextToken() {
    emulation::EngineFaults faults;
    faults.break_stream_after_tokens = 5;
    engine_.setFaults(faults);
    TextHandler first;
    const auto broken = client_.startStream(endpoint(), request(20), first);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return first.ended(); }));
    CPPUNIT_ASSERT(first.failure == StreamFailure::kBroken);
    // The connection may break before the last tokens are delivered.
    CPPUNIT_ASSERT(first.tokens >= 1 && first.tokens <= 5);
    CPPUNIT_ASSERT_EQUAL(emulation::expectedAnswer(seed(), first.tokens), first.text);
    StreamRequest again = request(20);
    again.attempt = 2;
    again.resume_from = first.tokens;
    TextHandler second;
    const auto resumed = client_.startStream(endpoint(), again, second);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return second.ended(); }));
    CPPUNIT_ASSERT_EQUAL(emulation::expectedAnswer(seed(), 20), first.text + second.text);
  }

  void destroyingStreamCancelsIt() {
    TextHandler handler;
    auto stream = client_.startStream(endpoint(), request(4000), handler);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return !handler.text.empty(); }));
    stream.reset();
    CPPUNIT_ASSERT(runUntil(context_, [&] { return engine_.currentLoad().running_streams == 0; }));
    CPPUNIT_ASSERT(!handler.ended());
  }

  void refusalMeansNotRun() {
    emulation::EngineFaults faults;
    faults.refuse = true;
    engine_.setFaults(faults);
    TextHandler handler;
    const auto stream = client_.startStream(endpoint(), request(4), handler);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return handler.ended(); }));
    CPPUNIT_ASSERT_MESSAGE(handler.message, handler.failure == StreamFailure::kRefused);
    CPPUNIT_ASSERT(engine_.ledger().streams.empty());
  }

  void ordersAreFenced() {
    EngineOrder order;
    order.epoch = {1, 2};
    order.sequence = 1;
    order.engine_incarnation = engine_.incarnation();
    order.content.kind = OrderKind::kChangeRole;
    order.content.role = EngineRole::kDecode;
    CPPUNIT_ASSERT(send(order) == OrderVerdict::kAccepted);
    CPPUNIT_ASSERT(send(order) == OrderVerdict::kDuplicate);
    order.epoch = {1, 1};
    CPPUNIT_ASSERT(send(order) == OrderVerdict::kStaleEpoch);
    order.engine_incarnation += 1;
    CPPUNIT_ASSERT(send(order) == OrderVerdict::kWrongIncarnation);
  }

  void readsLoadAndCacheEvents() {
    StreamRequest long_prompt = request(1);
    long_prompt.prompt.assign(
        std::size_t{2} * common::kTokensPerCachePiece * common::kBytesPerToken, 'x');
    TextHandler handler;
    const auto stream = client_.startStream(endpoint(), long_prompt, handler);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return handler.ended(); }));
    std::optional<EngineLoad> load;
    client_.fetchLoad(endpoint(), [&](const auto& result) { load = result.value(); });
    std::optional<CacheEvents> events;
    client_.fetchCacheEvents(endpoint(), 0, [&](const auto& result) { events = result.value(); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return load && events; }));
    CPPUNIT_ASSERT_EQUAL(engine_.incarnation(), load->incarnation);
    CPPUNIT_ASSERT_EQUAL(std::string("m"), load->model);
    CPPUNIT_ASSERT_EQUAL(2U, load->cache_pieces_used);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events->events.size());
    const auto shape = common::shapeOfPrompt(long_prompt.prompt, "m/1/");
    CPPUNIT_ASSERT_EQUAL(shape.pieces.at(0), events->events.at(0).piece);
  }

 private:
  static emulation::EngineSettings engineSettings() {
    emulation::EngineSettings settings;
    settings.name = "engine-1";
    settings.model = "m";
    settings.version = "1";
    settings.speed.decode_step_base = std::chrono::microseconds(500);
    settings.speed.decode_step_per_stream = std::chrono::microseconds(10);
    settings.speed.prefill_tokens_per_second = 1e6;
    return settings;
  }

  static StreamRequest request(std::uint32_t tokens) {
    StreamRequest made;
    made.stream_id = "s";
    made.model = "m";
    made.version = "1";
    made.prompt = "hello there";
    made.maximum_tokens = tokens;
    return made;
  }

  static emulation::AnswerSeed seed() {
    return emulation::answerSeed("m", "1", "",
                                 common::shapeOfPrompt("hello there", "m/1/").content_hash);
  }

  EngineEndpoint endpoint() const {
    return {"engine-1", "127.0.0.1:" + std::to_string(server_->port())};
  }

  OrderVerdict send(const EngineOrder& order) {
    std::optional<OrderVerdict> verdict;
    client_.sendOrder(endpoint(), order,
                      [&](const auto& result) { verdict = result.value().verdict; });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return verdict.has_value(); }));
    return *verdict;
  }

  asio::io_context context_;
  runtime::AsioClock clock_;
  runtime::AsioScheduler scheduler_{context_};
  common::SeededRandom random_{1};
  emulation::EmulatedEngine engine_{engineSettings(), clock_,  scheduler_,
                                    random_,          nullptr, nullptr};
  standins::EngineFront front_{engine_};
  std::unique_ptr<http::Server> server_ = makeServer();
  common::CounterRegistry counters_;
  runtime::CurlMulti curl_{context_};
  HttpEngineClient client_{curl_, counters_};

  std::unique_ptr<http::Server> makeServer() {
    http::ServerSettings settings;
    settings.address = "127.0.0.1:0";
    return http::makeServer(context_, settings,
                            [this](const http::Request& request, const auto& responder) {
                              front_.handle(request, responder);
                            });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineStandinTest);

}  // namespace
}  // namespace cypresswall::engines
