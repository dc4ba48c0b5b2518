#include "tests/release_soak/release_plan.h"

#include <array>

#include "cypresswall/common/random.h"

namespace cypresswall::testing {
namespace {

constexpr std::uint64_t kKinds = 4;
constexpr std::array<const char*, kKinds> kNames = {"frozen", "store-cut", "frozen-twice", "alone"};
constexpr double kLeavesShare = 0.3;

}  // namespace

ReleasePlan planRelease(std::uint64_t seed, std::size_t nodes) {
  common::SeededRandom random(seed);
  const auto between = [&random](std::uint64_t least, std::uint64_t most) {
    return std::chrono::milliseconds(least + random.below(most - least + 1));
  };
  ReleasePlan plan;
  plan.node = random.below(nodes);
  plan.kind = static_cast<OutOfStep>(random.below(kKinds));
  plan.until_joined = between(50, 1500);
  plan.joining = 2 + random.below(3);
  plan.until_in_step = between(500, 5000);
  plan.alone = between(500, 4000);
  plan.first_build_leaves = random.unit() < kLeavesShare;
  plan.callers_seed = random.next();
  plan.store_back_after = between(500, 4000);
  return plan;
}

std::string describe(const ReleasePlan& plan) {
  return std::string(kNames[static_cast<std::size_t>(plan.kind)]) + "/" +
         std::to_string(plan.node) + " " + std::to_string(plan.joining) + " engines join after " +
         std::to_string(plan.until_joined.count()) + "ms, in step after " +
         std::to_string(plan.until_in_step.count()) + "ms more" +
         (plan.first_build_leaves ? ", first build leaves" : "") + ", store back after " +
         std::to_string(plan.store_back_after.count()) + "ms";
}

}  // namespace cypresswall::testing
