/// Simulated fleet in virtual time: nodes that serve tenants, and a fake platform that checks every
/// usage report that it receives.
#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/duties/fleet_duties.h"
#include "cypresswall/membership/membership.h"
#include "tests/support/virtual_world.h"

namespace cypresswall::duties {

using common::Duration;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::VirtualWorld;

/// Wall-clock time at the start of the simulation; not at the beginning of a window.
inline constexpr Duration kWorldStart = std::chrono::hours(500000) + milliseconds(1700);

/// Fake platform shared by all nodes, with fault injection.
class FakeDutyPlatform {
 public:
  explicit FakeDutyPlatform(VirtualWorld& world) : world_(world) {}

  bool down = false;
  bool checks_tokens = true;
  /// Share of calls that are executed without an answer, and of calls that are executed seconds
  /// later without an answer.
  double lost_answers = 0;
  double late_calls = 0;

  std::map<std::uint64_t, TenantCounts> taken;
  std::map<std::uint64_t, Duration> taken_at;
  std::uint64_t refused = 0;
  std::uint64_t calls = 0;
  std::string violation;
  std::uint32_t highest_token = 0;
  /// The holder of the last report that was taken.
  common::MachineName last_holder;

  /// Handles a call that reaches the platform now. \return the failure, if any
  std::optional<DutyFailure> take(const DutyAuthority& authority, const UsageReport& report) {
    ++calls;
    checkToken(authority);
    if (checks_tokens && authority.token < highest_token) {
      ++refused;
      return DutyFailure::kSuperseded;
    }
    highest_token = std::max(highest_token, authority.token);
    last_holder = authority.holder;
    const auto [entry, first] = taken.emplace(report.window, report.counts);
    if (first) {
      taken_at[report.window] = world_.now();
    } else if (entry->second != report.counts) {
      reportViolation("different counts for window " + std::to_string(report.window));
    }
    return std::nullopt;
  }

 private:
  friend class DutyZone;
  void checkToken(const DutyAuthority& authority) {
    const auto [holder, first] = holders_.emplace(authority.token, authority.holder);
    if (!first && holder->second != authority.holder) {
      reportViolation("two holders with token " + std::to_string(authority.token));
    }
  }
  void reportViolation(const std::string& what) {
    if (violation.empty()) {
      violation = what + " at " + std::to_string(common::toSeconds(world_.now())) + " s";
    }
  }

  VirtualWorld& world_;
  std::map<std::uint32_t, common::MachineName> holders_;
};

/// One node's client of the fake platform.
class FakeDutyClient final : public DutyPlatform {
 public:
  FakeDutyClient(VirtualWorld& world, testing::VirtualProcess& process, FakeDutyPlatform& platform)
      : world_(world), process_(process), platform_(platform) {}

  void reportUsage(const DutyAuthority& authority, const UsageReport& report,
                   DutyCallback callback) override {
    constexpr Duration kAnswerDelay = milliseconds(4);
    constexpr Duration kTimeLimit = milliseconds(1500);
    if (platform_.down) {
      process_.schedule(kAnswerDelay, [callback] { callback(DutyFailure::kUnavailable); });
      return;
    }
    const double drawn = world_.random.unit();
    if (drawn < platform_.late_calls) {
      const Duration delay = milliseconds(1000 + world_.random.below(5000));
      world_.at(world_.now() + delay,
                [&platform = platform_, authority, report] { platform.take(authority, report); });
      process_.schedule(kTimeLimit, [callback] { callback(DutyFailure::kUnknownOutcome); });
      return;
    }
    const auto failure = platform_.take(authority, report);
    if (drawn < platform_.late_calls + platform_.lost_answers) {
      process_.schedule(kTimeLimit, [callback] { callback(DutyFailure::kUnknownOutcome); });
    } else {
      process_.schedule(kAnswerDelay, [callback, failure] { callback(failure); });
    }
  }
  void orderCapacity(const DutyAuthority&, const CapacityOrder&, DutyCallback) override {}

 private:
  VirtualWorld& world_;
  testing::VirtualProcess& process_;
  FakeDutyPlatform& platform_;
};

class DutyZone {
 public:
  struct Node {
    std::unique_ptr<membership::Membership> membership;
    std::unique_ptr<FakeDutyClient> calls;
    std::unique_ptr<FleetDuties> duties;
  };

  explicit DutyZone(std::uint64_t seed) : world(seed), platform(world) {
    settings.usage.reports = true;
  }

  static common::MachineName machine(int index) { return "machine-" + std::to_string(index); }
  static common::Address address(int index) { return "10.0.0." + std::to_string(index) + ":7000"; }

  /// \param clock_error error of the wall-clock time that the node reads when it starts
  void start(int index, Duration clock_error = Duration{0}) {
    stop(index);
    auto& process = world.spawn({address(index), ++next_incarnation_}, "hall-a", 1.0);
    membership::MembershipSettings membership;
    membership.machine = machine(index);
    membership.seeds = {address(1), address(2)};
    contexts_[index] = std::make_unique<api::ProcessContext>(process.context());
    Node& node = nodes[index];
    node.membership =
        std::make_unique<membership::Membership>(membership, process.context(), process);
    node.calls = std::make_unique<FakeDutyClient>(world, process, platform);
    node.duties = std::make_unique<FleetDuties>(
        settings, *contexts_[index], *node.membership, membership.machine, process,
        node.calls.get(), [this, clock_error] { return trueTime() + clock_error; });
    node.membership->start();
    node.duties->start();
  }
  void startAll(int count) {
    for (int index = 1; index <= count; ++index) {
      start(index);
    }
  }
  void stop(int index) {
    nodes.erase(index);
    world.kill(address(index));
    contexts_.erase(index);
  }
  Duration trueTime() const { return kWorldStart + world.now(); }
  std::uint64_t currentWindow() const {
    return static_cast<std::uint64_t>(trueTime() / settings.usage.window);
  }
  /// Starts a request of a random tenant on each running node every 20 ms.
  void serve(Duration length) {
    const auto end = world.now() + length;
    while (world.now() < end) {
      for (auto& [index, node] : nodes) {
        if (world.paused(address(index))) {
          continue;
        }
        const auto tenant = "tenant-" + std::to_string(world.random.below(4));
        node.duties->usage().requestBegan(tenant);
        ++served[currentWindow()][tenant];
      }
      world.runFor(milliseconds(20));
    }
  }
  std::optional<int> holder() const {
    for (const auto& [index, node] : nodes) {
      if (node.duties->authority().heldEpoch()) {
        return index;
      }
    }
    return std::nullopt;
  }
  /// \return the node that sent the last report that was taken; zero if it does not run
  int lastReporter() const {
    for (const auto& [index, node] : nodes) {
      if (machine(index) == platform.last_holder) {
        return index;
      }
    }
    return 0;
  }
  /// \return the relative error of a window's report, summed over all tenants
  double error(std::uint64_t window) {
    double off = 0;
    double total = 0;
    for (const auto& [tenant, count] : served[window]) {
      off += std::abs(static_cast<double>(platform.taken[window][tenant]) -
                      static_cast<double>(count));
      total += static_cast<double>(count);
    }
    return total > 0 ? off / total : 0;
  }

  VirtualWorld world;
  FakeDutyPlatform platform;
  DutySettings settings;
  std::map<int, Node> nodes;
  std::map<std::uint64_t, TenantCounts> served;

 private:
  std::uint64_t next_incarnation_ = 0;
  std::map<int, std::unique_ptr<api::ProcessContext>> contexts_;
};

}  // namespace cypresswall::duties
