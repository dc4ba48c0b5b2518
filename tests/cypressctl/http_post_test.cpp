/// Responses of daemons to commands that end early.
#include "apps/cypressctl/http_post.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <thread>

#include "tests/support/cut_response.h"
#include "tests/support/property.h"

namespace cypresswall::cypressctl {
namespace {

using operators::PostResult;
using testing::CutResponse;

class HttpPostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpPostTest);
  CPPUNIT_TEST(wholeResponseIsAnAnswer);
  CPPUNIT_TEST(cutResponseIsNoAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void wholeResponseIsAnAnswer() {
    server_.answer(response(), true);
    const auto answer = post();
    CPPUNIT_ASSERT(answer.result == PostResult::kAnswered);
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"status": "accepted"})"), answer.body);
  }

  /// Guards against a change that is reported as done or refused, though its outcome is unknown.
  void cutResponseIsNoAnswer() {
    const std::string unframed = "HTTP/1.1 200 OK\r\n\r\n{}";
    for (const std::string& whole : {response(), unframed}) {
      forEachCut(server_, whole, [&](const CutResponse& cut) {
        const auto answer = post();
        CPPUNIT_ASSERT_MESSAGE(cut.description, answer.result == PostResult::kUnknown);
        CPPUNIT_ASSERT_MESSAGE(cut.description, answer.body.empty() && !answer.error.empty());
      });
    }
  }

 private:
  static std::string response() {
    return "HTTP/1.1 200 OK\r\nServer: cypresswall\r\nContent-Length: 22\r\n\r\n"
           R"({"status": "accepted"})";
  }

  /// The call blocks, so the server runs on another thread meanwhile.
  operators::PostAnswer post() {
    std::atomic<bool> done = false;
    std::thread serving([&] {
      while (!done) {
        context_.restart();
        context_.run_for(std::chrono::milliseconds(1));
      }
    });
    auto answer = postCommand(server_.address(), "{}", std::chrono::seconds(5));
    done = true;
    serving.join();
    return answer;
  }

  asio::io_context context_;
  testing::ScriptedServer server_{context_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpPostTest);

}  // namespace
}  // namespace cypresswall::cypressctl
