#include "cypresswall/emulation/weight_store.h"
#include "tests/emulation/engine_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::emulation {
namespace {

using engines::EngineRole;
using engines::OrderVerdict;
using std::chrono::milliseconds;
using std::chrono::seconds;

class EngineChangesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineChangesTest);
  CPPUNIT_TEST(fenceReturnsAVerdictForEveryKindOfOrder);
  CPPUNIT_TEST(onlyIfIdleCutsNothing);
  CPPUNIT_TEST(changeWithoutOnlyIfIdleCutsStreams);
  CPPUNIT_TEST(roleChangeMakesTheEngineUnavailable);
  CPPUNIT_TEST(modelLoadWaitsForTheWeights);
  CPPUNIT_TEST(crashInMidChangeKeepsTheOldRole);
  CPPUNIT_TEST(restartResetsTheFenceButRefusesOldOrders);
  CPPUNIT_TEST(staleEpochsNeverTakeEffect);
  CPPUNIT_TEST_SUITE_END();

 public:
  void fenceReturnsAVerdictForEveryKindOfOrder() {
    EmulatedEngine& engine = fixture_.addEngine({});
    const auto first = EngineFixture::order(2, 1, EngineRole::kPrefill);
    CPPUNIT_ASSERT(engine.handleOrder(first)->verdict == OrderVerdict::kAccepted);
    CPPUNIT_ASSERT(engine.handleOrder(first)->verdict == OrderVerdict::kDuplicate);
    CPPUNIT_ASSERT(evaluate(engine, 2, 1, EngineRole::kDecode) == OrderVerdict::kConflict);
    CPPUNIT_ASSERT(evaluate(engine, 2, 2, EngineRole::kDecode) == OrderVerdict::kBusy);
    CPPUNIT_ASSERT(evaluate(engine, 1, 9, EngineRole::kDecode) == OrderVerdict::kStaleEpoch);
    auto fence = EngineFixture::order(3, 1, EngineRole::kMixed);
    fence.content.kind = engines::OrderKind::kRaiseFence;
    CPPUNIT_ASSERT(engine.handleOrder(fence)->verdict == OrderVerdict::kAccepted);
    CPPUNIT_ASSERT(engine.handleOrder(fence)->in_progress);
    CPPUNIT_ASSERT(evaluate(engine, 2, 2, EngineRole::kDecode) == OrderVerdict::kStaleEpoch);
    fixture_.time.runFor(seconds(10));
    CPPUNIT_ASSERT(evaluate(engine, 3, 2, EngineRole::kDecode) == OrderVerdict::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, engine.ledger().orders.size());
  }

  void onlyIfIdleCutsNothing() {
    EmulatedEngine& engine = fixture_.addEngine({});
    RecordingObserver observer(fixture_.time);
    engine.startStream(EngineFixture::request("a", 10, 50), observer);
    CPPUNIT_ASSERT(evaluate(engine, 1, 1, EngineRole::kPrefill) == OrderVerdict::kBusy);
    fixture_.time.runFor(seconds(10));
    CPPUNIT_ASSERT(observer.finished);
    CPPUNIT_ASSERT(evaluate(engine, 1, 1, EngineRole::kPrefill) == OrderVerdict::kAccepted);
  }

  void changeWithoutOnlyIfIdleCutsStreams() {
    EmulatedEngine& engine = fixture_.addEngine({});
    RecordingObserver observer(fixture_.time);
    engine.startStream(EngineFixture::request("a", 10, 50), observer);
    fixture_.time.runFor(milliseconds(100));
    auto order = EngineFixture::order(1, 1, EngineRole::kPrefill);
    order.content.only_if_idle = false;
    CPPUNIT_ASSERT(engine.handleOrder(order)->verdict == OrderVerdict::kAccepted);
    CPPUNIT_ASSERT(observer.broken);
    CPPUNIT_ASSERT(engine.ledger().streams[0].end == StreamEnd::kCutByOrder);
  }

  void roleChangeMakesTheEngineUnavailable() {
    EmulatedEngine& engine = fixture_.addEngine({});
    RecordingObserver observer(fixture_.time);
    engine.handleOrder(EngineFixture::order(1, 1, EngineRole::kDecode));
    fixture_.time.runFor(seconds(3));
    CPPUNIT_ASSERT(engine.load()->state == engines::EngineState::kChanging);
    CPPUNIT_ASSERT(engine.load()->role == EngineRole::kMixed);
    CPPUNIT_ASSERT(engine.startStream(EngineFixture::request("a", 1, 1), observer).result ==
                   StartResult::kRefused);
    fixture_.time.runFor(seconds(2));
    CPPUNIT_ASSERT(engine.load()->state == engines::EngineState::kReady);
    CPPUNIT_ASSERT(engine.load()->role == EngineRole::kDecode);
    CPPUNIT_ASSERT(engine.ledger().unavailable_time == seconds(4));
  }

  void modelLoadWaitsForTheWeights() {
    WeightStoreSettings weight_settings;
    weight_settings.bytes_per_second = 1e9;
    weight_settings.maximum_transfers = 1;
    EmulatedWeightStore weights(weight_settings, fixture_.time, fixture_.time);
    weights.setSize("weights://model/2", 10'000'000'000);
    EngineSettings settings;
    settings.model = "model";
    settings.version = "1";
    EmulatedEngine first(settings, fixture_.time, fixture_.time, fixture_.random, &weights,
                         nullptr);
    EmulatedEngine second(settings, fixture_.time, fixture_.time, fixture_.random, &weights,
                          nullptr);
    auto order = EngineFixture::order(1, 1, EngineRole::kMixed);
    order.content.kind = engines::OrderKind::kLoadModel;
    order.content.model = "model";
    order.content.version = "2";
    first.handleOrder(order);
    second.handleOrder(order);
    fixture_.time.runFor(seconds(14));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), first.load()->version);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), second.load()->version);
    fixture_.time.runFor(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::string("2"), second.load()->version);
  }

  void crashInMidChangeKeepsTheOldRole() {
    EmulatedEngine& engine = fixture_.addEngine({});
    EngineFaults faults;
    faults.crash_in_next_change = true;
    engine.setFaults(faults);
    engine.handleOrder(EngineFixture::order(1, 1, EngineRole::kDecode));
    fixture_.time.runFor(seconds(3));
    CPPUNIT_ASSERT(engine.down() && !engine.load());
    fixture_.time.runFor(seconds(5));
    CPPUNIT_ASSERT(engine.load()->role == EngineRole::kMixed);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, engine.load()->incarnation);
  }

  void restartResetsTheFenceButRefusesOldOrders() {
    EmulatedEngine& engine = fixture_.addEngine({});
    engine.handleOrder(EngineFixture::order(5, 1, EngineRole::kDecode));
    engine.crash();
    fixture_.time.runFor(seconds(10));
    CPPUNIT_ASSERT(engine.load()->highest_epoch == common::Epoch{});
    CPPUNIT_ASSERT(evaluate(engine, 4, 1, EngineRole::kDecode) == OrderVerdict::kWrongIncarnation);
  }

  void staleEpochsNeverTakeEffect() {
    testing::requireProperty("accepted orders rise in (epoch, sequence)", 300, [] {
      EngineFixture fixture;
      EngineSettings settings;
      settings.role_change_time = milliseconds(10);
      EmulatedEngine& engine = fixture.addEngine(settings);
      const auto count = *rc::gen::inRange(1, 40);
      for (int index = 0; index < count; ++index) {
        auto order = EngineFixture::order(
            *rc::gen::inRange(1, 4), *rc::gen::inRange(0, 4),
            *rc::gen::element(EngineRole::kMixed, EngineRole::kPrefill, EngineRole::kDecode));
        engine.handleOrder(order);
        fixture.time.runFor(milliseconds(*rc::gen::inRange(0, 20)));
      }
      const OrderEntry* last = nullptr;
      for (const OrderEntry& entry : engine.ledger().orders) {
        if (entry.verdict != OrderVerdict::kAccepted) {
          continue;
        }
        if (last != nullptr) {
          RC_ASSERT(std::pair(last->order.epoch, last->order.sequence) <
                    std::pair(entry.order.epoch, entry.order.sequence));
        }
        last = &entry;
      }
    });
  }

 private:
  static OrderVerdict evaluate(EmulatedEngine& engine, std::uint32_t term, std::uint64_t sequence,
                               EngineRole role) {
    return engine.handleOrder(EngineFixture::order(term, sequence, role))->verdict;
  }

  EngineFixture fixture_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineChangesTest);

}  // namespace
}  // namespace cypresswall::emulation
