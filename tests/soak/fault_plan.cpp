#include "tests/soak/fault_plan.h"

#include <algorithm>

#include "cypresswall/common/random.h"

namespace cypresswall::testing {
namespace {

constexpr std::uint64_t kMinimumMilliseconds = 200;
constexpr std::uint64_t kMillisecondsRange = 1500;
constexpr double kOverlapShare = 0.3;
constexpr double kDamageShare = 0.5;
constexpr double kDamageOverlapShare = 0.7;
constexpr std::uint64_t kResponders = 3;

bool affectsNode(FaultKind kind) {
  return kind <= FaultKind::kNodeStopped || kind == FaultKind::kAllNodesKilled;
}
bool affectsStore(FaultKind kind) {
  return kind >= FaultKind::kStoreDown && kind <= FaultKind::kStoreAnswerLost;
}

/// \return 0 for nodes, 1 for the store, 2 for engines, 3 for the service, 4 for damaged responses;
///   faults of the same group never overlap
int groupOf(FaultKind kind) {
  if (damagesResponses(kind)) {
    return 4;
  }
  if (kind == FaultKind::kServiceReplaced) {
    return 3;
  }
  return affectsNode(kind) ? 0 : affectsStore(kind) ? 1 : 2;
}

bool mayOverlap(FaultKind first, FaultKind second) {
  const auto alone = [](FaultKind kind) { return kind >= FaultKind::kPowerLost; };
  return !alone(first) && !alone(second) && groupOf(first) != groupOf(second);
}

FaultKind drawKind(common::RandomSource& random, std::size_t kinds) {
  if (kinds <= kKindsWithSoundResponses) {
    return static_cast<FaultKind>(random.below(kinds));
  }
  const std::size_t damaging =
      std::min(kinds, kKindsWithDamagedResponses) - kKindsWithSoundResponses;
  if (random.unit() < kDamageShare) {
    return static_cast<FaultKind>(kKindsWithSoundResponses + random.below(damaging));
  }
  const std::size_t number = random.below(kinds - damaging);
  return static_cast<FaultKind>(number < kKindsWithSoundResponses ? number : number + damaging);
}

/// \return the store, any engine or any back end, each of the three as often
std::size_t drawResponder(common::RandomSource& random, std::size_t engines,
                          std::size_t back_ends) {
  switch (random.below(kResponders)) {
    case 0:
      return 0;
    case 1:
      return 1 + random.below(engines);
    default:
      return 1 + engines + random.below(back_ends);
  }
}

}  // namespace

std::vector<PlannedFault> planFaults(std::uint64_t seed, std::size_t count, std::size_t nodes,
                                     std::size_t engines, std::size_t kinds,
                                     std::size_t back_ends) {
  common::SeededRandom random(seed);
  const auto time = [&random] {
    return std::chrono::milliseconds(kMinimumMilliseconds + random.below(kMillisecondsRange));
  };
  std::vector<PlannedFault> plan;
  for (std::size_t i = 0; i < count; ++i) {
    PlannedFault fault;
    fault.kind = drawKind(random, kinds);
    if (damagesResponses(fault.kind)) {
      fault.target = drawResponder(random, engines, back_ends);
      fault.damage_seed = random.next();
    } else {
      fault.target = random.below(affectsNode(fault.kind) ? nodes : engines);
    }
    fault.duration = time();
    fault.pause_after = time();
    plan.push_back(fault);
  }
  for (std::size_t i = 0; i + 1 < plan.size(); ++i) {
    const bool apart = mayOverlap(plan[i].kind, plan[i + 1].kind);
    const double share = damagesResponses(plan[i].kind) ? kDamageOverlapShare : kOverlapShare;
    plan[i].overlaps_next =
        random.unit() < share && apart && (i == 0 || !plan[i - 1].overlaps_next);
  }
  return plan;
}

std::string describe(const std::vector<PlannedFault>& plan) {
  std::string text;
  for (const PlannedFault& fault : plan) {
    text += text.empty() ? "" : " ";
    text += std::string(nameOf(fault.kind)) + "/" + std::to_string(fault.target) + "/" +
            std::to_string(fault.duration.count()) + "ms" + (fault.overlaps_next ? "+" : "");
  }
  return text;
}

}  // namespace cypresswall::testing
