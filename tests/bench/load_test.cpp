#include <asio/executor_work_guard.hpp>
#include <string>
#include <thread>
#include <vector>

#include "bench/load/event_scanner.h"
#include "bench/load/load_run.h"
#include "cypresswall/common/prompt.h"
#include "cypresswall/runtime/asio_clock.h"
#include "cypresswall/runtime/asio_scheduler.h"
#include "standins/fronts/engine_front.h"
#include "tests/support/property.h"

namespace cypresswall::bench {
namespace {

class RecordingListener final : public EventListener {
 public:
  void onToken(std::string_view text) override { answer += text; }
  void onComplete() override { complete = true; }
  void onErrorEvent(std::string_view body) override { error = std::string(body); }

  std::string answer;
  bool complete = false;
  std::string error;
};

/// An emulated engine behind a real HTTP server, on its own thread.
class RunningEngine {
 public:
  RunningEngine() : server_(http::makeServer(context_, settings(), handler())) {
    server_->start();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~RunningEngine() {
    context_.stop();
    thread_.join();
  }
  RunningEngine(const RunningEngine&) = delete;
  RunningEngine& operator=(const RunningEngine&) = delete;

  LoadTarget target() const {
    LoadTarget target;
    target.name = "direct";
    target.dialect = Dialect::kEngine;
    target.addresses = {"127.0.0.1:" + std::to_string(server_->port())};
    target.model = "model";
    target.version = "1";
    return target;
  }

 private:
  static http::ServerSettings settings() {
    http::ServerSettings settings;
    settings.address = "127.0.0.1:0";
    return settings;
  }
  static emulation::EngineSettings engineSettings() {
    emulation::EngineSettings settings;
    settings.model = "model";
    settings.version = "1";
    settings.speed.decode_step_base = std::chrono::milliseconds(1);
    return settings;
  }
  http::Handler handler() {
    return [this](const http::Request& request, const auto& responder) {
      front_.handle(request, responder);
    };
  }

  asio::io_context context_{1};
  runtime::AsioClock clock_;
  runtime::AsioScheduler scheduler_{context_};
  common::SeededRandom random_{1};
  emulation::EmulatedEngine engine_{engineSettings(), clock_,  scheduler_,
                                    random_,          nullptr, nullptr};
  standins::EngineFront front_{engine_};
  std::unique_ptr<http::Server> server_;
  std::thread thread_;
};

class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(percentilesAreExact);
  CPPUNIT_TEST(mixIsParsedAndChecked);
  CPPUNIT_TEST(promptsHaveTheirLengthAndDiffer);
  CPPUNIT_TEST(eventsMayBeSplitAnywhere);
  CPPUNIT_TEST(checksAnswersOfARealServer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void percentilesAreExact() {
    LatencySamples samples;
    CPPUNIT_ASSERT(samples.percentile(0.5) == common::Duration{0});
    for (int value = 100; value >= 1; --value) {
      samples.add(common::Duration(value));
    }
    CPPUNIT_ASSERT(samples.percentile(0.5) == common::Duration(50));
    CPPUNIT_ASSERT(samples.percentile(0.99) == common::Duration(99));
    CPPUNIT_ASSERT(samples.percentile(1) == common::Duration(100));
  }

  void mixIsParsedAndChecked() {
    const auto kinds = parseMix("long:0.25:8000:40:summary,short:0.75:60:12", "default");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, kinds.size());
    CPPUNIT_ASSERT_EQUAL(std::string("summary"), kinds[0].service);
    CPPUNIT_ASSERT_EQUAL(std::string("default"), kinds[1].service);
    common::SeededRandom random(1);
    int first = 0;
    for (int draw = 0; draw < 1000; ++draw) {
      first += drawKind(kinds, random) == 0 ? 1 : 0;
    }
    CPPUNIT_ASSERT(first > 200 && first < 300);
    for (const char* wrong : {"", "long", "long:1:2", "long:-1:10:10", "long:1:0:10", "l:1:x:1"}) {
      CPPUNIT_ASSERT_THROW(parseMix(wrong, "default"), MixError);
    }
  }

  void promptsHaveTheirLengthAndDiffer() {
    for (const std::uint32_t tokens : {10U, 100U, 8000U}) {
      CPPUNIT_ASSERT_EQUAL(tokens, common::shapeOfPrompt(makePrompt(7, tokens), "").tokens);
      CPPUNIT_ASSERT(makePrompt(7, tokens) != makePrompt(8, tokens));
    }
  }

  void eventsMayBeSplitAnywhere() {
    const std::string engine =
        "data: {\"attempt\": 1, \"index\": 0, \"token\": \" ba\"}\n\n"
        "data: {\"attempt\": 1, \"index\": 1, \"token\": \" be\"}\n\n"
        "data: {\"attempt\": 1, \"done\": true}\n\n";
    const std::string gateway =
        "data: {\"id\":\"1\",\"choices\":[{\"index\":0,\"text\":\" ba\"}]}\n\n"
        "data: {\"id\":\"1\",\"choices\":[{\"index\":0,\"text\":\" be\"}]}\n\n"
        "data: {\"id\":\"1\",\"choices\":[{\"index\":0,\"text\":\"\"}]}\n\ndata: [DONE]\n\n";
    testing::requireProperty("events are found however the bytes are cut", 200, [&](bool direct) {
      const std::string& text = direct ? engine : gateway;
      RecordingListener listener;
      EventScanner scanner(direct ? Dialect::kEngine : Dialect::kGateway, listener);
      std::size_t at = 0;
      while (at < text.size()) {
        const auto length = *rc::gen::inRange<std::size_t>(1, 40);
        scanner.feed(std::string_view(text).substr(at, length));
        at += length;
      }
      RC_ASSERT(listener.answer == " ba be");
      RC_ASSERT(listener.complete);
      RC_ASSERT(listener.error.empty());
    });
  }

  void checksAnswersOfARealServer() {
    RunningEngine engine;
    LoadRunSettings settings;
    settings.targets = {engine.target()};
    settings.plan.kinds = parseMix("short:1:20:5", "model");
    settings.plan.requests_per_second = 200;
    settings.plan.duration = std::chrono::milliseconds(200);
    settings.threads = 2;
    const auto ignore = [](const std::string&) {};
    const KindResult right = runLoad(settings, ignore)[0].result.total();
    CPPUNIT_ASSERT(right.requests() > 0);
    CPPUNIT_ASSERT_EQUAL(right.requests(), right.count(RequestEnd::kDone));
    CPPUNIT_ASSERT_EQUAL(right.requests() * 5, right.tokens);

    // Answers of an engine that serves another model than expected are detected as wrong.
    settings.targets[0].version = "";
    const KindResult wrong = runLoad(settings, ignore)[0].result.total();
    CPPUNIT_ASSERT_EQUAL(wrong.requests(), wrong.count(RequestEnd::kWrong));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

}  // namespace
}  // namespace cypresswall::bench
