#include "cypresswall/http/server.h"

#include <sys/resource.h>
#include <unistd.h>

#include <asio/post.hpp>
#include <functional>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

#include "tests/http/http_client.h"
#include "tests/support/property.h"

namespace cypresswall::http {
namespace {

class ServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerTest);
  CPPUNIT_TEST(answersAndKeepsConnectionOpen);
  CPPUNIT_TEST(streamsInChunks);
  CPPUNIT_TEST(writesOfOneLoopIterationAreCoalesced);
  CPPUNIT_TEST(portInUseErrorNamesAddress);
  CPPUNIT_TEST(invalidAddressIsRejected);
  CPPUNIT_TEST(detectsCallerDisconnectWithoutWriting);
  CPPUNIT_TEST(malformedRequestGets400);
  CPPUNIT_TEST(truncatedRequestGets400);
  CPPUNIT_TEST(oversizedBodyGets413);
  CPPUNIT_TEST(oversizedChunkedBodyGets413);
  CPPUNIT_TEST(oversizedHeaderGets431);
  CPPUNIT_TEST(undecodableTargetGets400);
  CPPUNIT_TEST(slowRequestGets408);
  CPPUNIT_TEST(slowRequestsEndAlthoughARejectionFailed);
  CPPUNIT_TEST(sends100ContinueWhenExpected);
  CPPUNIT_TEST(abortTruncatesAnswer);
  CPPUNIT_TEST(droppedResponderGives500);
  CPPUNIT_TEST(handlerThatThrowsGives500AndTheConnectionGoesOn);
  CPPUNIT_TEST(slowReaderBackpressureIsReportedAndDrains);
  CPPUNIT_TEST(slowReaderReceivesAllBytesInOrder);
  CPPUNIT_TEST(pipelinedAnswersAreNotMixed);
  CPPUNIT_TEST(stalledReaderIsDisconnected);
  CPPUNIT_TEST(idleHandlerTimesOut);
  CPPUNIT_TEST(stopListeningFinishesOpenRequests);
  CPPUNIT_TEST(connectionMayOutliveServer);
  CPPUNIT_TEST(stopListeningAcceptsPendingConnections);
  CPPUNIT_TEST(acceptsAgainAfterRunningOutOfDescriptors);
  CPPUNIT_TEST(acceptsAsManyAtATimeAfterSomeAcceptsHaveFailed);
  CPPUNIT_TEST(callersResetBeforeTheyAreAcceptedDoNotUseUpTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  void answersAndKeepsConnectionOpen() {
    startServer();
    RawClient client(context_, server_->port());
    client.startReading();
    client.send("POST /a%20b?x=1&y=%2F HTTP/1.1\r\nX-Name: v\r\nContent-Length: 3\r\n\r\nabc");
    CPPUNIT_ASSERT(waitForRequests(1));
    const Request& request = requests_[0];
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), request.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/a b"), request.path);
    CPPUNIT_ASSERT_EQUAL(std::string("/a%20b?x=1&y=%2F"), request.target);
    CPPUNIT_ASSERT_EQUAL(std::string("/"), request.query.at("y"));
    CPPUNIT_ASSERT_EQUAL(std::string("v"), request.header("x-name"));
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), request.body);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->openRequests());
    responders_[0]->respond(200, {{"X-Answer", "1"}}, "first");
    CPPUNIT_ASSERT(client.waitFor("first"));
    CPPUNIT_ASSERT(client.received.starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT(client.received.find("X-Answer: 1\r\n") != std::string::npos);
    client.send("GET / HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(waitForRequests(2));
    responders_[1]->respond(200, {}, "second");
    CPPUNIT_ASSERT(client.waitFor("second"));
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_->openRequests() == 0; }));
  }

  void streamsInChunks() {
    startServer();
    auto client = request("GET /s HTTP/1.1\r\n\r\n");
    responders_[0]->startStream(200, {{"Content-Type", "text/event-stream"}});
    responders_[0]->write("one");
    CPPUNIT_ASSERT(client->waitFor("3\r\none\r\n"));
    responders_[0]->write("three");
    responders_[0]->finishStream();
    CPPUNIT_ASSERT(client->waitFor("5\r\nthree\r\n0\r\n\r\n"));
    CPPUNIT_ASSERT(client->received.find("Transfer-Encoding: chunked") != std::string::npos);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_->openRequests() == 0; }));
  }

  void writesOfOneLoopIterationAreCoalesced() {
    startServer();
    auto client = request("GET /s HTTP/1.1\r\n\r\n");
    responders_[0]->startStream(200, {});
    responders_[0]->write("one");
    responders_[0]->write("two");
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, responders_[0]->pendingBytes());
    CPPUNIT_ASSERT(client->waitFor("6\r\nonetwo\r\n"));
    CPPUNIT_ASSERT(runUntil(context_, [&] { return responders_[0]->pendingBytes() == 0; }));
  }

  void portInUseErrorNamesAddress() {
    startServer();
    const auto address = "127.0.0.1:" + std::to_string(server_->port());
    const auto second = makeServer(context_, {.address = address}, {});
    try {
      second->start();
      CPPUNIT_FAIL("no ListenError");
    } catch (const ListenError& error) {
      CPPUNIT_ASSERT(std::string(error.what()).find(address) != std::string::npos);
    }
  }

  void invalidAddressIsRejected() {
    for (const auto* address : {"", "host:80", "127.0.0.1", "127.0.0.1:99999", "127.0.0.1:8x"}) {
      CPPUNIT_ASSERT_THROW(makeServer(context_, {.address = address}, {})->start(), ListenError);
    }
  }

  void detectsCallerDisconnectWithoutWriting() {
    startServer();
    auto client = request("GET /s HTTP/1.1\r\n\r\n");
    bool left = false;
    responders_[0]->onClosed([&] { left = true; });
    client->close();
    CPPUNIT_ASSERT(runUntil(context_, [&] { return left; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->openRequests());
    responders_[0]->startStream(200, {});
    responders_[0]->write("to nobody");
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, responders_[0]->pendingBytes());
  }

  void malformedRequestGets400() { expectRejection("no http at all\r\n\r\n", "400"); }

  void truncatedRequestGets400() {
    startServer();
    RawClient client(context_, server_->port());
    client.startReading();
    client.send("POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc");
    client.shutdownSend();
    expectRejected(client, "400");
  }

  void oversizedBodyGets413() {
    settings_.maximum_body_bytes = 1000;
    expectRejection("POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" + std::string(200000, 'x'),
                    "413");
  }

  void oversizedChunkedBodyGets413() {
    settings_.maximum_body_bytes = 1000;
    expectRejection(
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + std::string(2048, 'x'),
        "413");
  }

  void oversizedHeaderGets431() {
    settings_.maximum_header_bytes = 1000;
    expectRejection("GET / HTTP/1.1\r\nX-Long: " + std::string(2000, 'x') + "\r\n\r\n", "431");
  }

  void undecodableTargetGets400() { expectRejection("GET /%zz HTTP/1.1\r\n\r\n", "400"); }

  void slowRequestGets408() {
    settings_.header_time_limit = std::chrono::milliseconds(50);
    expectRejection("POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc", "408");
  }

  // An exception in the check for slow requests ended that check, and all later ones.
  void slowRequestsEndAlthoughARejectionFailed() {
    settings_.header_time_limit = std::chrono::milliseconds(50);
    rejection_fails_ = true;
    startServer();
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t client = 0; client < 2; ++client) {
      clients.push_back(std::make_unique<RawClient>(context_, server_->port()));
      clients.back()->startReading();
      clients.back()->send("POST / HTTP/1.1\r\nContent-Length: 100\r\n\r\nabc");
    }
    CPPUNIT_ASSERT_THROW(runUntil(context_, [&] { return rejections_.size() >= 2; }),
                         std::runtime_error);
    for (const auto& client : clients) {
      CPPUNIT_ASSERT(client->waitFor("HTTP/1.1 408 "));
      CPPUNIT_ASSERT(client->waitClosed());
    }
  }

  void sends100ContinueWhenExpected() {
    startServer();
    RawClient client(context_, server_->port());
    client.startReading();
    client.send("POST / HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 4\r\n\r\n");
    CPPUNIT_ASSERT(client.waitFor("HTTP/1.1 100 Continue\r\n\r\n"));
    client.send("body");
    CPPUNIT_ASSERT(waitForRequests(1));
    CPPUNIT_ASSERT_EQUAL(std::string("body"), requests_[0].body);
  }

  void abortTruncatesAnswer() {
    startServer();
    auto client = request("GET /s HTTP/1.1\r\n\r\n");
    responders_[0]->startStream(200, {});
    responders_[0]->write("part");
    CPPUNIT_ASSERT(client->waitFor("part"));
    responders_[0]->abort();
    CPPUNIT_ASSERT(client->waitClosed());
    CPPUNIT_ASSERT(client->received.find("0\r\n\r\n") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->openRequests());
  }

  // Guards against: a request whose handler throws is never answered, or ends the process.
  void handlerThatThrowsGives500AndTheConnectionGoesOn() {
    common::CounterRegistry counters;
    common::HandlerGuard guard(common::nullLogSink(), counters);
    settings_.guard = &guard;
    handler_failure_ = "odd request";
    startServer();
    RawClient client(context_, server_->port());
    client.startReading();
    client.send("GET /odd HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(client.waitFor("internal_error"));
    CPPUNIT_ASSERT(client.received.starts_with("HTTP/1.1 500 "));
    CPPUNIT_ASSERT_EQUAL(1.0, counters.total("cypresswall_failed_handlers_total"));
    handler_failure_.clear();
    client.send("GET /next HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(waitForRequests(2));
    responders_[1]->respond(200, {}, "next answer");
    CPPUNIT_ASSERT(client.waitFor("next answer"));
  }

  void droppedResponderGives500() {
    startServer();
    auto client = request("GET /s HTTP/1.1\r\n\r\n");
    responders_.clear();
    CPPUNIT_ASSERT(client->waitFor("HTTP/1.1 500 "));
  }

  void slowReaderBackpressureIsReportedAndDrains() {
    startServer();
    auto client = std::make_unique<RawClient>(context_, server_->port());
    client->send("GET /s HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(waitForRequests(1));
    constexpr std::size_t kBytes = 32U << 20;
    int drained = 0;
    responders_[0]->onDrained([&] { ++drained; });
    responders_[0]->startStream(200, {});
    responders_[0]->write(std::string(kBytes, 'x'));
    context_.restart();
    context_.poll();
    CPPUNIT_ASSERT_EQUAL(kBytes, responders_[0]->pendingBytes());
    client->startReading();
    CPPUNIT_ASSERT(runUntil(context_, [&] { return responders_[0]->pendingBytes() == 0; }));
    CPPUNIT_ASSERT(drained > 0);
  }

  /// Writes more than the socket accepts at once, over many iterations of the event loop. Guards
  /// against bytes lost or reordered between direct socket writes and writes through RESTinio.
  void slowReaderReceivesAllBytesInOrder() {
    startServer();
    auto client = std::make_unique<RawClient>(context_, server_->port());
    client->send("GET /s HTTP/1.1\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(waitForRequests(1));
    responders_[0]->startStream(200, {});
    std::string expected;
    const auto writeSome = [&](int turns) {
      for (int turn = 0; turn < turns; ++turn) {
        const std::string bytes(static_cast<std::size_t>(20000 + 7 * turn),
                                static_cast<char>('a' + turn % 26));
        expected += bytes;
        responders_[0]->write(bytes);
        context_.restart();
        context_.poll();
      }
    };
    writeSome(400);
    CPPUNIT_ASSERT(responders_[0]->pendingBytes() > 0);
    client->startReading();
    writeSome(400);
    responders_[0]->finishStream();
    CPPUNIT_ASSERT(client->waitClosed());
    CPPUNIT_ASSERT(expected == unchunked(client->received));
  }

  void pipelinedAnswersAreNotMixed() {
    startServer();
    RawClient client(context_, server_->port());
    client.startReading();
    client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(waitForRequests(2));
    responders_[1]->startStream(200, {});
    responders_[1]->write("second");
    responders_[0]->startStream(200, {});
    responders_[0]->write("first");
    CPPUNIT_ASSERT(client.waitFor("first"));
    responders_[1]->write("-later");
    responders_[0]->write("-more");
    responders_[0]->finishStream();
    responders_[1]->finishStream();
    CPPUNIT_ASSERT(client.waitClosed());
    const auto second = client.received.find("HTTP/1.1", 1);
    CPPUNIT_ASSERT_EQUAL(std::string("first-more"), unchunked(client.received.substr(0, second)));
    CPPUNIT_ASSERT_EQUAL(std::string("second-later"), unchunked(client.received.substr(second)));
  }

  void idleHandlerTimesOut() {
    settings_.idle_time_limit = std::chrono::milliseconds(1);
    startServer();
    auto client = request("GET /s HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(client->waitClosed());
  }

  void stalledReaderIsDisconnected() {
    settings_.write_time_limit = std::chrono::milliseconds(50);
    startServer();
    RawClient client(context_, server_->port());
    client.send("GET /s HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(waitForRequests(1));
    bool ended = false;
    responders_[0]->onClosed([&] { ended = true; });
    responders_[0]->startStream(200, {});
    responders_[0]->write(std::string(32U << 20, 'x'));
    CPPUNIT_ASSERT(runUntil(context_, [&] { return ended; }));
  }

  void stopListeningFinishesOpenRequests() {
    startServer();
    const auto port = server_->port();
    auto client = request("GET /s HTTP/1.1\r\n\r\n");
    server_->stopListening();
    CPPUNIT_ASSERT_THROW(RawClient(context_, port), std::system_error);
    responders_[0]->respond(200, {}, "whole");
    CPPUNIT_ASSERT(client->waitFor("whole"));
    CPPUNIT_ASSERT(client->received.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(client->waitClosed());
  }

  /// Guards against a use-after-free when a daemon exits while a caller keeps its connection open:
  /// the connection is then destroyed with the event loop, after the server. Only fails under
  /// AddressSanitizer.
  void connectionMayOutliveServer() {
    auto context = std::make_unique<asio::io_context>();
    bool asked = false;
    auto server = makeServer(*context, {.address = "127.0.0.1:0"},
                             [&](const Request&, const std::shared_ptr<Responder>& responder) {
                               asked = true;
                               responder->respond(200, {}, "");
                             });
    server->start();
    {
      RawClient client(*context, server->port());
      client.send("GET / HTTP/1.1\r\n\r\n");
      CPPUNIT_ASSERT(runUntil(*context, [&] { return asked && server->openRequests() == 0; }));
      server->stopListening();
      context->restart();
      context->poll();
      server.reset();
    }
    context.reset();
  }

  /// Guards against resetting connections that are established but not yet accepted when the server
  /// stops listening.
  void stopListeningAcceptsPendingConnections() {
    startServer();
    const auto port = server_->port();
    std::vector<std::unique_ptr<RawClient>> clients;
    constexpr std::size_t kClients = 40;
    for (std::size_t number = 0; number < kClients; ++number) {
      clients.push_back(std::make_unique<RawClient>(context_, port));
    }
    server_->stopListening();
    CPPUNIT_ASSERT(!server_->isIdle());
    for (const auto& client : clients) {
      client->startReading();
      client->send("GET / HTTP/1.1\r\n\r\n");
    }
    CPPUNIT_ASSERT(waitForRequests(kClients));
    CPPUNIT_ASSERT(!server_->isIdle());
    for (std::size_t number = 0; number < kClients; ++number) {
      responders_[number]->respond(503, {}, "stopping");
      CPPUNIT_ASSERT(clients[number]->waitFor("stopping"));
      CPPUNIT_ASSERT(clients[number]->received.find("Connection: close") != std::string::npos);
      CPPUNIT_ASSERT(clients[number]->waitClosed());
    }
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_->isIdle(); }));
    CPPUNIT_ASSERT_THROW(RawClient(context_, port), std::system_error);
  }

 private:
  // A process that ran out of descriptors once never accepted a caller again.
  void acceptsAgainAfterRunningOutOfDescriptors() {
    std::size_t restarts = 0;
    settings_.on_accepts_restarted = [&restarts] { ++restarts; };
    startServer();
    constexpr std::size_t kClients = 64;
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t client = 0; client < kClients; ++client) {
      clients.push_back(std::make_unique<RawClient>(context_, server_->port()));
    }
    {
      const DescriptorLimit none(kNoDescriptors);
      CPPUNIT_ASSERT(runUntil(context_, [&] { return restarts >= 2; }));
    }
    for (const auto& client : clients) {
      client->startReading();
      client->send("GET / HTTP/1.1\r\n\r\n");
    }
    CPPUNIT_ASSERT(waitForRequests(kClients));
    auto later = request("GET / HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(waitForRequests(kClients + 1));
  }

  // A server that lost some of its accepts took fewer callers per iteration of a busy event loop.
  void acceptsAsManyAtATimeAfterSomeAcceptsHaveFailed() {
    std::size_t restarts = 0;
    settings_.on_accepts_restarted = [&restarts] { ++restarts; };
    startServer();
    {
      RawClient client(context_, server_->port());
      client.reset();
      const DescriptorLimit one(lowestFreeDescriptor() + 1);
      context_.restart();
      context_.run_for(std::chrono::milliseconds(50));
    }
    constexpr std::size_t kClients = 64;
    std::vector<std::unique_ptr<RawClient>> clients;
    for (std::size_t client = 0; client < kClients; ++client) {
      clients.push_back(std::make_unique<RawClient>(context_, server_->port()));
      clients.back()->startReading();
      clients.back()->send("GET / HTTP/1.1\r\n\r\n");
    }
    std::size_t iterations = 0;
    const std::function<void()> iterate = [&] {
      if (requests_.size() < kClients) {
        ++iterations;
        asio::post(context_, iterate);
      }
    };
    asio::post(context_, iterate);
    CPPUNIT_ASSERT(waitForRequests(kClients));
    CPPUNIT_ASSERT_LESS(kClients / 2, iterations);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return restarts > 0; }));
  }

  // Each such caller took a place of the limit for good.
  void callersResetBeforeTheyAreAcceptedDoNotUseUpTheLimit() {
    settings_.maximum_connections = 2;
    startServer();
    for (std::size_t caller = 0; caller < 4 * settings_.maximum_connections; ++caller) {
      RawClient client(context_, server_->port());
      client.reset();
      context_.restart();
      context_.run_for(std::chrono::milliseconds(5));
    }
    RawClient client(context_, server_->port());
    client.startReading();
    client.send("GET / HTTP/1.1\r\n\r\n");
    CPPUNIT_ASSERT(waitForRequests(1));
  }

  /// While it exists, the process can open only descriptors below `limit`.
  class DescriptorLimit {
   public:
    explicit DescriptorLimit(rlim_t limit) {
      ::getrlimit(RLIMIT_NOFILE, &before_);
      rlimit low = before_;
      low.rlim_cur = limit;
      CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &low));
    }
    ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
    DescriptorLimit(const DescriptorLimit&) = delete;
    DescriptorLimit& operator=(const DescriptorLimit&) = delete;

   private:
    rlimit before_{};
  };

  /// Allows no descriptor. poll() takes one.
  static constexpr rlim_t kNoDescriptors = 1;

  static rlim_t lowestFreeDescriptor() {
    const int descriptor = ::dup(STDIN_FILENO);
    CPPUNIT_ASSERT(descriptor >= 0);
    ::close(descriptor);
    return static_cast<rlim_t>(descriptor);
  }

  void startServer() {
    settings_.address = "127.0.0.1:0";
    settings_.rejection_headers = {{"X-Rejected", "yes"}};
    settings_.on_rejected = [this](const Rejection& rejection) {
      rejections_.push_back(rejection);
      if (std::exchange(rejection_fails_, false)) {
        throw std::runtime_error("rejection");
      }
    };
    server_ = makeServer(context_, settings_,
                         [this](Request request, std::shared_ptr<Responder> responder) {
                           requests_.push_back(std::move(request));
                           responders_.push_back(std::move(responder));
                           if (!handler_failure_.empty()) {
                             throw std::runtime_error(handler_failure_);
                           }
                         });
    server_->start();
    CPPUNIT_ASSERT(server_->port() != 0);
  }

  bool waitForRequests(std::size_t count) {
    return runUntil(context_, [&] { return requests_.size() >= count; });
  }

  std::unique_ptr<RawClient> request(const std::string& bytes) {
    auto client = std::make_unique<RawClient>(context_, server_->port());
    client->startReading();
    client->send(bytes);
    CPPUNIT_ASSERT(waitForRequests(1));
    return client;
  }

  /// \return the decoded body of a complete chunked answer.
  static std::string unchunked(const std::string& answer) {
    std::string body;
    auto at = answer.find("\r\n\r\n") + 4;
    for (;;) {
      const auto line_end = answer.find("\r\n", at);
      const auto size = std::stoul(answer.substr(at, line_end - at), nullptr, 16);
      if (size == 0) {
        return body;
      }
      body += answer.substr(line_end + 2, size);
      at = line_end + 2 + size + 2;
    }
  }

  void expectRejection(const std::string& bytes, const std::string& status) {
    startServer();
    RawClient client(context_, server_->port());
    client.startReading();
    client.send(bytes);
    expectRejected(client, status);
  }

  /// Expects one answer with the status, one reported rejection and no call of the handler.
  void expectRejected(RawClient& client, const std::string& status) {
    CPPUNIT_ASSERT(client.waitFor("bad_request"));
    CPPUNIT_ASSERT(client.received.starts_with("HTTP/1.1 " + status + " "));
    CPPUNIT_ASSERT(client.received.find("X-Rejected: yes\r\n") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rejections_.size());
    CPPUNIT_ASSERT_EQUAL(status, std::to_string(rejections_[0].status));
    CPPUNIT_ASSERT(requests_.empty());
  }

  asio::io_context context_;
  ServerSettings settings_;
  /// If not empty, the handler throws it.
  std::string handler_failure_;
  /// If set, the report of the next rejection throws.
  bool rejection_fails_ = false;
  std::vector<Rejection> rejections_;
  std::vector<Request> requests_;
  std::vector<std::shared_ptr<Responder>> responders_;
  std::unique_ptr<Server> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

}  // namespace
}  // namespace cypresswall::http
