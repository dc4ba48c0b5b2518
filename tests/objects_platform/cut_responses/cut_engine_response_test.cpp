/// Responses of runners that end early, at the interfaces of the engine and service clients.
#include <asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "cypresswall/runtime/asio_scheduler.h"
#include "platform/engine_client.h"
#include "platform/headers.h"
#include "platform/service_client.h"
#include "tests/support/cut_response.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"

namespace cypresswall::objects_platform {
namespace {

using engines::StreamFailure;
using services::ServiceOutcome;
using testing::CutResponse;
using testing::httpAnswer;
using testing::runUntil;

constexpr const char* kAnnouncements =
    "Server-Leaving: 1\r\nServer-Limit: 1.5\r\nRetry-After: 9\r\n";

std::string fieldsOf(const std::string& request_id) {
  return "X-Request-Id: " + request_id + "\r\nX-Response-Seal: s\r\nKeep-Alive: timeout=5\r\n";
}

class LastCallHandler : public engines::StreamHandler {
 public:
  void onRateLimit(std::uint32_t, const common::RateLimitNotice& given) override { limit = given; }
  void onToken(std::uint32_t, std::uint32_t, const std::string&) override { ++events; }
  void onFinished(std::uint32_t, const engines::StreamUsage&) override { ended = finished = true; }
  void onFailed(StreamFailure given, const std::string&) override {
    ended = true;
    failure = given;
  }

  int events = 0;
  bool ended = false;
  bool finished = false;
  std::optional<common::RateLimitNotice> limit;
  std::optional<StreamFailure> failure;
};

class CutEngineResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutEngineResponseTest);
  CPPUNIT_TEST(cutServiceResponseIsNeitherAnAnswerNorARefusal);
  CPPUNIT_TEST(cutStreamIsNotFinished);
  CPPUNIT_TEST(cutPrefillGivesNoHandle);
  CPPUNIT_TEST(cutOrderReplyIsNoReply);
  CPPUNIT_TEST(cutReportIsNoReport);
  CPPUNIT_TEST(cutHeadAnnouncesNothing);
  CPPUNIT_TEST(partOfAStatusLineIsNoStaleConnection);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    pool_.setShare([] { return std::size_t{4}; });
    const auto note = [this](const std::string&, const common::ServerAnnouncement& announcement) {
      announcements_ += announcement == common::ServerAnnouncement{} ? 0 : 1;
    };
    engines_.observeAnnouncements(note);
    services_.observeAnnouncements(note);
  }

  /// Guards against callers that get a success with a part of the body, and against repeats of a
  /// request that has run because half of a head looked like a refusal.
  void cutServiceResponseIsNeitherAnAnswerNorARefusal() {
    const std::string refused = fieldsOf("r1") + "X-Not-Executed: 1\r\n" + kAnnouncements;
    for (const std::string& response :
         {"HTTP/1.1 200 OK\r\n" + fieldsOf("r1") + "Content-Length: 4\r\n\r\nbody",
          httpAnswer(503, "full", refused), httpAnswer(503, "", refused),
          httpAnswer(421, "other", refused),
          "HTTP/1.1 200 OK\r\n" + fieldsOf("r1") + "Transfer-Encoding: chunked\r\n\r\n" +
              testing::chunked({"bo", "dy"})}) {
      forEachCut(server_, response, [&](const CutResponse& cut) {
        CPPUNIT_ASSERT_MESSAGE(cut.description, call("r1").outcome == ServiceOutcome::kBroken);
      });
      server_.answer(response, true);
      CPPUNIT_ASSERT(call("r1").outcome != ServiceOutcome::kBroken);
    }
  }

  /// Guards against streams that look finished because their connection ended between two events.
  void cutStreamIsNotFinished() {
    const std::string response = "HTTP/1.1 200 OK\r\n" + fieldsOf("r1") +
                                 "Transfer-Encoding: chunked\r\n\r\n" +
                                 testing::chunked({"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"});
    forEachCut(server_, response, [&](const CutResponse& cut) {
      CPPUNIT_ASSERT_MESSAGE(
          cut.description, stream(engines::StreamPhase::kWhole).failure == StreamFailure::kBroken);
    });
    server_.answer(response, true);
    const LastCallHandler whole = stream(engines::StreamPhase::kWhole);
    CPPUNIT_ASSERT(whole.finished && whole.events == 2);
  }

  /// Guards against a part of a handle that is passed to the engine that decodes.
  void cutPrefillGivesNoHandle() {
    const std::string response = httpAnswer(200, R"({"kv_handle":"h1"})", fieldsOf("r1"));
    forEachCut(server_, response, [&](const CutResponse& cut) {
      const auto handler = stream(engines::StreamPhase::kPrefillOnly);
      CPPUNIT_ASSERT_MESSAGE(cut.description, handler.failure == StreamFailure::kBroken);
    });
    server_.answer(response, true);
    CPPUNIT_ASSERT(stream(engines::StreamPhase::kPrefillOnly).finished);
  }

  /// Guards against orders that are believed taken or refused though the end of the reply is
  /// missing.
  void cutOrderReplyIsNoReply() {
    for (const int status : {200, 202, 409, 412, 421}) {
      const std::string response = httpAnswer(status, "{}");
      forEachCut(server_, response, [&](const CutResponse& cut) {
        CPPUNIT_ASSERT_MESSAGE(cut.description, order() == engines::EngineFailure::kUnknownOutcome);
      });
      server_.answer(response, true);
      CPPUNIT_ASSERT(!order());
    }
  }

  /// Guards against a load or a cache content that is believed though its end is missing.
  void cutReportIsNoReport() {
    const engines::EngineEndpoint engine = endpoint();
    const auto load = [&](auto callback) { engines_.fetchLoad(engine, callback); };
    const auto listed = [&](auto callback) { engines_.fetchCacheEvents(engine, 0, callback); };
    const auto changes = [&](auto callback) { engines_.fetchCacheEvents(engine, 7, callback); };
    requireWholeReply(R"({"stage": "decode", "queued": 1, "running": 2})", load);
    requireWholeReply(R"({"epoch": 1, "next_token": 9, "held": []})", listed);
    requireWholeReply(R"({"epoch": 1, "next_token": 9, "lost": false, "events": []})", changes);
  }

  /// Guards against a runner that is taken out of use, or whose rate limit changes, on the word of
  /// a head that has not ended. A request without an identifier matches a head without fields.
  void cutHeadAnnouncesNothing() {
    for (const std::string id : {"r1", ""}) {
      const std::string field = id.empty() ? "" : fieldsOf(id);
      const std::string response = httpAnswer(503, "full", field + kAnnouncements);
      request_id_ = id;
      forEachCut(server_, response, [&](const CutResponse& cut) {
        const bool limited = call(id).rate_limit ||
                             stream(engines::StreamPhase::kWhole, response, cut).limit ||
                             stream(engines::StreamPhase::kPrefillOnly, response, cut).limit;
        CPPUNIT_ASSERT_MESSAGE(cut.description, cut.head_arrives || !limited);
        CPPUNIT_ASSERT_MESSAGE(cut.description, cut.head_arrives || announcements_ == 0);
        announcements_ = 0;
      });
    }
  }

  /// Guards against a runner that is not held at fault for an answer that it broke off: the kept
  /// connection was not closed before the request arrived.
  void partOfAStatusLineIsNoStaleConnection() {
    const std::string response = httpAnswer(200, R"({"kv_handle":"h1"})", fieldsOf("r1"));
    for (std::size_t bytes = 1; bytes < response.size(); ++bytes) {
      const std::string message = std::to_string(bytes) + " bytes";
      server_.answer(response);
      CPPUNIT_ASSERT(call("r1").outcome == ServiceOutcome::kAnswered);
      server_.answer(response.substr(0, bytes), true);
      CPPUNIT_ASSERT_MESSAGE(message, call("r1", true).outcome == ServiceOutcome::kBroken);
      server_.answer(response);
      CPPUNIT_ASSERT(stream(engines::StreamPhase::kPrefillOnly).finished);
      server_.answer(response.substr(0, bytes), true);
      CPPUNIT_ASSERT_MESSAGE(message, stream(engines::StreamPhase::kPrefillOnly, true).failure ==
                                          StreamFailure::kBroken);
    }
  }

 private:
  engines::EngineEndpoint endpoint() const { return {"runner", server_.address()}; }

  services::ServiceResponse call(const std::string& id, bool may_reuse_connection = false) {
    services::ServiceRequest request;
    request.request_id = id;
    request.method = "GET";
    request.target = "/slots";
    request.time_limit = std::chrono::seconds(5);
    request.may_reuse_connection = may_reuse_connection;
    std::optional<services::ServiceResponse> answer;
    const auto running =
        services_.call({"runner", server_.address()}, request,
                       [&](services::ServiceResponse given) { answer = std::move(given); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return answer.has_value(); }));
    return *answer;
  }

  LastCallHandler stream(engines::StreamPhase phase, bool may_reuse_connection = false) {
    engines::StreamRequest request;
    request.stream_id = "s1";
    request.phase = phase;
    request.may_reuse_connection = may_reuse_connection;
    request.pass_through = std::make_shared<const engines::PassThroughRequest>(
        engines::PassThroughRequest{"POST", "/chat/1", {{kRequestIdHeader, request_id_}}, "ask"});
    LastCallHandler handler;
    const auto running = engines_.startStream(endpoint(), request, handler);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return handler.ended; }));
    return handler;
  }

  LastCallHandler stream(engines::StreamPhase phase, const std::string& response,
                         const CutResponse& cut) {
    server_.answer(response.substr(0, cut.bytes), true);
    return stream(phase);
  }

  std::optional<engines::EngineFailure> order() {
    engines::EngineOrder content;
    content.content.kind = engines::OrderKind::kChangeRole;
    return failureOf([&](auto callback) { engines_.sendOrder(endpoint(), content, callback); });
  }

  template <typename Call>
  std::optional<engines::EngineFailure> failureOf(Call call) {
    std::optional<engines::EngineFailure> failure;
    bool done = false;
    call([&](const auto& result) {
      done = true;
      failure = result.ok() ? std::nullopt : std::optional(result.failure().kind);
    });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return done; }));
    return failure;
  }

  template <typename Call>
  void requireWholeReply(const std::string& body, Call call) {
    const std::string response = httpAnswer(200, body, kAnnouncements);
    forEachCut(server_, response, [&](const CutResponse& cut) {
      announcements_ = 0;
      CPPUNIT_ASSERT_MESSAGE(cut.description, failureOf(call).has_value());
      CPPUNIT_ASSERT_MESSAGE(cut.description, cut.head_arrives || announcements_ == 0);
    });
    server_.answer(response, true);
    CPPUNIT_ASSERT(!failureOf(call));
  }

  static runtime::ConnectionPoolSettings poolSettings() {
    runtime::ConnectionPoolSettings settings;
    settings.keeps = true;
    return settings;
  }

  int announcements_ = 0;
  std::string request_id_ = "r1";
  asio::io_context context_;
  runtime::AsioScheduler scheduler_{context_};
  common::CounterRegistry counters_;
  runtime::ConnectionPool pool_{poolSettings(), counters_};
  runtime::CurlMulti curl_{context_, {}, &pool_};
  testing::ScriptedServer server_{context_};
  EngineClient engines_{curl_, scheduler_, [](const common::EngineName&) {
                          return RunnerFacts{8, "m", "1", 0};
                        }};
  ServiceClient services_{curl_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutEngineResponseTest);

}  // namespace
}  // namespace cypresswall::objects_platform
