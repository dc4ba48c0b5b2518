/// Retry budgets of many nodes in virtual time, each with its own view of the members. Nodes can
/// start, die, be paused and be partitioned; only the inputs of the budgets are simulated.
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

/// Timers of one process: deferred while it is paused, and dropped when it ends.
class ProcessTimers final : public common::Scheduler {
 public:
  explicit ProcessTimers(simulation::VirtualTime& time) : time_(time) {}
  common::TimerId schedule(common::Duration delay, std::function<void()> callback) override {
    return time_.schedule(delay, [this, alive = std::weak_ptr<bool>(alive_), callback] {
      if (alive.expired()) {
        return;
      }
      if (paused) {
        deferred_.push_back(callback);
      } else {
        callback();
      }
    });
  }
  void cancel(common::TimerId timer) override { time_.cancel(timer); }
  void wake() {
    paused = false;
    for (const auto& callback : std::exchange(deferred_, {})) {
      callback();
    }
  }

  bool paused = false;

 private:
  simulation::VirtualTime& time_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::vector<std::function<void()>> deferred_;
};

/// Member list of one node; nodes with the same view share the list.
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
  void setMembers(List list) {
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

/// One incarnation of a node.
class BudgetNode {
 public:
  BudgetNode(simulation::VirtualTime& time, const fleet_limits::RetryLimitSettings& limits,
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
        local_share(part, context_, membership),
        budgets(limits, context_, [this] { return local_share.fraction(); }) {}
  BudgetNode(const BudgetNode&) = delete;
  BudgetNode& operator=(const BudgetNode&) = delete;

  fleet_limits::RetryBudget& budget() { return budgets.of("advice"); }

  ProcessTimers timers;
  SharedMembership membership;

 private:
  common::SeededRandom random_{1};
  common::CounterRegistry counters_;
  NullTransport transport_;
  api::MessageDispatcher dispatcher_;
  api::ProcessContext context_;

 public:
  fleet_limits::LocalShare local_share;
  fleet_limits::RetryBudgets budgets;
};

}  // namespace cypresswall::testing
