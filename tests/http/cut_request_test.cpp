/// Requests that end early or whose length is ambiguous, over real sockets.
#include <string>
#include <vector>

#include "cypresswall/http/server.h"
#include "tests/http/http_client.h"
#include "tests/support/property.h"

namespace cypresswall::http {
namespace {

const std::string kChunked = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kPost = "POST /a HTTP/1.1\r\n";
/// Must not become a request of its own if it stands in a body.
const std::string kInner = "GET /inner HTTP/1.1\r\n\r\n";

std::string lengthOf(const std::string& body) {
  return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

class CutRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CutRequestTest);
  CPPUNIT_TEST(wholeRequestsReachTheHandlerOnce);
  CPPUNIT_TEST(cutRequestsDoNotReachTheHandler);
  CPPUNIT_TEST(ambiguousRequestsDoNotReachTheHandler);
  CPPUNIT_TEST(ambiguousRequestIsRejectedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    settings_.address = "127.0.0.1:0";
    server_ = makeServer(context_, settings_,
                         [this](Request request, const std::shared_ptr<Responder>& responder) {
                           requests_.push_back(std::move(request));
                           responder->respond(200, {}, "run");
                         });
    server_->start();
  }

  void wholeRequestsReachTheHandlerOnce() {
    for (const std::string& request : wholeRequests()) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(request, std::size_t{1}, requestsRun(request));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(request, std::string("/a"), requests_[0].path);
      CPPUNIT_ASSERT_MESSAGE(request,
                             requests_[0].body.empty() || requests_[0].body == "hello" + kInner);
    }
  }

  /// Guards against a request that is run though its caller broke off within it.
  void cutRequestsDoNotReachTheHandler() {
    for (const std::string& request : wholeRequests()) {
      for (std::size_t cut = 1; cut < request.size(); ++cut) {
        for (const bool reset : {false, true}) {
          const std::string prefix = request.substr(0, cut);
          CPPUNIT_ASSERT_EQUAL_MESSAGE(prefix, std::size_t{0}, requestsRun(prefix, reset));
        }
      }
    }
  }

  /// Guards against a body whose rest is run as a second request: whoever stands in front may have
  /// found another end of the first.
  void ambiguousRequestsDoNotReachTheHandler() {
    const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
    const std::string both = kPost + "Transfer-Encoding: chunked\r\n";
    const std::vector<std::string> requests = {
        kPost + "Content-Length: 0\r\n" + lengthOf(kInner) + "\r\n" + kInner,
        kPost + lengthOf(kInner) + "Content-Length: 0\r\n\r\n" + kInner,
        kPost + "Content-Length: 0, 23\r\n\r\n" + kInner,
        kPost + "Content-Length: -1\r\n\r\n" + kInner,
        kPost + "Content-Length: +0\r\n\r\n" + kInner,
        kPost + "Content-Length: 0x0\r\n\r\n" + kInner,
        kPost + "Content-Length: 0 3\r\n\r\n" + kInner,
        kPost + "Content-Length:\r\n\r\n" + kInner,
        kPost + "Content-Length: 99999999999999999999999\r\n\r\n" + kInner,
        kPost + "Content-Length : 23\r\n\r\n" + kInner,
        kPost + "Content-Length: 2\r\n Transfer-Encoding: chunked\r\n\r\n" + chunks + kInner,
        both + lengthOf(chunks) + "\r\n" + chunks + kInner,
        kPost + lengthOf(chunks) + "Transfer-Encoding: chunked\r\n\r\n" + chunks + kInner,
        kPost + "Transfer-Encoding: gzip\r\n\r\n" + kInner,
        kPost + "Transfer-Encoding: identity\r\n\r\n" + kInner,
        kPost + "Transfer-Encoding: chunked, gzip\r\n\r\n" + chunks + kInner,
        kPost + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks + kInner,
        kPost + "Transfer-Encoding: xchunked\r\n\r\n" + chunks + kInner,
        kPost + "Transfer-Encoding : chunked\r\n\r\n" + chunks + kInner,
        kPost + "Transfer-Encoding:\r\n\r\n" + kInner,
        both + "Transfer-Encoding: identity\r\n\r\n" + chunks + kInner,
        both + "Transfer-Encoding: chunked\r\n\r\n" + chunks + kInner,
        kChunked + "x\r\nhello\r\n0\r\n\r\n" + kInner,
        kChunked + "-5\r\nhello\r\n0\r\n\r\n" + kInner,
        kChunked + "0x5\r\nhello\r\n0\r\n\r\n" + kInner,
        kChunked + "\r\nhello\r\n0\r\n\r\n" + kInner,
        kChunked + "10000000000000005\r\nhello\r\n0\r\n\r\n" + kInner,
        kChunked + "3\r\nhello\r\n0\r\n\r\n" + kInner,
    };
    for (const std::string& request : requests) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(request, std::size_t{0}, requestsRun(request));
    }
  }

  /// Guards against a second answer behind the rejection, and against a rejection that is lost in a
  /// reset because the rest of the request arrived behind it.
  void ambiguousRequestIsRejectedOnce() {
    RawClient client(context_, server_->port());
    client.startReading();
    client.send(kPost + "Content-Length : 100000\r\n\r\n" + std::string(100000, 'x') + kInner);
    CPPUNIT_ASSERT(client.waitClosed());
    CPPUNIT_ASSERT(client.received.starts_with("HTTP/1.1 400 "));
    CPPUNIT_ASSERT_EQUAL(std::string::npos, client.received.find("HTTP/1.1", 1));
    CPPUNIT_ASSERT(client.received.ends_with("}}"));
    CPPUNIT_ASSERT(requests_.empty());
  }

 private:
  static std::vector<std::string> wholeRequests() {
    const std::string body = "hello" + kInner;
    return {
        "GET /a HTTP/1.1\r\nX-Name: v\r\n\r\n",
        kPost + lengthOf(body) + "\r\n" + body,
        kPost + "Content-Length: 0\r\nX-Name: v\r\n\r\n",
        kChunked + "5;a=b\r\nhello\r\n17\r\n" + kInner + "\r\n0\r\n\r\n",
        kChunked + "5\r\nhello\r\n17\r\n" + kInner + "\r\n0\r\nX-Sum: 1\r\n\r\n",
    };
  }

  /// \return how many requests the handler got from a connection on which the caller sends only
  ///   these bytes
  std::size_t requestsRun(const std::string& bytes, bool reset = false) {
    requests_.clear();
    RawClient client(context_, server_->port());
    client.startReading();
    client.send(bytes);
    if (reset) {
      context_.restart();
      context_.poll();
      client.reset();
    } else {
      client.shutdownSend();
      CPPUNIT_ASSERT_MESSAGE(bytes, client.waitClosed());
    }
    CPPUNIT_ASSERT(runUntil(context_, [&] { return server_->openRequests() == 0; }));
    context_.restart();
    context_.poll();
    return requests_.size();
  }

  asio::io_context context_;
  ServerSettings settings_;
  std::vector<Request> requests_;
  std::unique_ptr<Server> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutRequestTest);

}  // namespace
}  // namespace cypresswall::http
