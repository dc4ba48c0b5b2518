/// Guards against servers whose responses have no end: the bytes kept of all unfinished responses
/// together are limited.
#include <array>
#include <asio/io_context.hpp>
#include <optional>
#include <string>

#include "cypresswall/runtime/curl_multi.h"
#include "tests/support/event_loop.h"
#include "tests/support/property.h"
#include "tests/support/scripted_server.h"

namespace cypresswall::runtime {
namespace {

using testing::runUntil;

constexpr std::size_t kMegabyte = 1U << 20;

class EndlessResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessResponseTest);
  CPPUNIT_TEST(largestOfManyUnfinishedBodiesIsBroken);
  CPPUNIT_TEST(finishedBodiesDoNotCountAgainstLaterOnes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void largestOfManyUnfinishedBodiesIsBroken() {
    std::array<std::optional<CurlResponse>, 3> responses;
    for (std::size_t i = 0; i < responses.size(); ++i) {
      begin(i, "HTTP/1.1 200 OK\r\nContent-Length: 15728640\r\n\r\n", responses[i]);
    }
    sendMore(0, 9 * kMegabyte);
    sendMore(1, 13 * kMegabyte);
    CPPUNIT_ASSERT(!responses[0] && !responses[1] && !responses[2]);
    sendMore(2, 12 * kMegabyte);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return responses[1].has_value(); }));
    CPPUNIT_ASSERT(responses[1]->outcome == CurlOutcome::kBroken);
    CPPUNIT_ASSERT(!responses[0] && !responses[2]);
    sendMore(0, 6 * kMegabyte);
    sendMore(2, 3 * kMegabyte);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return responses[0] && responses[2]; }));
    CPPUNIT_ASSERT(responses[0]->outcome == CurlOutcome::kAnswered);
    CPPUNIT_ASSERT_EQUAL(15 * kMegabyte, responses[2]->body.size());
  }

  void finishedBodiesDoNotCountAgainstLaterOnes() {
    for (int i = 0; i < 5; ++i) {
      std::optional<CurlResponse> response;
      begin(0, "HTTP/1.1 200 OK\r\nContent-Length: 12582912\r\n\r\n", response);
      sendMore(0, 12 * kMegabyte);
      CPPUNIT_ASSERT(runUntil(context_, [&] { return response.has_value(); }));
      CPPUNIT_ASSERT(response->outcome == CurlOutcome::kAnswered);
    }
  }

 private:
  CurlRequest request(std::size_t server) const {
    CurlRequest made;
    made.address = servers_[server].address();
    made.target = "/path";
    return made;
  }

  /// Starts a request and waits until the server has answered with `bytes`.
  void begin(std::size_t server, const std::string& bytes, std::optional<CurlResponse>& response) {
    const auto sent = servers_[server].requests().size() + 1;
    servers_[server].answer(bytes);
    curl_.fetch(request(server), [&](CurlResponse given) { response = std::move(given); });
    CPPUNIT_ASSERT(runUntil(context_, [&] { return servers_[server].requests().size() == sent; }));
  }

  /// Runs handlers until the client has read what was sent. A write to a client that does not read
  /// would block this thread.
  void drain() {
    constexpr auto kQuiet = std::chrono::milliseconds(2);
    do {
      context_.restart();
      context_.poll();
      context_.restart();
    } while (context_.run_one_for(kQuiet) > 0);
  }

  void sendMore(std::size_t server, std::size_t bytes) {
    const std::string piece(kMegabyte / 16, 'x');
    for (std::size_t sent = 0; sent < bytes; sent += piece.size()) {
      servers_[server].sendMore(piece);
      drain();
    }
  }

  asio::io_context context_;
  std::array<testing::ScriptedServer, 3> servers_{testing::ScriptedServer{context_},
                                                  testing::ScriptedServer{context_},
                                                  testing::ScriptedServer{context_}};
  CurlMulti curl_{context_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseTest);

}  // namespace
}  // namespace cypresswall::runtime
