/// Accounts of many nodes in virtual time, each with the members that it believes in. Nodes start,
/// die, stand still and are cut off; only what the accounts rest on is simulated.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "cypresswall/fleet_limits/local_share.h"
#include "cypresswall/fleet_limits/retry_budgets.h"
#include "cypresswall/simulation/virtual_time.h"
#include "tests/execution/process_fixture.h"

namespace cypresswall::testing {

/// The timers of one process: they wait while it stands still, and are dropped when it ends.
class ProcessTimers final : public common::Scheduler {
 public:
  explicit ProcessTimers(simulation::VirtualTime& time) : time_(time) {}
  common::TimerId schedule(common::Duration delay, std::function<void()> callback) override {
    return time_.schedule(delay, [this, alive = std::weak_ptr<bool>(alive_), callback] {
      if (alive.expired()) {
        return;
      }
      if (paused) {
        held_.push_back(callback);
      } else {
        callback();
      }
    });
  }
  void cancel(common::TimerId timer) override { time_.cancel(timer); }
  void wake() {
    paused = false;
    for (const auto& callback : std::exchange(held_, {})) {
      callback();
    }
  }

  bool paused = false;

 private:
  simulation::VirtualTime& time_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::vector<std::function<void()>> held_;
};

/// Members as one node sees them; lists are shared between nodes that see the same.
class SharedMembership final : public membership::MembershipView {
 public:
  using List = std::shared_ptr<const std::vector<membership::Member>>;

  const common::NodeId& self() const override { return node_; }
  const common::ZoneName& zone() const override { return zone_; }
  const std::vector<membership::Member>& members() const override { return *list_; }
  bool machineLeaving(const common::MachineName&) const override { return false; }
  bool addressLeaving(const common::Address&) const override { return false; }
  bool confirmedDead(const common::NodeId&) const override { return false; }
  void setDigest(membership::DigestTopic, std::uint64_t) override {}
  std::optional<std::uint64_t> digest(const common::NodeId&,
                                      membership::DigestTopic) const override {
    return std::nullopt;
  }
  void onChange(std::function<void()> listener) override {
    listeners_.push_back(std::move(listener));
  }
  void see(List list) {
    list_ = std::move(list);
    for (const auto& listener : listeners_) {
      listener();
    }
  }

 private:
  common::NodeId node_{"127.0.0.1:1", 7};
  common::ZoneName zone_ = "quay";
  List list_ = std::make_shared<const std::vector<membership::Member>>(1);
  std::vector<std::function<void()>> listeners_;
};

/// One life of one node.
class AccountNode {
 public:
  AccountNode(simulation::VirtualTime& time, const fleet_limits::RetryLimitSettings& limits,
              const fleet_limits::LocalShareSettings& part,
              common::LogSink& log = common::nullLogSink())
      : timers(time),
        context_{common::NodeId{"127.0.0.1:1", 7},
                 "quay",
                 time,
                 timers,
                 random_,
                 log,
                 counters_,
                 transport_,
                 dispatcher_},
        fleet_part(part, context_, membership),
        accounts(limits, context_, [this] { return fleet_part.fraction(); }) {}
  AccountNode(const AccountNode&) = delete;
  AccountNode& operator=(const AccountNode&) = delete;

  fleet_limits::RetryBudget& account() { return accounts.of("advice"); }

  ProcessTimers timers;
  SharedMembership membership;

 private:
  common::SeededRandom random_{1};
  common::CounterRegistry counters_;
  NullTransport transport_;
  api::MessageDispatcher dispatcher_;
  api::ProcessContext context_;

 public:
  fleet_limits::LocalShare fleet_part;
  fleet_limits::RetryBudgets accounts;
};

}  // namespace cypresswall::testing
