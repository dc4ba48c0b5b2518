#include "cypresswall/gateway/gateway.h"

#include "tests/gateway/gateway_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::gateway {
namespace {

using execution::ErrorKind;
using execution::Outcome;

class GatewayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayTest);
  CPPUNIT_TEST(returnsCompleteChatAnswer);
  CPPUNIT_TEST(streamsChatCompletion);
  CPPUNIT_TEST(streamsEmptyCompletion);
  CPPUNIT_TEST(answersTextCompletions);
  CPPUNIT_TEST(overloadErrorsHaveRetryAfter);
  CPPUNIT_TEST(errorsCarryExecutionOutcome);
  CPPUNIT_TEST(streamFailureIsSentAsLastEvent);
  CPPUNIT_TEST(callerDisconnectCancelsExecution);
  CPPUNIT_TEST(slowReaderPausesAndResumesStream);
  CPPUNIT_TEST(stalledReaderIsDisconnected);
  CPPUNIT_TEST(apiKeySelectsTenant);
  CPPUNIT_TEST(listsModels);
  CPPUNIT_TEST(invalidRequestsAreRejectedAndLoggedOnce);
  CPPUNIT_TEST(rejectsRequestsBeforeFirstConfiguration);
  CPPUNIT_TEST(requestIdsAreUnique);
  CPPUNIT_TEST_SUITE_END();

 public:
  void returnsCompleteChatAnswer() {
    GatewayFixture fixture;
    const auto answer = fixture.chat(false);
    CPPUNIT_ASSERT_EQUAL(std::string("summary"), fixture.call().call.service);
    CPPUNIT_ASSERT_EQUAL(std::string("default"), fixture.call().call.tenant);
    CPPUNIT_ASSERT_EQUAL(std::string("<|user|>\nhi\n<|assistant|>\n"), fixture.call().call.prompt);
    fixture.call().observer->onToken(0, "a\"b");
    fixture.call().observer->onToken(1, "\n");
    CPPUNIT_ASSERT_EQUAL(0, answer->status);
    fixture.call().observer->onFinished({7, 4, 2, "stop"});
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("done"), answer->headers.at("X-Cypresswall-Outcome"));
    const auto json = answer->json();
    CPPUNIT_ASSERT_EQUAL(std::string("chat.completion"), json["object"].get<std::string>());
    const auto& choice = json["choices"][0];
    CPPUNIT_ASSERT_EQUAL(std::string("a\"b\n"), choice["message"]["content"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("assistant"), choice["message"]["role"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("stop"), choice["finish_reason"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(9, json["usage"]["total_tokens"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.gateway.openRequests());
  }

  void streamsChatCompletion() {
    GatewayFixture fixture;
    const auto answer = fixture.post(
        "/v1/chat/completions",
        R"({"model":"m1","stream":true,"stream_options":{"include_usage":true},"max_tokens":5,
            "messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]})");
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{5}, fixture.call().call.maximum_tokens);
    CPPUNIT_ASSERT_EQUAL(0, answer->status);
    fixture.call().observer->onToken(0, "one");
    CPPUNIT_ASSERT_EQUAL(200, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("text/event-stream"), answer->headers.at("Content-Type"));
    fixture.call().observer->onToken(1, " two");
    fixture.call().observer->onFinished({7, 0, 2, "length"});
    const auto events = answer->events();
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, events.size());
    const auto first = nlohmann::json::parse(events[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("assistant"),
                         first["choices"][0]["delta"]["role"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string("one two"), answer->deltaText());
    const auto last = nlohmann::json::parse(events[3]);
    CPPUNIT_ASSERT_EQUAL(std::string("length"),
                         last["choices"][0]["finish_reason"].get<std::string>());
    const auto usage = nlohmann::json::parse(events[4]);
    CPPUNIT_ASSERT_EQUAL(2, usage["usage"]["completion_tokens"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("[DONE]"), events[5]);
    CPPUNIT_ASSERT(answer->finished);
  }

  void streamsEmptyCompletion() {
    GatewayFixture fixture;
    const auto answer = fixture.chat(true);
    fixture.call().observer->onFinished({1, 0, 0, "stop"});
    CPPUNIT_ASSERT_EQUAL(std::string("[DONE]"), answer->events().back());
    CPPUNIT_ASSERT(answer->finished);
  }

  void answersTextCompletions() {
    GatewayFixture fixture;
    const auto answer = fixture.post("/v1/completions", R"({"model":"m1","prompt":["p"]})");
    CPPUNIT_ASSERT_EQUAL(std::string("p"), fixture.call().call.prompt);
    fixture.call().observer->onToken(0, "t");
    fixture.call().observer->onFinished({1, 0, 1, "stop"});
    CPPUNIT_ASSERT_EQUAL(std::string("t"), answer->json()["choices"][0]["text"].get<std::string>());
    const auto stream =
        fixture.post("/v1/completions", R"({"model":"m1","prompt":"p","stream":true})");
    fixture.call().observer->onToken(0, "u");
    const auto event = nlohmann::json::parse(stream->events().at(0));
    CPPUNIT_ASSERT_EQUAL(std::string("u"), event["choices"][0]["text"].get<std::string>());
  }

  void overloadErrorsHaveRetryAfter() {
    const std::vector<std::pair<ErrorKind, int>> kinds = {{ErrorKind::kTenantLimit, 429},
                                                          {ErrorKind::kOverloaded, 503},
                                                          {ErrorKind::kNoBackend, 503},
                                                          {ErrorKind::kDraining, 503}};
    const std::vector<std::pair<common::Duration, std::string>> delays = {
        {common::Duration(0), "1"},
        {std::chrono::seconds(2), "2"},
        {std::chrono::microseconds(2000001), "3"}};
    for (const auto& [kind, status] : kinds) {
      for (const auto& [delay, header] : delays) {
        GatewayFixture fixture;
        const auto answer = fixture.chat(true);
        fixture.call().observer->onError({kind, Outcome::kNotRun, "no", delay});
        CPPUNIT_ASSERT_EQUAL(status, answer->status);
        CPPUNIT_ASSERT_EQUAL(header, answer->headers.at("Retry-After"));
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), answer->headers.at("X-Cypresswall-Outcome"));
      }
    }
  }

  void errorsCarryExecutionOutcome() {
    GatewayFixture fixture;
    const auto answer = fixture.chat(false);
    fixture.call().observer->onToken(0, "part");
    fixture.call().observer->onError({ErrorKind::kBackendFailed, Outcome::kUnknown, "gone", {}});
    CPPUNIT_ASSERT_EQUAL(502, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), answer->headers.at("X-Cypresswall-Outcome"));
    CPPUNIT_ASSERT(!answer->headers.contains("Retry-After"));
    CPPUNIT_ASSERT_EQUAL(std::string("gone"),
                         answer->json()["error"]["message"].get<std::string>());
    CPPUNIT_ASSERT(answer->json()["error"]["param"].is_null());
  }

  void streamFailureIsSentAsLastEvent() {
    GatewayFixture fixture;
    const auto answer = fixture.chat(true);
    fixture.call().observer->onToken(0, "part");
    fixture.call().observer->onError({ErrorKind::kBackendFailed, Outcome::kUnknown, "gone", {}});
    const auto last = nlohmann::json::parse(answer->events().back());
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"), last["error"]["outcome"].get<std::string>());
    CPPUNIT_ASSERT(answer->finished);
    CPPUNIT_ASSERT(answer->body.find("[DONE]") == std::string::npos);
  }

  void callerDisconnectCancelsExecution() {
    GatewayFixture fixture;
    const auto answer = fixture.chat(true);
    CPPUNIT_ASSERT(!fixture.call().cancelled);
    answer->on_closed();
    CPPUNIT_ASSERT(fixture.call().cancelled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.gateway.openRequests());
    fixture.scheduler.run({});
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.counters.total("cypresswall_gateway_requests_total"));
  }

  void slowReaderPausesAndResumesStream() {
    GatewayFixture fixture;
    const auto answer = fixture.chat(true);
    const std::string token(1000, 'x');
    std::uint32_t index = 0;
    while (!fixture.call().paused) {
      fixture.call().observer->onToken(index++, token);
      CPPUNIT_ASSERT(index < 100);
    }
    CPPUNIT_ASSERT(answer->pending <= GatewaySettings{}.pause_above_bytes + 2 * token.size());
    answer->drain(GatewaySettings{}.resume_below_bytes + 1);
    CPPUNIT_ASSERT(fixture.call().paused);
    answer->drain(0);
    CPPUNIT_ASSERT(!fixture.call().paused);
    fixture.scheduler.run(GatewaySettings{}.stalled_reader_timeout);
    CPPUNIT_ASSERT(!answer->aborted);
    fixture.call().observer->onFinished({1, 0, index, "stop"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{index} * token.size(), answer->deltaText().size());
  }

  void stalledReaderIsDisconnected() {
    GatewayFixture fixture;
    const auto answer = fixture.chat(true);
    fixture.call().observer->onToken(0, std::string(100000, 'x'));
    CPPUNIT_ASSERT(fixture.call().paused);
    fixture.scheduler.run(GatewaySettings{}.stalled_reader_timeout);
    CPPUNIT_ASSERT(answer->aborted);
    CPPUNIT_ASSERT(fixture.call().cancelled);
    CPPUNIT_ASSERT_EQUAL(1.0, fixture.counters.total("cypresswall_gateway_stuck_readers_total"));
  }

  void apiKeySelectsTenant() {
    GatewayFixture fixture;
    http::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = R"({"model":"m1","prompt":"p"})";
    request.headers = {{"authorization", "bearer secret"}};
    fixture.send(request);
    CPPUNIT_ASSERT_EQUAL(std::string("porter"), fixture.call().call.tenant);
    for (const auto* value : {"Bearer wrong", "Basic c2VjcmV0", "Bearer", "secret"}) {
      request.headers = {{"Authorization", value}};
      CPPUNIT_ASSERT_EQUAL(401, fixture.send(request)->status);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.models.calls.size());
  }

  void listsModels() {
    GatewayFixture fixture;
    http::Request request;
    request.method = "GET";
    request.path = "/v1/models";
    const auto list = fixture.send(request)->json();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list["data"].size());
    CPPUNIT_ASSERT_EQUAL(std::string("m1"), list["data"][0]["id"].get<std::string>());
    request.path = "/v1/models/summary";
    CPPUNIT_ASSERT_EQUAL(200, fixture.send(request)->status);
    request.path = "/v1/models/other";
    CPPUNIT_ASSERT_EQUAL(404, fixture.send(request)->status);
    request.method = "DELETE";
    CPPUNIT_ASSERT_EQUAL(405, fixture.send(request)->status);
  }

  void invalidRequestsAreRejectedAndLoggedOnce() {
    GatewayFixture fixture;
    const auto answer = fixture.post("/v1/chat/completions", "{\"model\": \xff");
    CPPUNIT_ASSERT_EQUAL(400, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("invalid_json"),
                         answer->json()["error"]["code"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.log.lines.size());
    CPPUNIT_ASSERT(fixture.log.lines[0].starts_with("event=request_refused request="));
    fixture.gateway.reportRejection({413, "request body too large", "127.0.0.1:1"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.log.lines.size());
    CPPUNIT_ASSERT_EQUAL(404, fixture.post("/v1/other", "")->status);
  }

  void rejectsRequestsBeforeFirstConfiguration() {
    GatewayFixture fixture;
    fixture.configuration.fleet->version = 0;
    const auto answer = fixture.chat(false);
    CPPUNIT_ASSERT_EQUAL(503, answer->status);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), answer->headers.at("Retry-After"));
    CPPUNIT_ASSERT(fixture.models.calls.empty());
  }

  void requestIdsAreUnique() {
    GatewayFixture fixture;
    fixture.chat(true);
    const auto first = fixture.call().call.request_id;
    fixture.chat(true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{32}, first.size());
    CPPUNIT_ASSERT(first != fixture.call().call.request_id);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);

}  // namespace
}  // namespace cypresswall::gateway
