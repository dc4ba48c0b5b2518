/// Placement of output on engines of different speed, without a network: the output of an engine
/// slows down with each of its streams, engines differ by a factor of 2.4 for good, and some of
/// them slow down by a factor of 2.5 for half a second at a time. Load reports are 0.2 s old.
#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>

#include "cypresswall/routing/cost_router.h"
#include "tests/support/engine_world.h"
#include "tests/support/property.h"

namespace cypresswall::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kModel = "m";
constexpr int kEngines = 14;
/// Engines that compute the long prompts; the others generate output.
constexpr int kPrefillEngines = 2;
constexpr std::uint32_t kBatch = 48;
/// Declared tokens of an answer for each token that the caller receives.
constexpr double kTokensPerDelivery = 15;
constexpr common::Duration kTick = milliseconds(10);
constexpr common::Duration kReportLag = milliseconds(200);
constexpr double kPauseLimit = 0.3;
/// Prompts, which the engine of the output computes between its steps, begin with one of these.
constexpr std::uint64_t kSharedParts = 16;
constexpr std::uint32_t kSharedTokens = 500;
constexpr std::uint32_t kPromptTokens = 560;
constexpr double kPromptTokensPerSecond = 24000;

struct LoadCase {
  bool learns = true;
  /// Seconds between two tokens with no stream, and for each stream.
  double base = 0.039;
  double per_stream = 0.0018;
  std::vector<double> factors = {0.7, 0.7, 1.7};
  bool spells = true;
  /// Load as a share of what all engines can do with full batches.
  double utilisation = 0.7;
};

struct Outcome {
  int ended = 0;
  int late = 0;
  int refused = 0;
  /// Streams that were given to an engine beyond its batch while another had room.
  int beyond_batch = 0;
};

/// One owner that places all streams, and the engines' output.
class UnevenEngines {
 public:
  explicit UnevenEngines(const LoadCase& load, std::uint64_t seed = 1)
      : load_(load), simulation_(seed), random_(seed) {
    for (int i = 0; i < kEngines; ++i) {
      const std::string name = nameOf(i);
      testing::declareEngine(fleet_, name, kModel);
      engines::EngineLoad& report = reports_[name + ":1"].load;
      const bool prefill = i < kPrefillEngines;
      report = testing::idleLoad(
          kModel, prefill ? engines::EngineRole::kPrefill : engines::EngineRole::kDecode);
      report.maximum_streams = kBatch;
      report.decode_step_base = milliseconds(5);
      report.decode_step_per_stream = std::chrono::microseconds(30);
      report.age = kReportLag / 2;
      report.prefill_tokens_per_second =
          prefill ? 2 * kPromptTokensPerSecond : kPromptTokensPerSecond;
      engines_.push_back(
          {load.factors[static_cast<std::size_t>(i) % load.factors.size()], {}, {}, 0});
    }
    auto& process = simulation_.start("10.0.0.1:7000", "z");
    auto& configuration = process.emplace<testing::SettableConfiguration>();
    auto& membership = process.emplace<testing::SettableMembership>(process.id(), "z");
    auto& client = process.emplace<testing::ScriptedEngineClient>(process, reports_);
    auto& directory = process.emplace<EngineDirectory>(DirectorySettings{}, process.context(),
                                                       client, configuration, membership);
    RouterSettings settings;
    settings.engine_speed.enabled = load.learns;
    router = &process.emplace<CostRouter>(settings, process.context(), directory);
    directory.start();
    membership.setMembers({process.id()});
    configuration.set(fleet_);
    simulation_.time().runFor(seconds(1));
  }

  Outcome run(common::Duration time) {
    outcome_ = {};
    const double rate = load_.utilisation * capacity() / kMeanDeliveries;
    const auto end = simulation_.time().now() + time;
    while (simulation_.time().now() < end) {
      due_ += rate * common::toSeconds(kTick);
      for (; due_ >= 1; due_ -= 1) {
        begin();
      }
      simulation_.time().runFor(kTick);
      advance();
      report();
    }
    return outcome_;
  }

  CostRouter* router = nullptr;

 private:
  static constexpr double kMeanDeliveries = 25;

  struct Stream {
    std::string id;
    double deliveries = 0;
    double delivered = 0;
    double gap = 0;
    double longest = 0;
    double seconds = 0;
  };
  struct Engine {
    double factor = 1;
    std::vector<Stream> streams;
    std::deque<std::uint32_t> history;
    /// Seconds to compute the prompts that were sent to the engine.
    double prompts = 0;
  };

  static std::string nameOf(int i) {
    std::string name = "e";
    return name.append(std::to_string(100 + i));
  }
  double now() { return common::toSeconds(simulation_.time().now().time_since_epoch()); }

  /// \return tokens per second of all engines with full batches
  double capacity() const {
    double sum = 0;
    for (int i = kPrefillEngines; i < kEngines; ++i) {
      const double step = load_.base + load_.per_stream * kBatch;
      sum += kBatch / (step * engines_[static_cast<std::size_t>(i)].factor);
    }
    return sum;
  }

  /// Every third engine has a spell of half a second in each 3.5 s.
  double stepOf(int index) {
    const Engine& engine = engines_[static_cast<std::size_t>(index)];
    constexpr double kPeriod = 3.5;
    constexpr double kSpell = 0.5;
    const double phase = std::fmod(now() + 0.37 * index, kPeriod);
    const bool slow = load_.spells && index % 2 == 0 && phase < kSpell;
    const double streams =
        static_cast<double>(std::min<std::size_t>(engine.streams.size(), kBatch));
    return engine.factor * (slow ? 2.5 : 1.0) * (load_.base + load_.per_stream * streams);
  }

  void begin() {
    Stream stream;
    stream.id = std::to_string(++begun_);
    stream.deliveries = std::floor(kMeanDeliveries * (0.4 + 1.2 * random_.unit()));
    RouteRequest request;
    request.stream_id = stream.id;
    request.model = kModel;
    const std::uint64_t part = 1 + random_.below(kSharedParts);
    request.shape.tokens = kPromptTokens;
    request.shape.pieces = {part, common::hash64(stream.id)};
    request.shape.piece_ends = {kSharedTokens, kPromptTokens};
    request.maximum_tokens = static_cast<std::uint32_t>(stream.deliveries * kTokensPerDelivery);
    request.first_token_limit = milliseconds(400);
    request.between_tokens_limit = common::fromSeconds(kPauseLimit);
    request.finish_limit = seconds(8);
    const RouteChoice choice = router->choose(request);
    const auto* const route = std::get_if<Route>(&choice);
    if (route == nullptr) {
      ++outcome_.refused;
      return;
    }
    router->attemptStarted(request, *route);
    const auto index = static_cast<std::size_t>(std::stoi(route->engine.name.substr(1)) - 100);
    const bool room =
        std::any_of(engines_.begin() + kPrefillEngines, engines_.end(),
                    [](const Engine& engine) { return engine.streams.size() < kBatch; });
    outcome_.beyond_batch += engines_[index].streams.size() >= kBatch && room ? 1 : 0;
    engines_[index].prompts +=
        (request.shape.tokens - route->expected_cached_tokens) / kPromptTokensPerSecond;
    router->firstTokenReceived(stream.id);
    engines_[index].streams.push_back(std::move(stream));
  }

  void advance() {
    for (int i = 0; i < kEngines; ++i) {
      auto& [factor, streams, history, prompts] = engines_[static_cast<std::size_t>(i)];
      const double computing = std::min(prompts, common::toSeconds(kTick));
      prompts -= computing;
      const double progress = (common::toSeconds(kTick) - computing) / stepOf(i);
      for (Stream& stream : streams) {
        stream.gap += common::toSeconds(kTick);
        stream.seconds += common::toSeconds(kTick);
        const double before = stream.delivered;
        stream.delivered += progress;
        if (std::floor(stream.delivered) > std::floor(before)) {
          stream.longest = std::max(stream.longest, stream.gap);
          stream.gap = 0;
        }
      }
      const auto done = std::stable_partition(
          streams.begin(), streams.end(),
          [](const Stream& stream) { return stream.delivered < stream.deliveries; });
      std::for_each(done, streams.end(), [this](const Stream& stream) { end(stream); });
      streams.erase(done, streams.end());
    }
  }

  /// Output is reported with the end only, as a remote node does.
  void end(const Stream& stream) {
    ++outcome_.ended;
    outcome_.late += stream.longest > kPauseLimit ? 1 : 0;
    router->outputReceived(
        stream.id, {static_cast<std::uint32_t>(stream.deliveries),
                    common::fromSeconds(stream.seconds), common::fromSeconds(stream.longest)});
    router->answerCompleted(stream.id);
    router->attemptFinished(stream.id);
  }

  void report() {
    for (int i = 0; i < kEngines; ++i) {
      Engine& engine = engines_[static_cast<std::size_t>(i)];
      engine.history.push_back(static_cast<std::uint32_t>(engine.streams.size()));
      if (engine.history.size() > static_cast<std::size_t>(kReportLag / kTick)) {
        engine.history.pop_front();
      }
      engines::EngineLoad& load = reports_[nameOf(i) + ":1"].load;
      load.running_streams = std::min(engine.history.front(), kBatch);
      load.waiting_streams = engine.history.front() - load.running_streams;
      load.output_streams = load.running_streams;
    }
  }

  LoadCase load_;
  simulation::Simulation simulation_;
  common::SeededRandom random_;
  configuration::FleetConfiguration fleet_;
  testing::ScriptedEngines reports_;
  std::vector<Engine> engines_;
  Outcome outcome_;
  double due_ = 0;
  int begun_ = 0;
};

class UnevenEnginesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UnevenEnginesTest);
  CPPUNIT_TEST(fewStreamsPauseOnUnevenEngines);
  CPPUNIT_TEST(newOwnerBeginsWithTheModelsCurve);
  CPPUNIT_TEST_SUITE_END();

 public:
  void fewStreamsPauseOnUnevenEngines() {
    for (const double utilisation : {0.3, 0.5, 0.7}) {
      requireFewPauses(utilisation);
    }
  }

  void newOwnerBeginsWithTheModelsCurve() {
    UnevenEngines fleet{LoadCase{}};
    fleet.run(seconds(10));
    const std::string stored = fleet.router->engineSpeeds().encode(0);
    UnevenEngines successor{LoadCase{}, 2};
    CPPUNIT_ASSERT(successor.router->engineSpeeds().restore(stored, seconds(1)));
    const auto before = fleet.router->engineSpeedView();
    const auto after = successor.router->engineSpeedView();
    CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(before[5].curve.seconds(30), after[5].curve.seconds(30),
                                 0.1 * before[5].curve.seconds(30));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, after[5].factor, 1e-9);
  }

 private:
  static void requireFewPauses(double utilisation) {
    LoadCase load;
    load.utilisation = utilisation;
    UnevenEngines fleet{load};
    fleet.run(seconds(10));
    const Outcome outcome = fleet.run(seconds(20));
    CPPUNIT_ASSERT(outcome.ended > 1000);
    CPPUNIT_ASSERT_EQUAL(0, outcome.refused);
    CPPUNIT_ASSERT_EQUAL(0, outcome.beyond_batch);
    const double late = outcome.late / static_cast<double>(outcome.ended);
    CPPUNIT_ASSERT_MESSAGE("late " + std::to_string(late), late < 0.01);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnevenEnginesTest);

}  // namespace
}  // namespace cypresswall::routing
