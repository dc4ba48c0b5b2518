#include "platform/relayed_watch.h"

#include <memory>
#include <string>

#include "platform/runner_registry.h"
#include "tests/objects_platform/fake_store.h"
#include "tests/support/engine_world.h"
#include "tests/support/property.h"

namespace cypresswall::objects_platform {
namespace {

using cypresswall::testing::SettableMembership;
using std::chrono::milliseconds;
using std::chrono::seconds;
using store_relay::Topic;
using testing::eventsJson;
using testing::objectJson;
using testing::pageJson;

constexpr const char* kRunner =
    R"({"service": "s", "address": "10.9.0.1:80", "zone": "z", "slots": 2, "state": "ready"})";

/// One node with its store calls, runner registry and relay.
struct RelayNode {
  RelayNode(simulation::Simulation& simulation, const common::Address& address)
      : process(simulation.start(address, "z")),
        membership(process.id(), "z"),
        runners(process.context()),
        incarnation(process.context()),
        relay(settings(), process.context(), membership, incarnation),
        watch(Topic::kListedEngines, "servers", {}, process.context(), store, runners) {
    watch.joinRelay(relay);
  }
  static store_relay::StoreRelaySettings settings() {
    store_relay::StoreRelaySettings settings;
    settings.readers = 1;
    return settings;
  }

  simulation::SimulatedProcess& process;
  testing::FakeStore store;
  SettableMembership membership;
  RunnerRegistry runners;
  store_relay::StoreIncarnation incarnation;
  store_relay::StoreRelay relay;
  RelayedWatch watch;
};

class RelayedWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayedWatchTest);
  CPPUNIT_TEST(runnersReachNodesThatDoNotRead);
  CPPUNIT_TEST(malformedContentYieldsNoRunner);
  CPPUNIT_TEST(pendingStoreAnswerIsAwaited);
  CPPUNIT_TEST(oversizedReplyIsNotRequestedDuringStoreCall);
  CPPUNIT_TEST(staleStoreAnswerKeepsBaseOfDifferences);
  CPPUNIT_TEST(rejectsInapplicableDifferences);
  CPPUNIT_TEST(readersCallTimeLimitCoversLargeAnswers);
  CPPUNIT_TEST(refreshReadsWhatReadersHaveNotAnnounced);
  CPPUNIT_TEST(failedRefreshConfirmsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void runnersReachNodesThatDoNotRead() {
    begin();
    reader_->store.answer(200, eventsJson(9, {{objectJson("i-1", 9, kRunner), false}}));
    simulation_.time().runFor(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, other_->watch.revision());
    CPPUNIT_ASSERT(other_->runners.findById("i-1") != nullptr);
    CPPUNIT_ASSERT_EQUAL(common::Address("10.9.0.1:80"), other_->runners.findById("i-1")->address);
    reader_->store.answer(200, eventsJson(11, {{objectJson("i-1", 11), true}}));
    simulation_.time().runFor(milliseconds(10));
    CPPUNIT_ASSERT(other_->runners.findById("i-1") == nullptr);
    CPPUNIT_ASSERT(other_->store.calls.empty());
  }

  void malformedContentYieldsNoRunner() {
    begin();
    other_->watch.applyPeerChanges({{"i-2", 8, false, "{"}, {"i-3", 9, false, kRunner}}, 9);
    CPPUNIT_ASSERT(other_->runners.findById("i-2") == nullptr);
    CPPUNIT_ASSERT(other_->runners.findById("i-3") != nullptr);
  }

  // Guards against a node that serves an outdated version for seconds (5 s were seen). A change too
  // large for a reader's reply has to be read from the store, which takes seconds on a busy link.
  // Each further announcement makes the node ask a reader again, which cannot send the change
  // either, and the pending store call must not be replaced by a new one then.
  void pendingStoreAnswerIsAwaited() {
    begin();
    announceLargeChange();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other_->store.calls.size());
    runWithReader(seconds(2));
    other_->store.answer(200, eventsJson(9, {{objectJson("i-1", 9, large_), false}}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, other_->watch.revision());
  }

  void oversizedReplyIsNotRequestedDuringStoreCall() {
    begin();
    announceLargeChange();
    runWithReader(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other_->store.calls.size());
  }

  /// The store may have answered a node's own call before the change that a peer sent meanwhile.
  void staleStoreAnswerKeepsBaseOfDifferences() {
    begin();
    other_->watch.fetchFromStore();
    store_relay::ChangePacker peer;
    const auto version = [](int number) {
      return wire::Json{{"version", number}, {"filler", std::string(5000, 'x')}};
    };
    CPPUNIT_ASSERT(other_->watch.applyPeerChanges({peer.packPut("main", 9, version(1))}, 9));
    CPPUNIT_ASSERT(other_->watch.applyPeerChanges({peer.packPut("main", 11, version(2))}, 11));
    other_->store.answer(200, eventsJson(9, {{objectJson("main", 9, version(1).dump()), false}}));
    CPPUNIT_ASSERT(other_->watch.applyPeerChanges({peer.packPut("main", 13, version(3))}, 13));
  }

  void rejectsInapplicableDifferences() {
    begin();
    store_relay::ChangePacker peer;
    const wire::Json content = {{"filler", std::string(5000, 'x')}};
    CPPUNIT_ASSERT(other_->watch.applyPeerChanges({peer.packPut("main", 9, content)}, 9));
    store_relay::StoreChange broken{"main", 11, false, "?"};
    broken.encoding = store_relay::ContentEncoding::kPackedDifference;
    broken.base_revision = 9;
    CPPUNIT_ASSERT(!other_->watch.applyPeerChanges({broken}, 11));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, other_->watch.revision());
  }

  /// Guards against a node that takes its list for the present one: it heard of no change, since it
  /// was cut off from the readers.
  void refreshReadsWhatReadersHaveNotAnnounced() {
    begin();
    std::vector<bool> results;
    other_->watch.refresh([&](bool current) { results.push_back(current); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other_->store.calls.size());
    CPPUNIT_ASSERT(other_->store.targets.back().ends_with("&wait_ms=1"));
    CPPUNIT_ASSERT(results.empty());
    other_->store.answer(200, eventsJson(9, {{objectJson("i-1", 9, kRunner), false}}));
    CPPUNIT_ASSERT(results == std::vector<bool>{true});
    CPPUNIT_ASSERT(other_->runners.findById("i-1") != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, other_->watch.revision());
    other_->watch.refresh([&](bool current) { results.push_back(current); });
    other_->watch.applyPeerChanges({}, 11);
    other_->store.answer(200, eventsJson(10, {}));
    CPPUNIT_ASSERT((results == std::vector<bool>{true, true}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{11}, other_->watch.revision());
  }

  void failedRefreshConfirmsNothing() {
    begin();
    std::vector<bool> results;
    const auto record = [&](bool current) { results.push_back(current); };
    other_->watch.refresh(record);
    other_->store.fail(runtime::CurlOutcome::kBroken);
    other_->watch.refresh(record);
    other_->store.answer(410, "{}");
    other_->watch.refresh(record);
    other_->watch.beginIncarnation();
    other_->store.answer(200, eventsJson(9, {}));
    other_->watch.refresh(record);
    CPPUNIT_ASSERT((results == std::vector<bool>{false, false, false, false}));
  }

  /// A configuration of 1,900 routes has some 460 KB. A call aborted before its answer is complete
  /// is retried and aborted again.
  void readersCallTimeLimitCoversLargeAnswers() {
    begin();
    constexpr double kLargeBytes = 460e3;
    const store_relay::StoreRelaySettings settings;
    const double transfer = kLargeBytes / static_cast<double>(settings.slow_bytes_per_second);
    const auto limit = reader_->store.calls.back().request.total_time_limit;
    CPPUNIT_ASSERT(limit == common::Duration{0} ||
                   limit >= settings.reader_poll_time + common::fromSeconds(transfer));
  }

 private:
  /// The reader reads a change that is too large for a reply to its peers.
  void announceLargeChange() {
    std::string filler;
    while (filler.size() < 400'000) {
      filler += "0123456789abcdef"[random_.below(16)];
    }
    large_ = R"({"filler": ")" + filler + R"("})";
    reader_->store.answer(200, eventsJson(9, {{objectJson("i-1", 9, large_), false}}));
    simulation_.time().runFor(milliseconds(10));
  }
  /// Advances time; the store keeps answering the reader that nothing changed.
  void runWithReader(common::Duration time) {
    constexpr auto kStep = milliseconds(100);
    for (common::Duration passed{0}; passed < time; passed += kStep) {
      simulation_.time().runFor(kStep);
      if (!reader_->store.calls.empty()) {
        reader_->store.answer(200, eventsJson(9, {}));
      }
    }
  }

  /// Both nodes have listed at revision 7, and one of them reads the store for both.
  void begin() {
    const std::vector<membership::Member> members = {
        {first_.process.id(), "", membership::MemberState::kAlive, ""},
        {second_.process.id(), "", membership::MemberState::kAlive, ""}};
    for (RelayNode* const node : {&first_, &second_}) {
      node->membership.setMembers(members);
      node->watch.fetchFromStore();
      node->store.answer(200, pageJson(7, {}));
      node->relay.start();
    }
    const bool first_reads =
        first_.relay.pollTime(Topic::kListedEngines) == RelayNode::settings().reader_poll_time;
    reader_ = first_reads ? &first_ : &second_;
    other_ = first_reads ? &second_ : &first_;
    simulation_.time().runFor(milliseconds(400));
    other_->store.answer(200, eventsJson(7, {}));
    CPPUNIT_ASSERT(!other_->watch.callPending());
  }

  common::SeededRandom random_{7};
  std::string large_;
  simulation::Simulation simulation_{1};
  RelayNode first_{simulation_, "10.0.0.1:7000"};
  RelayNode second_{simulation_, "10.0.0.2:7000"};
  RelayNode* reader_ = nullptr;
  RelayNode* other_ = nullptr;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayedWatchTest);

}  // namespace
}  // namespace cypresswall::objects_platform
