/// Responses that end early, at the call by which the tests of real processes judge what they get.
#include "tests/process/http_call.h"

#include <asio/io_context.hpp>
#include <atomic>
#include <thread>

#include "tests/support/cut_response.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

class HttpCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpCallTest);
  CPPUNIT_TEST(cutResponseIsIncomplete);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against checks that can't see a cut answer, since they take it for a whole one, and
  /// against findings that are due to an answer that a killed process left unfinished.
  void cutResponseIsIncomplete() {
    const std::string fields = "X-Cypresswall-Outcome: done\r\n";
    for (const std::string& whole :
         {"HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 4\r\n\r\nbody",
          "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" +
              chunked({"bo", "dy"})}) {
      forEachCut(server_, whole, [&](const CutResponse& cut) {
        const HttpAnswer answer = call();
        CPPUNIT_ASSERT_MESSAGE(cut.description, !answer.complete && !answer.not_connected);
        CPPUNIT_ASSERT_MESSAGE(cut.description, cut.head_arrives || answer.status == 0);
        CPPUNIT_ASSERT_MESSAGE(cut.description, cut.head_arrives || answer.headers.empty());
      });
      server_.answer(whole, true);
      const HttpAnswer answer = call();
      CPPUNIT_ASSERT(answer.complete && answer.status == 200);
      CPPUNIT_ASSERT_EQUAL(std::string("body"), answer.body);
      CPPUNIT_ASSERT_EQUAL(std::string("done"), answer.header("x-cypresswall-outcome"));
    }
  }

 private:
  /// The call blocks, so the server runs on another thread meanwhile.
  HttpAnswer call() {
    std::atomic<bool> done = false;
    std::thread serving([&] {
      while (!done) {
        context_.restart();
        context_.run_for(std::chrono::milliseconds(1));
      }
    });
    HttpAnswer answer = httpCall("POST", server_.address(), "/a", "ask");
    done = true;
    serving.join();
    return answer;
  }

  asio::io_context context_;
  ScriptedServer server_{context_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpCallTest);

}  // namespace
}  // namespace cypresswall::testing
