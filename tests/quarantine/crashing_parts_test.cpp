/// Guards against an incident in which one part of prompts crashed engine after engine: 86 crashes
/// on 9 nodes with 18 engines. No two requests with that part were alike, so that each counted as a
/// request of its own, which crashed three engines before it was quarantined; and requests that had
/// merely run beside them were quarantined as well.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cypresswall/configuration/change.h"
#include "cypresswall/configuration/static_view.h"
#include "cypresswall/simulation/fleet/simulated_fleet.h"

namespace cypresswall::quarantine {
namespace {

using common::PieceHash;
using simulation::CallerRecord;
using simulation::CallerResult;
using simulation::SimulatedFleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kVersion = 41;
constexpr std::uint32_t kPromptTokens = 300;
constexpr std::uint32_t kAnswerTokens = 6;
/// First part of all prompts, and further parts that a few prompts share.
constexpr PieceHash kFirstPart = 0xF1;
constexpr PieceHash kFirstOfFewParts = 0x5000;
constexpr PieceHash kCrashingPart = 0xDEAD;
constexpr PieceHash kOtherCrashingPart = 0xBAD;
/// The last part of each prompt is its own.
constexpr PieceHash kFirstOwnPart = 0x1000000;
/// After the fifth crash, nodes have kTimeUntilKnown to learn of a part; later, at most
/// kAllowedArrivals requests with the part may still reach an engine.
constexpr std::size_t kCrashesUntilKnown = 5;
constexpr common::Duration kTimeUntilKnown = seconds(3);
constexpr std::size_t kAllowedArrivals = 3;
/// From twice kTimeUntilKnown after the fifth crash, sound requests must be served at least this
/// fraction as often as before the first crash.
constexpr double kServedAmongCrashes = 0.5;

struct Scenario {
  std::uint32_t nodes = 9;
  std::uint32_t engines = 18;
  std::set<PieceHash> crashing = {kCrashingPart};
  /// One request in this many has a crashing part.
  int crashing_interval = 6;
  /// Number of parts that a prompt shares with others. The first is the same in all sound prompts.
  std::size_t shared_parts = 2;
  /// Number of different parts at each later position.
  std::uint64_t few_parts = 30;
  /// Position of the crashing part in its prompts.
  std::size_t crashing_position = 1;
  /// Number of requests with a crashing part that come at the same moment at different nodes, in
  /// sendBursts().
  std::size_t callers = 1;
  bool all_nodes_restart = false;
  /// Engines crash on the part once they have given the first token.
  bool crashes_after_first_token = false;
};

class Fleet {
 public:
  Fleet(std::uint64_t seed, const Scenario& scenario) : scenario_(scenario) {
    simulation::FleetSettings settings;
    settings.topology.zones = 1;
    settings.topology.nodes_per_zone = scenario.nodes;
    settings.topology.engines_per_zone = scenario.engines;
    settings.engine.restart_time = seconds(2);
    settings.declared = &declared_;
    configuration::ConfigurationChange change;
    change.version = kVersion;
    change.objects = simulation::declarations(settings.topology);
    declared_.set(configuration::applyChange({}, change));
    fleet_ = std::make_unique<SimulatedFleet>(seed, settings);
    fleet_->bringUp();
    emulation::EngineFaults faults;
    faults.crash_on_pieces = scenario.crashing;
    faults.crashes_after_first_token = scenario.crashes_after_first_token;
    for (const auto& [address, engine] : fleet_->engines().all()) {
      engine->setFaults(faults);
    }
  }

  /// Sends requests to random nodes, mixed with ones that crash engines if `crashing` is set.
  void sendRequests(common::Duration duration, bool crashing) {
    constexpr common::Duration kStep = milliseconds(14);
    for (common::Duration spent{0}; spent < duration; spent += kStep) {
      const bool crashes = crashing && sent_++ % scenario_.crashing_interval == 0;
      fleet_->sendPromptOfParts(anyNode(), kPromptTokens, kAnswerTokens, partsOf(crashes));
      fleet_->time().runFor(kStep);
    }
  }
  /// Sends few sound requests, one after the other to all nodes, and, if `crashing` is set,
  /// requests with a crashing part from several callers at once every four seconds.
  void sendBursts(common::Duration duration, bool crashing) {
    constexpr common::Duration kStep = milliseconds(400);
    constexpr int kStepsBetweenBursts = 10;
    for (common::Duration spent{0}; spent < duration; spent += kStep) {
      const bool burst = crashing && sent_ % kStepsBetweenBursts == 0;
      for (std::size_t caller = 0; burst && caller < scenario_.callers; ++caller) {
        fleet_->sendPromptOfParts(next_node_++ % scenario_.nodes, kPromptTokens, kAnswerTokens,
                                  partsOf(true));
      }
      fleet_->time().runFor(kStep / 2);
      fleet_->sendPromptOfParts(next_node_++ % scenario_.nodes, kPromptTokens, kAnswerTokens,
                                partsOf(false));
      fleet_->time().runFor(kStep / 2);
      ++sent_;
    }
  }
  /// Crashes engines one after the other while sound requests are sent.
  void crashEngines(int count) {
    for (int i = 0; i < count; ++i) {
      const auto engine = static_cast<std::uint32_t>(i) % scenario_.engines;
      fleet_->engines().crash(simulation::engineAddress(0, engine));
      sendRequests(milliseconds(200), false);
    }
  }
  void restartAll() {
    for (std::size_t node = 0; node < scenario_.nodes; ++node) {
      fleet_->killNode(node);
      fleet_->startNode(node);
    }
  }
  common::MonotonicTime now() { return fleet_->time().now(); }

  std::size_t crashes() const { return crashTimes().size(); }
  /// \return when all nodes should know the part; the end of time before the fifth crash
  common::MonotonicTime knownAt() const {
    const auto times = crashTimes();
    return times.size() < kCrashesUntilKnown ? common::MonotonicTime::max()
                                             : times[kCrashesUntilKnown - 1] + kTimeUntilKnown;
  }
  /// \return streams with a crashing part that reached an engine after knownAt()
  std::size_t arrivalsOnceKnown() const {
    const auto known_at = knownAt();
    std::size_t arrivals = 0;
    for (const auto& [address, engine] : fleet_->engines().all()) {
      for (const emulation::StreamEntry& stream : engine->ledger().streams) {
        arrivals += crashing_.contains(stream.content_hash) && stream.started_at > known_at ? 1 : 0;
      }
    }
    return arrivals;
  }
  /// \return the share of sound requests sent in a time that were served
  double soundServed(common::MonotonicTime since, common::MonotonicTime until) const {
    std::size_t done = 0;
    std::size_t all = 0;
    for (const CallerRecord& record : fleet_->records()) {
      const bool counts = record.asked_at >= since && record.asked_at < until &&
                          record.result != CallerResult::kOpen &&
                          !crashing_.contains(record.content_hash);
      all += counts ? 1 : 0;
      done += counts && record.result == CallerResult::kDone ? 1 : 0;
    }
    return all == 0 ? 0.0 : static_cast<double>(done) / static_cast<double>(all);
  }
  std::size_t quarantinedAt(std::size_t node) {
    return static_cast<std::size_t>(
        fleet_->slot(node).process->counters().total("cypresswall_quarantine_requests"));
  }

 private:
  std::vector<PieceHash> partsOf(bool crashes) {
    auto& random = fleet_->simulation().random();
    std::vector<PieceHash> parts = {kFirstPart};
    while (parts.size() < scenario_.shared_parts) {
      parts.push_back(kFirstOfFewParts * parts.size() + random.below(scenario_.few_parts));
    }
    if (crashes) {
      auto part = scenario_.crashing.begin();
      std::advance(part, random.below(scenario_.crashing.size()));
      parts[scenario_.crashing_position] = *part;
    }
    parts.push_back(kFirstOwnPart + fleet_->records().size());
    if (crashes) {
      crashing_.insert(fleet_->simulation().deriveSeed("prompt", fleet_->records().size() + 1));
    }
    return parts;
  }
  std::size_t anyNode() { return fleet_->simulation().random().below(scenario_.nodes); }
  std::vector<common::MonotonicTime> crashTimes() const {
    std::vector<common::MonotonicTime> times;
    for (const auto& [address, engine] : fleet_->engines().all()) {
      for (const emulation::StreamEntry& stream : engine->ledger().streams) {
        if (stream.end == emulation::StreamEnd::kCrashed &&
            crashing_.contains(stream.content_hash)) {
          times.push_back(stream.started_at);
        }
      }
    }
    std::sort(times.begin(), times.end());
    return times;
  }

  Scenario scenario_;
  configuration::StaticConfigurationView declared_;
  std::unique_ptr<SimulatedFleet> fleet_;
  /// Contents of the requests with a crashing part.
  std::set<std::uint64_t> crashing_;
  int sent_ = 0;
  std::size_t next_node_ = 0;
};

class CrashingPartsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashingPartsTest);
  CPPUNIT_TEST(partIsQuarantinedInSmallZone);
  CPPUNIT_TEST(partIsQuarantinedInLargeZone);
  CPPUNIT_TEST(twoPartsAtOnce);
  CPPUNIT_TEST(crashingFirstPart);
  CPPUNIT_TEST(crashingPartBeforePartsOfAllPrompts);
  CPPUNIT_TEST(crashesAfterTheFirstToken);
  CPPUNIT_TEST(callersAtOnceBehindOneFirstPart);
  CPPUNIT_TEST(callersAtOnceAmongPartsOfAllPrompts);
  CPPUNIT_TEST(everyThirdRequestCrashes);
  CPPUNIT_TEST(quarantineSurvivesNodeRestarts);
  CPPUNIT_TEST(soundPartsAreNotQuarantined);
  CPPUNIT_TEST_SUITE_END();

 public:
  void partIsQuarantinedInSmallZone() { requireQuarantined({}); }
  void partIsQuarantinedInLargeZone() {
    Scenario scenario;
    scenario.nodes = 40;
    scenario.engines = 36;
    requireQuarantined(scenario);
  }
  void twoPartsAtOnce() {
    Scenario scenario;
    scenario.crashing = {kCrashingPart, kOtherCrashingPart};
    scenario.engines = 30;
    requireQuarantined(scenario);
  }
  void crashingFirstPart() {
    Scenario scenario;
    scenario.crashing_position = 0;
    requireQuarantined(scenario);
  }
  /// Guards against crashes without end: since the parts behind the crashing one were the same in
  /// all prompts, they were blamed in its place and released again.
  void crashingPartBeforePartsOfAllPrompts() {
    for (const std::size_t shared_parts : {2, 3, 5}) {
      for (std::size_t position = 0; position + 1 < shared_parts; ++position) {
        Scenario scenario;
        scenario.shared_parts = shared_parts;
        scenario.few_parts = 1;
        scenario.crashing_position = position;
        requireQuarantined(scenario);
      }
    }
    Scenario large;
    large.nodes = 40;
    large.engines = 36;
    large.few_parts = 1;
    large.crashing_position = 0;
    requireQuarantined(large);
  }
  /// Guards against crashes without end: a crash after the first token blamed no part.
  void crashesAfterTheFirstToken() {
    for (const std::size_t position : {0, 1}) {
      for (const std::uint64_t few_parts : {1, 30}) {
        Scenario scenario;
        scenario.crashes_after_first_token = true;
        scenario.crashing_position = position;
        scenario.few_parts = few_parts;
        requireQuarantined(scenario);
      }
    }
  }
  /// Guards against refusing all prompts of a sound first part, with few requests of which none is
  /// answered while the engines crash. The other parts differ.
  void callersAtOnceBehindOneFirstPart() { requireBurstsQuarantined(7); }
  /// The same, with parts that all prompts have on both sides of the crashing one.
  void callersAtOnceAmongPartsOfAllPrompts() { requireBurstsQuarantined(1); }
  void everyThirdRequestCrashes() {
    Scenario scenario;
    scenario.crashing_interval = 3;
    requireQuarantined(scenario);
  }
  void quarantineSurvivesNodeRestarts() {
    Scenario scenario;
    scenario.all_nodes_restart = true;
    requireQuarantined(scenario);
  }

  /// Engines crash one after the other for another reason than any of the requests on them.
  void soundPartsAreNotQuarantined() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Scenario scenario;
      Fleet fleet(seed, scenario);
      fleet.sendRequests(seconds(2), false);
      fleet.crashEngines(60);
      const auto from = fleet.now();
      fleet.sendRequests(seconds(5), false);
      const double served = fleet.soundServed(from, fleet.now() - seconds(1));
      CPPUNIT_ASSERT_MESSAGE("served " + std::to_string(served), served >= 0.9);
      for (std::size_t node = 0; node < scenario.nodes; ++node) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.quarantinedAt(node));
      }
    }
  }

 private:
  static void requireBurstsQuarantined(std::uint64_t few_parts) {
    std::string failures;
    for (const std::size_t callers : {1, 2, 4, 8}) {
      for (std::size_t shared_parts = 1; shared_parts <= 5; ++shared_parts) {
        for (std::size_t position = 0; position < shared_parts; ++position) {
          for (const bool first_token : {false, true}) {
            Scenario scenario;
            scenario.callers = callers;
            scenario.shared_parts = shared_parts;
            scenario.few_parts = few_parts;
            scenario.crashing_position = position;
            scenario.crashes_after_first_token = first_token;
            failures += burstFailure(scenario);
          }
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }
  /// \return the figures of a run in which a requirement was not met; otherwise empty
  static std::string burstFailure(const Scenario& scenario) {
    Fleet fleet(1, scenario);
    const auto calm = fleet.now();
    fleet.sendBursts(seconds(10), false);
    const auto begin = fleet.now();
    fleet.sendBursts(seconds(26), true);
    const auto known_at = fleet.knownAt();
    const double before = fleet.soundServed(calm, begin - seconds(1));
    const double after = fleet.soundServed(
        known_at == common::MonotonicTime::max() ? begin : known_at + kTimeUntilKnown,
        fleet.now() - seconds(1));
    const std::string moment =
        scenario.crashes_after_first_token ? "after a first token, " : "before a first token, ";
    const std::string figures =
        moment + std::to_string(scenario.callers) + " callers, crashing part " +
        std::to_string(scenario.crashing_position) + " of " +
        std::to_string(scenario.shared_parts) +
        ", arrivals once known: " + std::to_string(fleet.arrivalsOnceKnown()) +
        ", crashes: " + std::to_string(fleet.crashes()) + ", sound requests served " +
        std::to_string(before) + " before, " + std::to_string(after) + " after";
    const bool met = fleet.crashes() > 0 && fleet.arrivalsOnceKnown() <= kAllowedArrivals &&
                     after >= kServedAmongCrashes * before;
    return met ? std::string() : figures + "\n";
  }
  static void requireQuarantined(const Scenario& scenario) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet(seed, scenario);
      const auto calm = fleet.now();
      fleet.sendRequests(seconds(5), false);
      const auto begin = fleet.now();
      fleet.sendRequests(seconds(10), true);
      if (scenario.all_nodes_restart) {
        fleet.restartAll();
        fleet.sendRequests(seconds(10), true);
      }
      const auto later = fleet.now();
      fleet.sendRequests(seconds(6), true);
      const double before = fleet.soundServed(calm, begin - seconds(1));
      const double after = fleet.soundServed(later, fleet.now() - seconds(1));
      const std::string figures =
          "arrivals once known: " + std::to_string(fleet.arrivalsOnceKnown()) +
          ", crashes: " + std::to_string(fleet.crashes()) + ", sound requests served " +
          std::to_string(before) + " before, " + std::to_string(after) + " after, seed " +
          std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE("no engine crashed", fleet.crashes() > 0);
      CPPUNIT_ASSERT_MESSAGE(
          figures, fleet.arrivalsOnceKnown() <= kAllowedArrivals * scenario.crashing.size());
      CPPUNIT_ASSERT_MESSAGE(figures, after >= kServedAmongCrashes * before);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPartsTest);

}  // namespace
}  // namespace cypresswall::quarantine
