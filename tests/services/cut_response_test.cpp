/// Responses of plain services that end early, at the client's own interface.
#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "cypresswall/services/http_service_client.h"
#include "tests/support/cut_response.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"

namespace cypresswall::services {
namespace {

using testing::CutResponse;
using testing::runUntil;

class CutResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutResponseTest);
  CPPUNIT_TEST(cutResponseIsNeitherAnAnswerNorARefusal);
  CPPUNIT_TEST(cutHeadAnnouncesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against callers that get a success with a part of the body, and against repeats of a
  /// request that has run because half of a head looked like a refusal.
  void cutResponseIsNeitherAnAnswerNorARefusal() {
    const std::string fields = "X-Cypresswall-Outcome: not-run\r\n";
    for (const std::string& response :
         {testing::httpAnswer(200, "body"), testing::httpAnswer(503, "full", fields),
          testing::httpAnswer(421, "other"), testing::httpAnswer(503, "", fields),
          std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") +
              testing::chunked({"bo", "dy"})}) {
      forEachCut(server_, response, [&](const CutResponse& cut) {
        const ServiceResponse answer = call();
        CPPUNIT_ASSERT_MESSAGE(cut.description, answer.outcome == ServiceOutcome::kBroken);
        CPPUNIT_ASSERT_MESSAGE(cut.description, answer.body.empty());
      });
      server_.answer(response, true);
      CPPUNIT_ASSERT(call().outcome != ServiceOutcome::kBroken);
    }
  }

  /// Guards against a back end that is taken out of use, or whose rate limit changes, on the word
  /// of a head that has not ended.
  void cutHeadAnnouncesNothing() {
    int announcements = 0;
    client_.observeAnnouncements([&](const std::string&, const auto& announcement) {
      announcements += announcement == common::ServerAnnouncement{} ? 0 : 1;
    });
    const std::string response =
        "HTTP/1.1 503 Full\r\nX-Cypresswall-Leaving: 1\r\nRetry-After: 9\r\n"
        "X-Cypresswall-Rate-Limit: 1.5\r\nContent-Length: 4\r\n\r\nfull";
    forEachCut(server_, response, [&](const CutResponse& cut) {
      const bool limited = call().rate_limit.has_value();
      CPPUNIT_ASSERT_MESSAGE(cut.description, cut.head_arrives || announcements == 0);
      CPPUNIT_ASSERT_MESSAGE(cut.description, !limited);
      announcements = 0;
    });
    server_.answer(response, true);
    CPPUNIT_ASSERT(call().rate_limit.has_value() && announcements == 1);
  }

 private:
  ServiceResponse call() {
    ServiceRequest request;
    request.request_id = "r1";
    request.method = "POST";
    request.target = "/slots";
    request.time_limit = std::chrono::seconds(5);
    std::optional<ServiceResponse> answer;
    const auto running =
        client_.call({"machine-1", server_.address()}, request,
                     [&](ServiceResponse response) { answer = std::move(response); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return answer.has_value(); }));
    return *answer;
  }

  asio::io_context context_;
  testing::ScriptedServer server_{context_};
  runtime::CurlMulti curl_{context_};
  HttpServiceClient client_{curl_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutResponseTest);

}  // namespace
}  // namespace cypresswall::services
