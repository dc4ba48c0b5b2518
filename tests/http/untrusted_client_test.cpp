/// Clients that send much, stop within a request or read nothing, over real sockets.
#include <memory>
#include <string>
#include <vector>

#include "cypresswall/http/server.h"
#include "tests/http/http_client.h"
#include "tests/support/property.h"

namespace cypresswall::http {
namespace {

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMemoryBytes = 1024 * kKibibyte;
const std::string kChunkedHead = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kGet = "GET /a HTTP/1.1\r\n\r\n";

std::string headWithLength(std::size_t bytes) {
  return "POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

std::string inChunksOfOneByte(const std::string& body) {
  std::string chunks;
  for (const char byte : body) {
    chunks.append("1;extension=x\r\n").append(1, byte).append("\r\n");
  }
  return chunks;
}

class UntrustedClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UntrustedClientTest);
  CPPUNIT_TEST(smallChunksTakeNoMoreMemoryThanTheirBody);
  CPPUNIT_TEST(announcedBodyTakesMemoryOnlyAsItArrives);
  CPPUNIT_TEST(largestStalledRequestMakesRoom);
  CPPUNIT_TEST(requestWithoutRoomIsToldWhenToComeBack);
  CPPUNIT_TEST(requestsThatRunKeepTheirMemory);
  CPPUNIT_TEST(memoryIsFreeOnceAllAreGone);
  CPPUNIT_TEST(unreadAnswersAreBounded);
  CPPUNIT_TEST(changedLimitsApplyToTheNextRequest);
  CPPUNIT_TEST(lateRestOfARefusedRequestIsNotRun);
  CPPUNIT_TEST(slowHeadHasItsOwnTimeLimit);
  CPPUNIT_TEST(silentConnectionsGiveWay);
  CPPUNIT_TEST(stalledRequestsGiveWay);
  CPPUNIT_TEST(restingConnectionsGiveWayAfterTheirTime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { memory_ = std::make_shared<CallerMemory>(kMemoryBytes); }

  void smallChunksTakeNoMoreMemoryThanTheirBody() {
    startServer();
    const std::string body(200 * kKibibyte, 'x');
    RawClient client(context_, server_->port());
    client.startReading();
    client.send(kChunkedHead + inChunksOfOneByte(body));
    CPPUNIT_ASSERT(waitForMemory(body.size()));
    CPPUNIT_ASSERT(memory_->used() < 2 * body.size());
    client.send("0\r\n\r\n");
    CPPUNIT_ASSERT(client.waitFor("run"));
    CPPUNIT_ASSERT(requests_.at(0).body == body);
  }

  void announcedBodyTakesMemoryOnlyAsItArrives() {
    startServer();
    RawClient client(context_, server_->port());
    client.send(headWithLength(500 * kKibibyte) + "begin");
    CPPUNIT_ASSERT(waitForMemory(1));
    CPPUNIT_ASSERT(memory_->used() < 4 * kKibibyte);
  }

  /// Guards against a crowd that keeps others out for as long as it stays connected.
  void largestStalledRequestMakesRoom() {
    startServer();
    const auto crowd = stalledClients(3, 200 * kKibibyte);
    RawClient large(context_, server_->port());
    large.startReading();
    const std::string body(400 * kKibibyte, 'x');
    large.send(headWithLength(body.size()) + body);
    CPPUNIT_ASSERT(large.waitFor("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(requests_.at(0).body == body);
    CPPUNIT_ASSERT(!rejections_.empty());
    for (const Rejection& rejection : rejections_) {
      CPPUNIT_ASSERT_EQUAL(503, rejection.status);
    }
  }

  void requestWithoutRoomIsToldWhenToComeBack() {
    holds_requests_ = true;
    startServer();
    const auto running = wholeRequests(3, 200 * kKibibyte);
    RawClient late(context_, server_->port());
    late.startReading();
    late.send(headWithLength(300 * kKibibyte) + std::string(300 * kKibibyte, 'x'));
    CPPUNIT_ASSERT(late.waitFor("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(late.waitFor("Retry-After: 1\r\n"));
    CPPUNIT_ASSERT(late.waitClosed());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, requests_.size());
  }

  void requestsThatRunKeepTheirMemory() {
    holds_requests_ = true;
    startServer();
    const auto running = wholeRequests(3, 200 * kKibibyte);
    CPPUNIT_ASSERT(memory_->used() >= 600 * kKibibyte);
    answerAll("done");
    for (const auto& client : running) {
      CPPUNIT_ASSERT(client->waitFor("done"));
    }
    CPPUNIT_ASSERT(runUntil(context_, [this] { return memory_->used() == 0; }));
  }

  void memoryIsFreeOnceAllAreGone() {
    startServer();
    auto crowd = stalledClients(3, 200 * kKibibyte);
    for (const auto& client : crowd) {
      client->close();
    }
    CPPUNIT_ASSERT(runUntil(context_, [this] { return memory_->used() == 0; }));
  }

  /// Guards against callers that ask for answers and take none.
  void unreadAnswersAreBounded() {
    answer_ = std::string(8192 * kKibibyte, 'x');
    memory_ = std::make_shared<CallerMemory>(3 * answer_.size());
    startServer();
    std::vector<std::unique_ptr<RawClient>> crowd;
    for (std::size_t number = 0; number < 8; ++number) {
      crowd.push_back(std::make_unique<RawClient>(context_, server_->port()));
      crowd.back()->send(kGet);
      CPPUNIT_ASSERT(runUntil(context_, [&] { return requests_.size() == number + 1; }));
      CPPUNIT_ASSERT(memory_->used() <= memory_->limit());
    }
    CPPUNIT_ASSERT(!rejections_.empty());
    RawClient reader(context_, server_->port());
    reader.startReading();
    reader.send(kGet);
    CPPUNIT_ASSERT(runUntil(context_, [&] { return reader.received.size() > answer_.size(); }));
  }

  void changedLimitsApplyToTheNextRequest() {
    startServer();
    RawClient client(context_, server_->port());
    client.startReading();
    client.send(headWithLength(kKibibyte) + std::string(kKibibyte, 'x'));
    CPPUNIT_ASSERT(client.waitFor("run"));
    limits_.maximum_body_bytes = kKibibyte - 1;
    client.send(headWithLength(kKibibyte) + std::string(kKibibyte, 'x'));
    CPPUNIT_ASSERT(client.waitFor("HTTP/1.1 413 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_.size());
    limits_ = {.maximum_header_bytes = 100};
    RawClient other(context_, server_->port());
    other.startReading();
    other.send("GET /a HTTP/1.1\r\nX-Name: " + std::string(200, 'x') + "\r\n\r\n");
    CPPUNIT_ASSERT(other.waitFor("HTTP/1.1 431 "));
  }

  /// A 408 says that the request has not run and will not.
  void lateRestOfARefusedRequestIsNotRun() {
    settings_.header_time_limit = std::chrono::milliseconds(50);
    startServer();
    RawClient client(context_, server_->port());
    client.startReading();
    client.send(headWithLength(5) + "hell");
    CPPUNIT_ASSERT(runUntil(context_, [this] {
      if (rejections_.empty()) {
        return false;
      }
      return true;
    }));
    client.send("o" + kGet);
    CPPUNIT_ASSERT(client.waitFor("HTTP/1.1 408 "));
    CPPUNIT_ASSERT(client.waitClosed());
    CPPUNIT_ASSERT(requests_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rejections_.size());
  }

  void slowHeadHasItsOwnTimeLimit() {
    limits_.header_time_limit = std::chrono::milliseconds(50);
    startServer();
    RawClient slow_body(context_, server_->port());
    slow_body.startReading();
    slow_body.send(headWithLength(5) + "hell");
    RawClient slow_head(context_, server_->port());
    slow_head.startReading();
    slow_head.send("GET /a HTTP/1.1\r\nX-Na");
    CPPUNIT_ASSERT(slow_head.waitFor("HTTP/1.1 408 "));
    slow_body.send("o");
    CPPUNIT_ASSERT(slow_body.waitFor("HTTP/1.1 200 "));
  }

  void silentConnectionsGiveWay() {
    settings_.maximum_connections = 32;
    startServer();
    std::vector<std::unique_ptr<RawClient>> silent;
    for (std::size_t number = 0; number < 100; ++number) {
      silent.push_back(std::make_unique<RawClient>(context_, server_->port()));
      silent.back()->startReading();
    }
    RawClient caller(context_, server_->port());
    caller.startReading();
    caller.send(kGet);
    CPPUNIT_ASSERT(caller.waitFor("HTTP/1.1 200 "));
    CPPUNIT_ASSERT(silent.front()->closed);
    CPPUNIT_ASSERT(!silent.back()->closed);
  }

  void stalledRequestsGiveWay() {
    settings_.maximum_connections = 32;
    startServer();
    std::vector<std::unique_ptr<RawClient>> stalled;
    for (std::size_t number = 0; number < 32; ++number) {
      stalled.push_back(std::make_unique<RawClient>(context_, server_->port()));
      stalled.back()->startReading();
      stalled.back()->send("GET /a HTTP/1.1\r\nX-Na");
    }
    for (std::size_t number = 0; number < 8; ++number) {
      RawClient caller(context_, server_->port());
      caller.startReading();
      caller.send(kGet);
      CPPUNIT_ASSERT(caller.waitFor("HTTP/1.1 200 "));
    }
  }

  /// Connections may be used again within the time that callers are told.
  void restingConnectionsGiveWayAfterTheirTime() {
    settings_.maximum_connections = 16;
    limits_.resting_time_limit = std::chrono::hours(1);
    startServer();
    std::vector<std::unique_ptr<RawClient>> resting;
    for (std::size_t number = 0; number < 16; ++number) {
      resting.push_back(std::make_unique<RawClient>(context_, server_->port()));
      resting.back()->startReading();
      resting.back()->send(kGet);
      CPPUNIT_ASSERT(resting.back()->waitFor("HTTP/1.1 200 "));
    }
    for (const auto& client : resting) {
      CPPUNIT_ASSERT(!client->closed);
    }
    limits_.resting_time_limit = std::chrono::milliseconds(1);
    resting.front()->close();
    for (std::size_t number = 0; number < 8; ++number) {
      RawClient caller(context_, server_->port());
      caller.startReading();
      caller.send(kGet);
      CPPUNIT_ASSERT(caller.waitFor("HTTP/1.1 200 "));
    }
  }

 private:
  using Clients = std::vector<std::unique_ptr<RawClient>>;

  void startServer() {
    settings_.address = "127.0.0.1:0";
    settings_.caller_memory = memory_;
    settings_.request_limits = [this] { return limits_; };
    settings_.on_rejected = [this](const Rejection& rejection) {
      rejections_.push_back(rejection);
    };
    server_ = makeServer(context_, settings_,
                         [this](Request request, std::shared_ptr<Responder> responder) {
                           requests_.push_back(std::move(request));
                           if (holds_requests_) {
                             responders_.push_back(std::move(responder));
                           } else {
                             responder->respond(200, {}, answer_);
                           }
                         });
    server_->start();
  }

  bool waitForMemory(std::size_t bytes) {
    return runUntil(context_, [this, bytes] { return memory_->used() >= bytes; });
  }

  /// \return clients that have sent all but the last byte of a body
  Clients stalledClients(std::size_t count, std::size_t body_bytes) {
    Clients clients;
    for (std::size_t number = 0; number < count; ++number) {
      clients.push_back(std::make_unique<RawClient>(context_, server_->port()));
      clients.back()->startReading();
      clients.back()->send(headWithLength(body_bytes) + std::string(body_bytes - 1, 'x'));
    }
    CPPUNIT_ASSERT(waitForMemory(count * (body_bytes - 1)));
    return clients;
  }

  Clients wholeRequests(std::size_t count, std::size_t body_bytes) {
    Clients clients;
    for (std::size_t number = 0; number < count; ++number) {
      clients.push_back(std::make_unique<RawClient>(context_, server_->port()));
      clients.back()->startReading();
      clients.back()->send(headWithLength(body_bytes) + std::string(body_bytes, 'x'));
    }
    CPPUNIT_ASSERT(runUntil(context_, [&] { return requests_.size() == count; }));
    return clients;
  }

  void answerAll(const std::string& body) {
    for (const auto& responder : responders_) {
      responder->respond(200, {}, body);
    }
    responders_.clear();
  }

  asio::io_context context_;
  ServerSettings settings_;
  RequestLimits limits_;
  std::shared_ptr<CallerMemory> memory_;
  bool holds_requests_ = false;
  std::string answer_ = "run";
  std::vector<Request> requests_;
  std::vector<std::shared_ptr<Responder>> responders_;
  std::vector<Rejection> rejections_;
  std::unique_ptr<Server> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UntrustedClientTest);

}  // namespace
}  // namespace cypresswall::http
