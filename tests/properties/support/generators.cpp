#include "tests/properties/support/generators.h"

namespace cypresswall::testing {
namespace {

constexpr std::uint64_t kMicrosecondsPerMillisecond = 1000;
constexpr std::uint32_t kTargets = 60;

rc::Gen<common::Duration> durations(common::Duration longest) {
  const auto limit = static_cast<std::uint32_t>(longest.count() / kMicrosecondsPerMillisecond);
  return rc::gen::map(rc::gen::inRange<std::uint32_t>(1, limit), [](std::uint32_t milliseconds) {
    return common::Duration(std::chrono::milliseconds(milliseconds));
  });
}

rc::Gen<simulation::ScheduledFault> faults(const RunBounds& bounds) {
  using simulation::ScheduledFault;
  return rc::gen::build<ScheduledFault>(
      rc::gen::set(&ScheduledFault::action, rc::gen::elementOf(bounds.actions)),
      rc::gen::set(&ScheduledFault::at, durations(bounds.faults_within)),
      rc::gen::set(&ScheduledFault::duration, durations(bounds.longest_fault)),
      rc::gen::set(&ScheduledFault::target, rc::gen::inRange<std::uint32_t>(0, kTargets)),
      rc::gen::set(&ScheduledFault::other, rc::gen::inRange<std::uint32_t>(0, kTargets)));
}

rc::Gen<simulation::FleetTopology> topologies(const RunBounds& bounds) {
  using simulation::FleetTopology;
  const auto upTo = [](std::uint32_t least, std::uint32_t most) {
    return rc::gen::inRange<std::uint32_t>(least, most + 1);
  };
  return rc::gen::build<FleetTopology>(
      rc::gen::set(&FleetTopology::zones, upTo(bounds.minimum_zones, bounds.maximum_zones)),
      rc::gen::set(&FleetTopology::nodes_per_zone,
                   upTo(bounds.minimum_nodes, bounds.maximum_nodes)),
      rc::gen::set(&FleetTopology::engines_per_zone,
                   upTo(bounds.minimum_engines, bounds.maximum_engines)));
}

}  // namespace

std::ostream& operator<<(std::ostream& stream, const GeneratedRun& run) {
  stream << "seed " << run.seed << ", " << run.topology.zones << " zones of "
         << run.topology.nodes_per_zone << " nodes and " << run.topology.engines_per_zone
         << " engines, faults:";
  for (const auto& fault : run.faults) {
    stream << ' ' << fault;
  }
  return stream;
}

rc::Gen<GeneratedRun> runs(const RunBounds& bounds) {
  // Elements use their full range at any size; the size only bounds their number.
  const auto element = rc::gen::resize(rc::kNominalSize, faults(bounds));
  const auto schedule =
      rc::gen::resize(static_cast<int>(bounds.maximum_faults),
                      rc::gen::container<std::vector<simulation::ScheduledFault>>(element));
  return rc::gen::build<GeneratedRun>(
      rc::gen::set(&GeneratedRun::seed,
                   rc::gen::noShrink(
                       rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()))),
      rc::gen::set(&GeneratedRun::topology, rc::gen::resize(rc::kNominalSize, topologies(bounds))),
      rc::gen::set(&GeneratedRun::faults, schedule));
}

}  // namespace cypresswall::testing
