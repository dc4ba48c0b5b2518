/// Changes of engines that finish running streams before a change, count accepted orders and may
/// execute an order seconds late.
#include "cypresswall/orders/engine_control.h"

#include <vector>

#include "tests/orders/zone_fixture.h"
#include "tests/support/property.h"

namespace cypresswall::orders {
namespace {

using namespace std::chrono_literals;
using engines::EngineRole;
using engines::OrderVerdict;
using testing::ZoneFixture;

constexpr common::Duration kChangeTime = 1100ms;
constexpr common::Duration kLateDelay = 2s;

/// Fake client of one such engine.
class CountingEngine final : public engines::EngineClient {
 public:
  explicit CountingEngine(simulation::SimulatedProcess& process) : process_(process) {}

  std::unique_ptr<engines::Stream> startStream(const engines::EngineEndpoint&,
                                               engines::StreamRequest,
                                               engines::StreamHandler&) override {
    return nullptr;
  }
  void fetchCacheEvents(const engines::EngineEndpoint&, std::uint64_t,
                        engines::EngineCallback<engines::CacheEvents>) override {}
  void fetchLoad(const engines::EngineEndpoint&,
                 engines::EngineCallback<engines::EngineLoad> callback) override {
    engines::EngineLoad load;
    load.incarnation = incarnation;
    load.role = role;
    load.running_streams = running;
    load.waiting_streams = waiting;
    load.last_sequence = orders_taken;
    load.order_in_progress = changing_;
    if (orders_taken != kOrdersBefore && outdated_reports > 0) {
      --outdated_reports;
      load.last_sequence = kOrdersBefore;
      load.order_in_progress = false;
    }
    process_.deliverAfter(1ms, [load, callback = std::move(callback)] { callback(load); });
  }
  void sendOrder(const engines::EngineEndpoint&, const engines::EngineOrder& order,
                 engines::EngineCallback<engines::OrderReply> callback) override {
    if (order.content.kind == engines::OrderKind::kRaiseFence) {
      answer(OrderVerdict::kAccepted, std::move(callback));
      return;
    }
    orders.push_back(order);
    if (late_orders > 0) {
      --late_orders;
      process_.deliverAfter(kLateDelay, [this, order] { take(order); });
      fail(std::move(callback));
      return;
    }
    const OrderVerdict verdict = stale ? OrderVerdict::kStaleEpoch : take(order);
    if (lost_answers > 0) {
      --lost_answers;
      fail(std::move(callback));
      return;
    }
    answer(verdict, std::move(callback));
  }

  std::uint64_t incarnation = 7;
  EngineRole role = EngineRole::kDecode;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  static constexpr std::uint64_t kOrdersBefore = 3;
  std::uint64_t orders_taken = kOrdersBefore;
  /// Number of reports after an order that still describe the state before it.
  int outdated_reports = 0;
  int lost_answers = 0;
  int late_orders = 0;
  bool stale = false;
  std::vector<engines::EngineOrder> orders;

 private:
  OrderVerdict take(const engines::EngineOrder& order) {
    if (changing_ || order.orders_taken != orders_taken) {
      return OrderVerdict::kBusy;
    }
    ++orders_taken;
    changing_ = true;
    process_.deliverAfter(kChangeTime, [this, wanted = order.content.role] {
      changing_ = false;
      role = wanted;
    });
    return OrderVerdict::kAccepted;
  }
  void answer(OrderVerdict verdict, engines::EngineCallback<engines::OrderReply> callback) {
    engines::OrderReply reply;
    reply.verdict = verdict;
    process_.deliverAfter(1ms, [reply, callback = std::move(callback)] { callback(reply); });
  }
  void fail(engines::EngineCallback<engines::OrderReply> callback) {
    process_.deliverAfter(100ms, [callback = std::move(callback)] {
      callback(common::Failure<engines::EngineFailure>{engines::EngineFailure::kUnknownOutcome,
                                                       "no answer"});
    });
  }

  simulation::SimulatedProcess& process_;
  bool changing_ = false;
};

/// Always holds one epoch and records calls of superseded().
class HeldAuthority final : public lease::AuthorityView {
 public:
  std::optional<common::Epoch> heldEpoch() const override { return epoch; }
  common::NodeId believedHolder() const override { return {}; }
  void onChange(std::function<void(std::optional<common::Epoch>)>) override {}
  void superseded(const common::Epoch& by_later_than) override {
    superseded_epochs.push_back(by_later_than);
  }

  common::Epoch epoch{0, 4};
  std::vector<common::Epoch> superseded_epochs;
};

class EngineControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineControlTest);
  CPPUNIT_TEST(ordersWhileStreamsRun);
  CPPUNIT_TEST(waitsForQueuedPrompts);
  CPPUNIT_TEST(lostReplyIsResolvedByLoadReport);
  CPPUNIT_TEST(outdatedReportDoesNotEndTheChange);
  CPPUNIT_TEST(lateOrderHasNoSecondEffect);
  CPPUNIT_TEST(foreignOrderEndsTheChange);
  CPPUNIT_TEST(restartEndsTheChange);
  CPPUNIT_TEST(staleEpochReplyIsReportedToAuthority);
  CPPUNIT_TEST(unresponsiveNodesDoNotBlockChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    zone_ = std::make_unique<ZoneFixture>(1, 2, 1);
    zone_->loseLease();
    zone_->streams_enabled = false;
    zone_->run(500ms);
    auto& process = *zone_->nodes[0].process;
    context_ = std::make_unique<api::ProcessContext>(process.context());
    settings_ = {};
    settings_.order.engines_finish_streams = true;
    engine_ = std::make_unique<CountingEngine>(process);
    authority_ = {};
    ended_.clear();
    follower_ =
        std::make_unique<DrainFollower>(settings_.drain, *context_, *zone_->nodes[0].directory);
    drains_ = std::make_unique<DrainTable>(settings_.drain, *context_, *zone_->nodes[0].membership,
                                           zone_->nodes[0].directory->groups(), *follower_);
    drains_->begin(authority_.epoch);
    control_ = std::make_unique<EngineControl>(
        settings_, *context_, authority_, *engine_, *drains_,
        engines::EngineEndpoint{ZoneFixture::nameOf(0), ZoneFixture::nameOf(0) + ":1"},
        authority_.epoch, [this](const ChangeRecord& record) { ended_.push_back(record); });
    run(300ms);
    CPPUNIT_ASSERT(control_->phase() == ControlPhase::kIdle);
  }
  void tearDown() override {
    zone_->simulation.kill(*zone_->nodes[0].process);
    control_.reset();
    drains_.reset();
    follower_.reset();
    engine_.reset();
    zone_.reset();
  }

  void ordersWhileStreamsRun() {
    engine_->running = 3;
    change();
    run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine_->orders.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, engine_->orders.front().orders_taken);
    run(2s);
    requireDone();
  }

  void waitsForQueuedPrompts() {
    engine_->waiting = 2;
    change();
    run(3s);
    CPPUNIT_ASSERT(engine_->orders.empty());
    engine_->waiting = 0;
    run(3s);
    requireDone();
  }

  void lostReplyIsResolvedByLoadReport() {
    engine_->lost_answers = 1;
    change();
    run(5s);
    requireDone();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, engine_->orders_taken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, engine_->orders.size());
  }

  /// Load reports may be older than their stated age, so the old role in a report does not prove
  /// that the order failed.
  void outdatedReportDoesNotEndTheChange() {
    engine_->outdated_reports = 3;
    change();
    run(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine_->orders.size());
    CPPUNIT_ASSERT(ended_.empty());
    run(3s);
    requireDone();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine_->orders.size());
  }

  void lateOrderHasNoSecondEffect() {
    engine_->late_orders = 1;
    change();
    run(8s);
    requireDone();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, engine_->orders_taken);
  }

  void foreignOrderEndsTheChange() {
    engine_->late_orders = 1;
    change();
    run(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine_->orders.size());
    engine_->orders_taken = 9;
    run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended_.size());
    CPPUNIT_ASSERT(ended_.front().outcome == ChangeOutcome::kRefused);
    CPPUNIT_ASSERT(engine_->role == EngineRole::kDecode);
  }

  void restartEndsTheChange() {
    engine_->lost_answers = 1;
    change();
    run(200ms);
    engine_->incarnation = 8;
    run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended_.size());
    CPPUNIT_ASSERT(ended_.front().outcome == ChangeOutcome::kEngineRestarted);
  }

  void staleEpochReplyIsReportedToAuthority() {
    engine_->stale = true;
    change();
    run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, authority_.superseded_epochs.size());
    CPPUNIT_ASSERT(control_->phase() == ControlPhase::kFencedOut);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine_->orders.size());
  }

  void unresponsiveNodesDoNotBlockChange() {
    zone_->simulation.pauseFor(*zone_->nodes[1].process, 10s);
    change();
    run(500ms);
    CPPUNIT_ASSERT(engine_->orders.empty());
    run(3s);
    requireDone();
  }

 private:
  void change() {
    PlannedChange planned;
    planned.content.kind = engines::OrderKind::kChangeRole;
    planned.content.role = EngineRole::kPrefill;
    control_->start(planned);
  }
  void run(common::Duration length) {
    for (common::Duration passed{0}; passed < length; passed += 20ms) {
      control_->tick();
      zone_->run(20ms);
    }
  }
  void requireDone() {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended_.size());
    CPPUNIT_ASSERT(ended_.front().outcome == ChangeOutcome::kDone);
    CPPUNIT_ASSERT(engine_->role == EngineRole::kPrefill);
  }

  std::unique_ptr<ZoneFixture> zone_;
  std::unique_ptr<api::ProcessContext> context_;
  ControllerSettings settings_;
  HeldAuthority authority_;
  std::unique_ptr<CountingEngine> engine_;
  std::unique_ptr<DrainFollower> follower_;
  std::unique_ptr<DrainTable> drains_;
  std::vector<ChangeRecord> ended_;
  std::unique_ptr<EngineControl> control_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineControlTest);

}  // namespace
}  // namespace cypresswall::orders
