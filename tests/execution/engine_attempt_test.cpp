#include "cypresswall/execution/engine_attempt.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace cypresswall::execution {
namespace {

struct RecordingListener final : EngineAttempt::Listener {
  void onAttemptRateLimit(const common::RateLimitNotice&) override {}
  void onAttemptHead(const engines::AnswerHead& head) override { statuses.push_back(head.status); }
  void onAttemptToken(std::uint32_t, const std::string&) override {}
  void onAttemptFinished(const engines::StreamUsage&) override {}
  void onAttemptFailed(engines::StreamFailure, const std::string&) override {}

  std::vector<int> statuses;
};

/// Engine client whose streams never deliver any event.
struct SilentEngines final : engines::EngineClient {
  std::unique_ptr<engines::Stream> startStream(const engines::EngineEndpoint&,
                                               engines::StreamRequest,
                                               engines::StreamHandler&) override {
    return nullptr;
  }
  void sendOrder(const engines::EngineEndpoint&, const engines::EngineOrder&,
                 engines::EngineCallback<engines::OrderReply>) override {}
  void fetchLoad(const engines::EngineEndpoint&,
                 engines::EngineCallback<engines::EngineLoad>) override {}
  void fetchCacheEvents(const engines::EngineEndpoint&, std::uint64_t,
                        engines::EngineCallback<engines::CacheEvents>) override {}
};

class EngineAttemptTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineAttemptTest);
  CPPUNIT_TEST(forwardsOwnHeadOnce);
  CPPUNIT_TEST(headOfPrefillAttemptIsDropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  void forwardsOwnHeadOnce() {
    begin(engines::StreamPhase::kWhole);
    attempt_.onHead(6, {201, {}});
    attempt_.onHead(7, {202, {}});
    attempt_.onHead(7, {203, {}});
    attempt_.onFailed(engines::StreamFailure::kBroken, "gone");
    attempt_.onHead(7, {204, {}});
    CPPUNIT_ASSERT(listener_.statuses == std::vector<int>{202});
    CPPUNIT_ASSERT_EQUAL(3.0, dropped());
  }

  void headOfPrefillAttemptIsDropped() {
    begin(engines::StreamPhase::kPrefillOnly);
    attempt_.onHead(7, {200, {}});
    CPPUNIT_ASSERT(listener_.statuses.empty());
    CPPUNIT_ASSERT_EQUAL(1.0, dropped());
  }

 private:
  void begin(engines::StreamPhase phase) {
    engines::StreamRequest request;
    request.attempt = 7;
    request.phase = phase;
    attempt_.begin(engines_, {"engine-1", "127.0.0.1:1"}, std::move(request));
  }
  double dropped() const {
    return registry_.total("cypresswall_execution_stream_events_dropped_total");
  }

  common::CounterRegistry registry_;
  StreamEventCounters counters_{registry_};
  RecordingListener listener_;
  SilentEngines engines_;
  EngineAttempt attempt_{listener_, counters_};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineAttemptTest);

}  // namespace
}  // namespace cypresswall::execution
