/// Clients that send more than a daemon can hold, or stay connected without finishing. Real daemons
/// must live, stay within the memory and the descriptors of their machines, and go on answering
/// ordinary callers.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/objects_platform/processes/objects_fleet.h"
#include "tests/process/client_crowd.h"
#include "tests/process/process_usage.h"

namespace cypresswall::objects_platform::testing {
namespace {

using cypresswall::testing::ClientCrowd;
using cypresswall::testing::ClientScript;
using cypresswall::testing::httpCall;
using cypresswall::testing::openDescriptors;
using cypresswall::testing::peakResidentBytes;
using cypresswall::testing::unreadBytes;

constexpr std::size_t kNodes = 2;
constexpr std::size_t kMebibyte = std::size_t{1} << 20;
/// The machine of each daemon.
constexpr std::size_t kMachineMegabytes = 96;
constexpr std::size_t kMachineDescriptors = 600;
constexpr std::size_t kConnections = 400;
/// The operator's limit on the body of a request.
constexpr std::size_t kMaximumBodyBytes = kMebibyte;
constexpr std::size_t kLargeChunkBytes = 65536;
/// Bound runs that hang; nothing is concluded from the time that a step takes.
constexpr auto kStartLimit = std::chrono::seconds(12);
constexpr auto kCrowdLimit = std::chrono::seconds(60);
constexpr auto kAnswerLimit = std::chrono::seconds(20);
constexpr int kOk = 200;
constexpr int kTooLarge = 413;
constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";
#ifdef __SANITIZE_ADDRESS__
/// AddressSanitizer keeps freed memory for a while.
constexpr bool kMeasuresMemory = false;
#else
constexpr bool kMeasuresMemory = true;
#endif

std::string chunkOf(std::size_t bytes) {
  constexpr std::size_t kHexDigits = 16;
  char size[kHexDigits];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes);
  return size + std::string(bytes, 'x') + "\r\n";
}

std::string repeated(const std::string& text, std::size_t times) {
  std::string result;
  result.reserve(text.size() * times);
  for (std::size_t i = 0; i < times; ++i) {
    result += text;
  }
  return result;
}

std::string lengthField(std::size_t bytes) {
  return "Content-Length: " + std::to_string(bytes) + "\r\n";
}

class UntrustedClientsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UntrustedClientsTest);
  CPPUNIT_TEST(largeChunksThatStopBeforeTheEnd);
  CPPUNIT_TEST(chunksOfOneByteThatStopBeforeTheEnd);
  CPPUNIT_TEST(chunksOfSixteenBytesThatStopBeforeTheEnd);
  CPPUNIT_TEST(announcedBodiesThatStopBeforeTheEnd);
  CPPUNIT_TEST(manyBodiesOfMediumSizeThatStop);
  CPPUNIT_TEST(chunksWithoutEnd);
  CPPUNIT_TEST(announcedBodiesFarOverTheLimit);
  CPPUNIT_TEST(wholeBodiesOverTheLimit);
  CPPUNIT_TEST(wholeBodiesWithinTheLimitAtOnce);
  CPPUNIT_TEST(answersThatNobodyReads);
  CPPUNIT_TEST(headsWithoutEnd);
  CPPUNIT_TEST(silentConnections);
  CPPUNIT_TEST(bodiesAtTheManagementAddress);
  CPPUNIT_TEST(silentConnectionsAtTheManagementAddress);
  CPPUNIT_TEST(singleRequestsWithinTheLimits);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    auto configuration = nlohmann::json::parse(operatorConfiguration(8));
    configuration["limits"]["max_body_bytes"] = kMaximumBodyBytes;
    fleet_ = std::make_unique<ObjectsFleet>(kNodes, DaemonLimits{kMachineMegabytes, kConnections});
    fleet_->atStore(
        [&](StoreStandin& store) { store.put("config", "main", configuration.dump()); });
    fleet_->startDaemons();
    CPPUNIT_ASSERT(holdsWithin(kStartLimit, [this] { return fleet_->allAreReady(); }));
    CPPUNIT_ASSERT(holdsWithin(kStartLimit, [this] { return answersAnOrdinaryCaller(); }));
  }
  void tearDown() override { fleet_.reset(); }

  void largeChunksThatStopBeforeTheEnd() {
    withstands(200, chunkedBody(chunkOf(kLargeChunkBytes), kMaximumBodyBytes / kLargeChunkBytes - 1,
                                chunkOf(kLargeChunkBytes - 1)));
  }

  void chunksOfOneByteThatStopBeforeTheEnd() {
    constexpr std::size_t kChunksPerBlock = 10000;
    withstands(20, chunkedBody(repeated(chunkOf(1), kChunksPerBlock), 70));
  }

  void chunksOfSixteenBytesThatStopBeforeTheEnd() {
    constexpr std::size_t kChunkBytes = 16;
    constexpr std::size_t kChunksPerBlock = 4096;
    const std::size_t blocks = kMaximumBodyBytes / kChunkBytes / kChunksPerBlock - 1;
    withstands(100, chunkedBody(repeated(chunkOf(kChunkBytes), kChunksPerBlock), blocks,
                                repeated(chunkOf(kChunkBytes), kChunksPerBlock - 1)));
  }

  void announcedBodiesThatStopBeforeTheEnd() {
    withstands(200, {.head = fleet_->plainHead("list", lengthField(kMaximumBodyBytes)),
                     .block = std::string(kLargeChunkBytes, 'x'),
                     .blocks = kMaximumBodyBytes / kLargeChunkBytes - 1,
                     .end = std::string(kLargeChunkBytes - 1, 'x')});
  }

  void manyBodiesOfMediumSizeThatStop() {
    constexpr std::size_t kChunkBytes = 4096;
    constexpr std::size_t kChunks = 64;
    withstands(380, chunkedBody(chunkOf(kChunkBytes), kChunks));
  }

  void chunksWithoutEnd() {
    constexpr std::size_t kSentBytes = 24 * kMebibyte;
    withstands(40, chunkedBody(chunkOf(kLargeChunkBytes), kSentBytes / kLargeChunkBytes));
  }

  void announcedBodiesFarOverTheLimit() {
    constexpr std::size_t kAnnouncedBytes = 10000 * kMebibyte;
    constexpr std::size_t kSentBytes = 8 * kMebibyte;
    withstands(100, {.head = fleet_->plainHead("list", lengthField(kAnnouncedBytes)),
                     .block = std::string(kLargeChunkBytes, 'x'),
                     .blocks = kSentBytes / kLargeChunkBytes});
  }

  /// A body beyond the operator's limit isn't passed on, whoever sends it whole.
  void wholeBodiesOverTheLimit() {
    constexpr std::size_t kSentBytes = 8 * kMebibyte;
    withstands(20,
               chunkedBody(chunkOf(kLargeChunkBytes), kSentBytes / kLargeChunkBytes, "0\r\n\r\n"));
    const auto refused = callWithBody(std::string(kMaximumBodyBytes + 1, 'x'));
    CPPUNIT_ASSERT_EQUAL(kTooLarge, refused.status);
  }

  void wholeBodiesWithinTheLimitAtOnce() {
    withstands(80, {.head = fleet_->plainHead("list?hold_ms=1000", lengthField(kMaximumBodyBytes)),
                    .block = std::string(kLargeChunkBytes, 'x'),
                    .blocks = kMaximumBodyBytes / kLargeChunkBytes});
  }

  void answersThatNobodyReads() {
    const std::string request =
        fleet_->plainHead("list?bytes=" + std::to_string(kMebibyte), lengthField(0));
    constexpr std::size_t kClients = 300;
    withstands(kClients, {.head = request + request, .reads = false}, "", kClients);
  }

  void headsWithoutEnd() {
    constexpr std::size_t kFields = 100000;
    const std::string head = fleet_->plainHead("list");
    withstands(380, {.head = head.substr(0, head.size() - 2),
                     .block = "X-Field: " + std::string(200, 'x') + "\r\n",
                     .blocks = kFields});
  }

  /// More connections than the daemon takes.
  void silentConnections() { withstands(3 * kConnections, {}); }

  void bodiesAtTheManagementAddress() {
    const std::string head = "POST /operators HTTP/1.1\r\n" + std::string(kChunked) + "\r\n";
    withstands(200,
               {.head = head,
                .block = chunkOf(kLargeChunkBytes),
                .blocks = kMaximumBodyBytes / kLargeChunkBytes},
               fleet_->readinessAddress(0));
    CPPUNIT_ASSERT(holdsWithin(kAnswerLimit, [this] { return fleet_->ready(0); }));
  }

  void silentConnectionsAtTheManagementAddress() {
    withstands(3 * kConnections, {}, fleet_->readinessAddress(0));
    CPPUNIT_ASSERT(holdsWithin(kAnswerLimit, [this] { return fleet_->ready(0); }));
  }

  /// Nothing that the limits allow is refused when nothing else happens.
  void singleRequestsWithinTheLimits() {
    const std::string body(kMaximumBodyBytes, 'x');
    const auto answer = callWithBody(body);
    CPPUNIT_ASSERT_EQUAL(kOk, answer.status);
    CPPUNIT_ASSERT(answer.body == body);
    for (const std::size_t chunk :
         {std::size_t{1}, std::size_t{16}, kLargeChunkBytes, body.size()}) {
      const std::size_t chunks = body.size() / chunk;
      ClientCrowd client(fleet_->frontAddress(0), 1,
                         chunkedBody(repeated(chunkOf(chunk), chunks), 1, "0\r\n\r\n"));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(chunk),
                             holdsWithin(kAnswerLimit, [&] { return client.answered(kOk) == 1; }));
    }
    const std::string long_field(12000, 'x');
    ClientCrowd client(
        fleet_->frontAddress(0), 1,
        {.head = fleet_->plainHead("list", "X-Field: " + long_field + "\r\n" + lengthField(0))});
    CPPUNIT_ASSERT(holdsWithin(kAnswerLimit, [&] { return client.answered(kOk) == 1; }));
    checkDaemons();
  }

 private:
  ClientScript chunkedBody(std::string block, std::size_t blocks, std::string end = "") {
    return {.head = fleet_->plainHead("list", kChunked),
            .block = std::move(block),
            .blocks = blocks,
            .end = std::move(end)};
  }

  HttpAnswer callWithBody(const std::string& body) {
    return httpCall(
        "POST", fleet_->frontAddress(0), "/slots/list?echo=1", body,
        {{"Host", "a.example"}, {"X-Request-Id", fleet_->newRequest()}, {"X-Deadline-Ms", "5000"}});
  }

  bool answersAnOrdinaryCaller() { return fleet_->callPlain(0).status == kOk; }

  /// Checks node 0 before a crowd that stays connected while an ordinary caller comes. Waits until
  /// the daemon has read all, and runners have run `least_runs` requests.
  void withstands(std::size_t clients, ClientScript script, const std::string& address = "",
                  std::size_t least_runs = 0) {
    ClientCrowd crowd(address.empty() ? fleet_->frontAddress(0) : address, clients,
                      std::move(script));
    crowd.waitUntilSettled(kCrowdLimit, [this] { noteDescriptors(); });
    holdsWithin(kCrowdLimit, [&] {
      noteDescriptors();
      return runs() >= least_runs && unreadBytes(fleet_->daemon(0).id()) == 0;
    });
    const bool answered = holdsWithin(kAnswerLimit, [this] { return answersAnOrdinaryCaller(); });
    noteDescriptors();
    checkDaemons();
    CPPUNIT_ASSERT_MESSAGE("no ordinary caller was answered", answered);
  }

  /// \return the number of requests that runners have run
  std::size_t runs() const {
    std::size_t sum = 0;
    for (const auto& runner : fleet_->runners()) {
      sum += runner->runs();
    }
    return sum;
  }

  void noteDescriptors() {
    most_descriptors_ = std::max(most_descriptors_, openDescriptors(fleet_->daemon(0).id()));
  }

  void checkDaemons() {
    const auto endings = fleet_->endings();
    CPPUNIT_ASSERT_MESSAGE(endings.empty() ? "" : endings.front(), endings.empty());
    for (std::size_t node = 0; node < kNodes; ++node) {
      const std::size_t peak = peakResidentBytes(fleet_->daemon(node).id()) / kMebibyte;
      const std::string taken = "node " + std::to_string(node) + " took " + std::to_string(peak) +
                                " of " + std::to_string(kMachineMegabytes) + " MiB";
      std::cout << "\n" << taken << ", " << most_descriptors_ << " descriptors\n";
      CPPUNIT_ASSERT_MESSAGE(taken, peak > 0 && (!kMeasuresMemory || peak <= kMachineMegabytes));
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(most_descriptors_) + " descriptors",
                           most_descriptors_ <= kMachineDescriptors);
  }

  std::unique_ptr<ObjectsFleet> fleet_;
  std::size_t most_descriptors_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UntrustedClientsTest);

}  // namespace
}  // namespace cypresswall::objects_platform::testing
