/// INV-9: an accepted configuration is in force in every reachable zone within 7 s and is never
/// reverted; of two concurrent changes one succeeds and the other operator is informed; after a
/// lost answer the actual outcome is reported. Liveness: after the faults a change is accepted and
/// in force everywhere.
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <map>

#include "tests/properties/configuration/configuration_history.h"
#include "tests/properties/configuration/operators.h"
#include "tests/properties/support/generators.h"
#include "tests/support/property.h"

namespace cypresswall::testing {
namespace {

using configuration::CommitStatus;
using simulation::FaultAction;
using simulation::FaultKind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRuns = 60;
constexpr std::uint32_t kChanges = 8;
constexpr std::uint32_t kRaces = 3;
constexpr common::Duration kLoadDuration = seconds(20);
constexpr common::Duration kInForceWithin = seconds(7);
/// Time after the end of all faults in which the fleet must recover.
constexpr common::Duration kRecoveryTime = seconds(30);

RunBounds configurationBounds() {
  RunBounds bounds;
  bounds.actions = {
      FaultAction::kKillNode,         FaultAction::kReplaceNode,   FaultAction::kPauseNode,
      FaultAction::kCutOffNode,       FaultAction::kCutZones,      FaultAction::kCutOneWay,
      FaultAction::kCutPlatform,      FaultAction::kStoreDown,     FaultAction::kStoreSlow,
      FaultAction::kLoseStoreAnswers, FaultAction::kStoreWatchGap, FaultAction::kRestoreStore};
  bounds.maximum_nodes = 3;
  bounds.maximum_engines = 1;
  return bounds;
}

/// Totals over the runs of one property.
struct Tally {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t unanswered = 0;
  std::uint64_t timed = 0;
};

void requireRacesHaveOneWinner(const Operators& operators) {
  std::map<std::uint64_t, int> winners;
  for (const OperatorChange& change : operators.changes()) {
    const bool won = change.result && change.result->status == CommitStatus::kAccepted;
    if (change.race && won) {
      ++winners[*change.race];
    }
  }
  for (const auto& [race, count] : winners) {
    RC_ASSERT(count <= 1);
  }
}

/// The results reported to operators must match the configuration that is in force at the end.
void requireReportedResultsMatch(const simulation::SimulatedFleet& fleet,
                                 const Operators& operators, Tally& tally) {
  const auto configuration = fleet.slot(0).node->configuration().current();
  for (const OperatorChange& change : operators.changes()) {
    const bool in_force = configuration->tenants.contains(change.tenant);
    if (!change.result) {
      ++tally.unanswered;
    } else if (change.result->status == CommitStatus::kAccepted) {
      ++tally.accepted;
      RC_LOG() << change.tenant << " was accepted as version " << change.result->version << '\n';
      RC_ASSERT(in_force);
    } else if (change.result->status == CommitStatus::kOutcomeUnknown) {
      ++tally.unknown;
    } else {
      ++tally.refused;
      RC_LOG() << change.tenant << " was refused: " << toString(change.result->status) << '\n';
      RC_ASSERT(!in_force);
    }
  }
}

void requireInForceInTime(const Operators& operators, const ConfigurationHistory& history,
                          Tally& tally) {
  for (const OperatorChange& change : operators.changes()) {
    if (!change.result || change.result->status != CommitStatus::kAccepted) {
      continue;
    }
    const auto from = change.answered_at;
    if (history.cutWithin(from, from + kInForceWithin)) {
      continue;
    }
    ++tally.timed;
    RC_LOG() << "version " << change.result->version << " accepted at "
             << common::toSeconds(from.time_since_epoch()) << " s\n";
    RC_ASSERT(history.inForceEverywhere(change.result->version, from, from + kInForceWithin));
  }
}

void requireRecovery(simulation::SimulatedFleet& fleet, Operators& operators) {
  const OperatorChange& last = operators.change(0);
  fleet.time().runUntilTrue([&] { return last.result.has_value(); }, seconds(20));
  RC_ASSERT(last.result.has_value());
  RC_LOG() << "after the faults: " << toString(last.result->status) << ' ' << last.result->message
           << '\n';
  RC_ASSERT(last.result->status == CommitStatus::kAccepted);
  const auto version = last.result->version;
  RC_ASSERT(fleet.time().runUntilTrue([&] { return fleet.everyNodeHasVersion(version); },
                                      kInForceWithin));
}

class AcceptedConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AcceptedConfigurationTest);
  CPPUNIT_TEST(acceptedIsInForceAndNeverReverts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void acceptedIsInForceAndNeverReverts() {
    simulation::FaultCounters faults;
    Tally tally;
    requireProperty("INV-9 accepted configuration", kRuns, [&] {
      const GeneratedRun run = *runs(configurationBounds());
      simulation::FleetSettings settings;
      settings.topology = run.topology;
      simulation::SimulatedFleet fleet(run.seed, settings);
      fleet.bringUp();
      ConfigurationHistory history(fleet);
      Operators operators(fleet);
      operators.planChanges(kChanges, kRaces, kLoadDuration);
      simulation::FaultInjector player(fleet);
      player.play(run.faults);
      fleet.time().runFor(kLoadDuration + seconds(10));
      player.endAll();
      fleet.time().runFor(kRecoveryTime);
      for (const std::string& violation : history.violations()) {
        RC_FAIL(violation);
      }
      requireRecovery(fleet, operators);
      requireRacesHaveOneWinner(operators);
      requireReportedResultsMatch(fleet, operators, tally);
      requireInForceInTime(operators, history, tally);
      faults.merge(fleet.faults());
    });
    std::cout << "\nINV-9: " << tally.accepted << " changes accepted (" << tally.timed
              << " timed without a cut), " << tally.refused << " refused, " << tally.unknown
              << " unknown, " << tally.unanswered << " unanswered; faults: " << faults.summary()
              << std::endl;
    CPPUNIT_ASSERT(tally.timed > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kOperatorRace) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kStoreOutage) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kStoreAnswerLost) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kStoreRestored) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kKill) > 0);
    CPPUNIT_ASSERT(faults.count(FaultKind::kPause) > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AcceptedConfigurationTest);

}  // namespace
}  // namespace cypresswall::testing
