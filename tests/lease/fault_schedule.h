/// Fault schedules for a LeaseZone, generated and shrunk by RapidCheck.
#pragma once

#include <rapidcheck.h>

#include <functional>
#include <vector>

#include "tests/lease/lease_zone.h"

namespace cypresswall::testing {

/// Clock rates differ from true time by up to this share; the drift margin covers it.
inline constexpr double kClockDrift = 0.02;
inline constexpr int kFaultsPerRun = 40;

/// Generates faults of every kind. `spread_out` leaves long intervals between them, so that voters
/// are replaced one by one within one generation.
inline rc::Gen<std::vector<Fault>> faultSchedule(bool spread_out) {
  const auto kinds = rc::gen::weightedElement<FaultKind>({{2, FaultKind::kKill},
                                                          {4, FaultKind::kRestart},
                                                          {2, FaultKind::kPause},
                                                          {2, FaultKind::kPauseHolder},
                                                          {2, FaultKind::kCut},
                                                          {spread_out ? 8 : 3, FaultKind::kHeal},
                                                          {2, FaultKind::kStore},
                                                          {2, FaultKind::kPlannedStop},
                                                          {1, FaultKind::kReplace}});
  const auto waits = spread_out ? rc::gen::inRange<std::int64_t>(1000, 6000)
                                : rc::gen::inRange<std::int64_t>(20, 1500);
  const auto fault = rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, kinds),
      rc::gen::set(&Fault::node, rc::gen::inRange<std::uint8_t>(0, 12)),
      rc::gen::set(&Fault::pattern, rc::gen::inRange<std::uint32_t>(0, 1U << 16)),
      rc::gen::set(&Fault::wait_ms, waits));
  return rc::gen::container<std::vector<Fault>>(kFaultsPerRun, fault);
}

/// Runs a fault schedule; writes a record and calls `each_slice` every 100 ms.
inline void runFaults(LeaseZone& zone, int nodes, const std::vector<Fault>& faults,
                      const std::function<void()>& each_slice) {
  zone.world.message_loss = 0.02;
  zone.world.store.lost_answers = 0.2;
  zone.startAll(nodes);
  zone.world.runFor(std::chrono::seconds(3));
  for (const auto& fault : faults) {
    zone.apply(fault, nodes);
    const auto end = zone.world.now() + std::chrono::milliseconds(fault.wait_ms);
    while (zone.world.now() < end) {
      zone.writeRecord();
      each_slice();
      zone.world.runFor(std::chrono::milliseconds(100));
    }
  }
}

}  // namespace cypresswall::testing
