#include "cypresswall/emulation/engine.h"

#include <deque>

#include "tests/emulation/engine_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::emulation {
namespace {

using common::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;

class EngineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineTest);
  CPPUNIT_TEST(returnsTheExpectedAnswerInTheModelledTime);
  CPPUNIT_TEST(resumesWithTheNextToken);
  CPPUNIT_TEST(everyStreamGetsItsWholeAnswer);
  CPPUNIT_TEST(higherPriorityIsAdmittedFirst);
  CPPUNIT_TEST(longPromptsSlowOutputOnAMixedEngine);
  CPPUNIT_TEST(cachedPrefixShortensThePrompt);
  CPPUNIT_TEST(decodeEngineImportsTheComputedPrompt);
  CPPUNIT_TEST(failedImportRecomputesThePrompt);
  CPPUNIT_TEST(roleDecidesWhichPhasesAreTaken);
  CPPUNIT_TEST(loadReportsLag);
  CPPUNIT_TEST(cancelledStreamEmitsNothingMore);
  CPPUNIT_TEST(breaksAStreamAfterSomeTokens);
  CPPUNIT_TEST_SUITE_END();

 public:
  void returnsTheExpectedAnswerInTheModelledTime() {
    EmulatedEngine& engine = fixture_.addEngine({});
    RecordingObserver observer(fixture_.time);
    const auto request = EngineFixture::request("a", 8000, 10);
    CPPUNIT_ASSERT(engine.startStream(request, observer).result == StartResult::kStarted);
    fixture_.time.runFor(seconds(10));
    CPPUNIT_ASSERT(observer.finished && observer.in_order);
    CPPUNIT_ASSERT_EQUAL(EngineFixture::answerTo(request), observer.answer);
    CPPUNIT_ASSERT_EQUAL(std::string("length"), observer.usage.finish_reason);
    // 8000 prompt tokens at 16000 per second.
    CPPUNIT_ASSERT(observer.first_token_at.time_since_epoch() == milliseconds(500));
  }

  void resumesWithTheNextToken() {
    EmulatedEngine& engine = fixture_.addEngine({});
    RecordingObserver observer(fixture_.time);
    auto request = EngineFixture::request("a", 100, 10);
    request.resume_from = 7;
    observer.next_index = 7;
    engine.startStream(request, observer);
    fixture_.time.runFor(seconds(10));
    CPPUNIT_ASSERT(observer.finished && observer.in_order);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{3}, observer.tokens);
    const std::string whole = EngineFixture::answerTo(request);
    CPPUNIT_ASSERT(whole.ends_with(observer.answer));
  }

  void everyStreamGetsItsWholeAnswer() {
    testing::requireProperty(
        "streams of any sizes, priorities and step groups end with their whole answer", 50,
        [](std::uint8_t steps) {
          EngineFixture fixture;
          EngineSettings settings;
          settings.speed.steps_per_event = steps;
          settings.maximum_streams = 4;
          EmulatedEngine& engine = fixture.addEngine(settings);
          std::deque<RecordingObserver> observers;
          std::vector<engines::StreamRequest> requests;
          const auto count = *rc::gen::inRange(1, 30);
          for (int index = 0; index < count; ++index) {
            requests.push_back(EngineFixture::request(
                std::to_string(index), *rc::gen::inRange(0, 9000), *rc::gen::inRange(1, 50)));
            requests.back().priority = *rc::gen::inRange<std::uint8_t>(0, 10);
            observers.emplace_back(fixture.time);
            engine.startStream(requests.back(), observers.back());
            fixture.time.runFor(milliseconds(*rc::gen::inRange(0, 200)));
          }
          fixture.time.runFor(std::chrono::minutes(5));
          for (int index = 0; index < count; ++index) {
            RC_ASSERT(observers[index].finished);
            RC_ASSERT(observers[index].in_order);
            RC_ASSERT(observers[index].answer == EngineFixture::answerTo(requests[index]));
          }
          RC_ASSERT(engine.currentLoad().running_streams == 0U);
          RC_ASSERT(engine.currentLoad().queued_prefill_tokens == 0U);
        });
  }

  void higherPriorityIsAdmittedFirst() {
    EngineSettings settings;
    settings.maximum_streams = 1;
    EmulatedEngine& engine = fixture_.addEngine(settings);
    RecordingObserver low(fixture_.time);
    RecordingObserver high(fixture_.time);
    engine.startStream(EngineFixture::request("low", 100, 10), low);
    auto urgent = EngineFixture::request("high", 100, 10);
    urgent.priority = 9;
    engine.startStream(urgent, high);
    fixture_.time.runFor(seconds(10));
    CPPUNIT_ASSERT(high.first_token_at < low.first_token_at);
  }

  void longPromptsSlowOutputOnAMixedEngine() {
    EmulatedEngine& engine = fixture_.addEngine({});
    RecordingObserver output(fixture_.time);
    RecordingObserver prompt(fixture_.time);
    engine.startStream(EngineFixture::request("output", 10, 1000), output);
    fixture_.time.runFor(seconds(1));
    const std::uint32_t alone = output.tokens;
    engine.startStream(EngineFixture::request("prompt", 100000, 1), prompt);
    fixture_.time.runFor(seconds(1));
    CPPUNIT_ASSERT(output.tokens - alone < alone / 2);
  }

  void cachedPrefixShortensThePrompt() {
    EmulatedEngine& engine = fixture_.addEngine({});
    RecordingObserver first(fixture_.time);
    RecordingObserver second(fixture_.time);
    auto request = EngineFixture::request("a", 4000, 1);
    request.shape.pieces = {11, 22};
    engine.startStream(request, first);
    fixture_.time.runFor(seconds(1));
    request.stream_id = "b";
    request.shape.tokens = 4800;
    engine.startStream(request, second);
    fixture_.time.runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, first.usage.cached_prompt_tokens);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{4000}, second.usage.cached_prompt_tokens);
    CPPUNIT_ASSERT(second.first_token_at.time_since_epoch() == seconds(1) + milliseconds(50));
  }

  void decodeEngineImportsTheComputedPrompt() {
    EngineSettings settings;
    settings.name = "p";
    settings.role = engines::EngineRole::kPrefill;
    EmulatedEngine& prefill = fixture_.addEngine(settings);
    settings.name = "d";
    settings.role = engines::EngineRole::kDecode;
    EmulatedEngine& decode = fixture_.addEngine(settings);
    RecordingObserver prompt(fixture_.time);
    RecordingObserver output(fixture_.time);
    auto request = EngineFixture::request("a", 16000, 10);
    request.phase = engines::StreamPhase::kPrefillOnly;
    prefill.startStream(request, prompt);
    fixture_.time.runFor(seconds(2));
    CPPUNIT_ASSERT(prompt.finished);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, prompt.tokens);
    request.phase = engines::StreamPhase::kDecodeOnly;
    request.kv_source = "p";
    decode.startStream(request, output);
    fixture_.time.runFor(seconds(2));
    CPPUNIT_ASSERT_EQUAL(EngineFixture::answerTo(request), output.answer);
    // 16000 tokens of 128 KiB at 5 GB/s, followed by one step.
    const auto delay = output.first_token_at.time_since_epoch() - seconds(2);
    CPPUNIT_ASSERT(delay > milliseconds(419) && delay < milliseconds(440));
    CPPUNIT_ASSERT(!prefill.exportKv("a"));
  }

  void failedImportRecomputesThePrompt() {
    EngineSettings settings;
    settings.role = engines::EngineRole::kDecode;
    EmulatedEngine& decode = fixture_.addEngine(settings);
    RecordingObserver output(fixture_.time);
    auto request = EngineFixture::request("a", 16000, 10);
    request.phase = engines::StreamPhase::kDecodeOnly;
    request.kv_source = "nobody";
    decode.startStream(request, output);
    fixture_.time.runFor(seconds(10));
    CPPUNIT_ASSERT_EQUAL(EngineFixture::answerTo(request), output.answer);
    CPPUNIT_ASSERT(output.first_token_at.time_since_epoch() >= seconds(2));
  }

  void roleDecidesWhichPhasesAreTaken() {
    EngineSettings settings;
    settings.role = engines::EngineRole::kPrefill;
    EmulatedEngine& prefill = fixture_.addEngine(settings);
    RecordingObserver observer(fixture_.time);
    const auto start = prefill.startStream(EngineFixture::request("a", 1, 1), observer);
    CPPUNIT_ASSERT(start.result == StartResult::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::string("engine is in the role prefill"), start.message);
    CPPUNIT_ASSERT(prefill.ledger().streams.empty());
  }

  void loadReportsLag() {
    EmulatedEngine& engine = fixture_.addEngine({});
    EngineFaults faults;
    faults.load_lag = milliseconds(500);
    engine.setFaults(faults);
    RecordingObserver observer(fixture_.time);
    fixture_.time.runFor(seconds(1));
    engine.startStream(EngineFixture::request("a", 8000, 500), observer);
    fixture_.time.runFor(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, engine.load()->queued_prefill_tokens);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8000}, engine.currentLoad().queued_prefill_tokens);
    fixture_.time.runFor(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8000}, engine.load()->queued_prefill_tokens);
    CPPUNIT_ASSERT(engine.load()->age == faults.load_lag);
  }

  void cancelledStreamEmitsNothingMore() {
    EmulatedEngine& engine = fixture_.addEngine({});
    RecordingObserver observer(fixture_.time);
    engine.startStream(EngineFixture::request("a", 100, 1000), observer);
    fixture_.time.runFor(milliseconds(200));
    engine.cancelStream("a", 1);
    const std::uint32_t before = observer.tokens;
    fixture_.time.runFor(seconds(60));
    CPPUNIT_ASSERT(before > 0);
    CPPUNIT_ASSERT_EQUAL(before, observer.tokens);
    CPPUNIT_ASSERT(!observer.finished && !observer.broken);
    CPPUNIT_ASSERT(engine.ledger().streams[0].end == StreamEnd::kCancelled);
  }

  void breaksAStreamAfterSomeTokens() {
    EmulatedEngine& engine = fixture_.addEngine({});
    EngineFaults faults;
    faults.break_stream_after_tokens = 5;
    engine.setFaults(faults);
    RecordingObserver first(fixture_.time);
    RecordingObserver second(fixture_.time);
    engine.startStream(EngineFixture::request("a", 1, 20), first);
    engine.startStream(EngineFixture::request("b", 1, 20), second);
    fixture_.time.runFor(seconds(10));
    CPPUNIT_ASSERT(first.broken && !first.finished);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, first.tokens);
    CPPUNIT_ASSERT(second.finished);
  }

 private:
  EngineFixture fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineTest);

}  // namespace
}  // namespace cypresswall::emulation
