#include "standins/fronts/engine_front.h"

#include "cypresswall/simulation/virtual_time.h"
#include "tests/standins/recording_responder.h"
#include "tests/support/property.h"

namespace cypresswall::standins {
namespace {

using std::chrono::seconds;

constexpr const char* kStream =
    R"({"stream_id": "s", "attempt": 7, "model": "m", "version": "1", "prompt": "hello there",
        "maximum_tokens": 3})";
constexpr const char* kOrder =
    R"({"epoch": {"generation": 1, "term": 2}, "sequence": 1, "engine_incarnation": 1,
        "content": {"kind": "change_role", "role": "decode", "only_if_idle": true}})";

class EngineFrontTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineFrontTest);
  CPPUNIT_TEST(streamsTokensAsEvents);
  CPPUNIT_TEST(refusesWithoutRunning);
  CPPUNIT_TEST(closedConnectionCancels);
  CPPUNIT_TEST(deleteCancels);
  CPPUNIT_TEST(takesFencedOrders);
  CPPUNIT_TEST(downEngineBreaksConnections);
  CPPUNIT_TEST(malformedBodiesGet400);
  CPPUNIT_TEST_SUITE_END();

 public:
  void streamsTokensAsEvents() {
    const auto answer = ask(front_, "POST", "/v1/streams", kStream);
    time_.runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
    CPPUNIT_ASSERT(answer->complete);
    const std::uint64_t hash = common::shapeOfPrompt("hello there", "m/1/").content_hash;
    const emulation::AnswerSeed seed = emulation::answerSeed("m", "1", "", hash);
    std::string expected;
    for (std::uint32_t index = 0; index < 3; ++index) {
      expected += R"(data: {"attempt": 7, "index": )" + std::to_string(index) + R"(, "token": ")" +
                  emulation::expectedToken(seed, index) + "\"}\n\n";
    }
    expected +=
        R"(data: {"attempt": 7, "done": true, "prompt_tokens": 3, "cached_prompt_tokens": 0, )"
        R"("output_tokens": 3, "finish_reason": "length"})"
        "\n\n";
    CPPUNIT_ASSERT_EQUAL(expected, answer->body);
  }

  void refusesWithoutRunning() {
    ask(front_, "POST", "/admin/faults", R"({"refuse": true})");
    const auto answer = ask(front_, "POST", "/v1/streams", kStream);
    CPPUNIT_ASSERT_EQUAL(409, answer->status);
    CPPUNIT_ASSERT(!answer->json().at("ran").get<bool>());
    CPPUNIT_ASSERT(ledger().at("streams").empty());
  }

  void closedConnectionCancels() {
    const auto answer = ask(front_, "POST", "/v1/streams", kStream);
    answer->close();
    time_.runFor(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), endOfFirstStream());
    CPPUNIT_ASSERT(answer->body.empty());
  }

  void deleteCancels() {
    const auto answer = ask(front_, "POST", "/v1/streams", kStream);
    CPPUNIT_ASSERT_EQUAL(204,
                         ask(front_, "DELETE", "/v1/streams/s", "", {{"attempt", "7"}})->status);
    CPPUNIT_ASSERT(answer->aborted);
    CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), endOfFirstStream());
  }

  void takesFencedOrders() {
    const auto first = ask(front_, "POST", "/v1/orders", kOrder)->json();
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"), first.at("verdict").get<std::string>());
    CPPUNIT_ASSERT(first.at("in_progress").get<bool>());
    const auto again = ask(front_, "POST", "/v1/orders", kOrder)->json();
    CPPUNIT_ASSERT_EQUAL(std::string("duplicate"), again.at("verdict").get<std::string>());
    time_.runFor(seconds(10));
    const auto load = ask(front_, "GET", "/v1/load")->json();
    CPPUNIT_ASSERT_EQUAL(std::string("decode"), load.at("role").get<std::string>());
    CPPUNIT_ASSERT_EQUAL(2, load.at("highest_epoch").at("term").get<int>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ledger().at("orders").size());
  }

  void downEngineBreaksConnections() {
    const auto stream = ask(front_, "POST", "/v1/streams", kStream);
    ask(front_, "POST", "/admin/faults", R"({"crash": true})");
    CPPUNIT_ASSERT(stream->aborted);
    CPPUNIT_ASSERT(ask(front_, "GET", "/v1/load")->aborted);
    time_.runFor(seconds(10));
    CPPUNIT_ASSERT_EQUAL(2, ask(front_, "GET", "/v1/load")->json().at("incarnation").get<int>());
  }

  void malformedBodiesGet400() {
    for (const char* body : {"", "[]", "{", R"({"stream_id": 1})", R"({"stream_id": "s"})"}) {
      CPPUNIT_ASSERT_EQUAL(400, ask(front_, "POST", "/v1/streams", body)->status);
      CPPUNIT_ASSERT_EQUAL(400, ask(front_, "POST", "/v1/orders", body)->status);
    }
  }

 private:
  static emulation::EngineSettings settings() {
    emulation::EngineSettings settings;
    settings.model = "m";
    settings.version = "1";
    return settings;
  }
  nlohmann::json ledger() { return ask(front_, "GET", "/admin/ledger")->json(); }
  std::string endOfFirstStream() {
    return ledger().at("streams").at(0).at("end").get<std::string>();
  }

  simulation::VirtualTime time_;
  common::SeededRandom random_{1};
  emulation::EmulatedEngine engine_{settings(), time_, time_, random_, nullptr, nullptr};
  EngineFront front_{engine_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineFrontTest);

}  // namespace
}  // namespace cypresswall::standins
