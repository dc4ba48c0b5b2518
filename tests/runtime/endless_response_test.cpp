/// Guards against servers whose responses have no end: the bytes kept of all unfinished responses
/// together, and the bytes that frame a body, are limited.
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
const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

class IgnoringHandler final : public CurlTransferHandler {
 public:
  void onBody(std::string_view bytes) override { body_bytes += bytes.size(); }
  void onDone(CurlResponse response) override { done = std::move(response); }
  std::size_t body_bytes = 0;
  std::optional<CurlResponse> done;
};

class EndlessResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndlessResponseTest);
  CPPUNIT_TEST(largestOfManyUnfinishedBodiesIsBroken);
  CPPUNIT_TEST(finishedBodiesDoNotCountAgainstLaterOnes);
  CPPUNIT_TEST(chunkExtensionWithoutEndIsBroken);
  CPPUNIT_TEST(chunkFramingThatExceedsTheBodyIsBroken);
  CPPUNIT_TEST(smallChunksPass);
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

  void chunkExtensionWithoutEndIsBroken() {
    const std::string filler(1000, 'x');
    assertBroken(kChunkedHead + "5;", filler);
    assertBroken(kChunkedHead + "5\r\nhello\r\n0;", filler);
    assertBroken("HTTP/1.1 500 Failed\r\nTransfer-Encoding: chunked\r\n\r\n5;", filler);
    for (int i = 0; i < 3; ++i) {
      std::optional<CurlResponse> response;
      begin(0, testing::httpAnswer(200, "kept"), response);
      CPPUNIT_ASSERT(runUntil(context_, [&] { return response.has_value(); }));
    }
    const int connections = servers_[0].connections();
    std::optional<CurlResponse> response;
    begin(0, kChunkedHead + "5;", response);
    sendUntil(filler, [&] { return response.has_value(); });
    CPPUNIT_ASSERT_EQUAL(connections, servers_[0].connections());
    CPPUNIT_ASSERT_MESSAGE("on a kept connection", response.has_value());
  }

  void chunkFramingThatExceedsTheBodyIsBroken() {
    assertBroken(kChunkedHead, "1;" + std::string(1000, 'x') + "\r\nx\r\n");
  }

  void smallChunksPass() {
    std::optional<CurlResponse> response;
    begin(0, kChunkedHead, response);
    std::string chunks;
    constexpr int kChunks = 1000;
    for (int i = 0; i < kChunks; ++i) {
      chunks += "1\r\nx\r\n";
    }
    constexpr int kRounds = 200;
    for (int i = 0; i < kRounds; ++i) {
      servers_[0].sendMore(chunks);
      drain();
    }
    servers_[0].sendMore("0\r\n\r\n");
    CPPUNIT_ASSERT(runUntil(context_, [&] { return response.has_value(); }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kChunks * kRounds}, response->body.size());
    CPPUNIT_ASSERT(response->outcome == CurlOutcome::kAnswered);
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

  template <typename Ended>
  void sendUntil(const std::string& filler, Ended ended) {
    for (std::size_t bytes = 0; !ended() && bytes < kMegabyte; bytes += filler.size()) {
      servers_[0].sendMore(filler);
      drain();
    }
  }

  void assertBroken(const std::string& begin_bytes, const std::string& filler) {
    std::optional<CurlResponse> response;
    begin(0, begin_bytes, response);
    sendUntil(filler, [&] { return response.has_value(); });
    CPPUNIT_ASSERT_MESSAGE(begin_bytes, response.has_value());
    CPPUNIT_ASSERT(response->outcome == CurlOutcome::kBroken);
    servers_[0].answer(begin_bytes);
    IgnoringHandler handler;
    const auto sent = servers_[0].requests().size() + 1;
    const auto transfer = curl_.start(request(0), handler);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return servers_[0].requests().size() == sent; }));
    sendUntil(filler, [&] { return handler.done.has_value(); });
    CPPUNIT_ASSERT_MESSAGE(begin_bytes, handler.done.has_value());
    CPPUNIT_ASSERT(handler.done->outcome == CurlOutcome::kBroken);
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
