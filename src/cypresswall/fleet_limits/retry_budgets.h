/// Retry budgets: limit the retries that this node makes for each service, so that all nodes
/// together stay within the fleet-wide limit set by the operators.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/fleet_limits/sliding_window_counter.h"

namespace cypresswall::fleet_limits {

/// Limits on the retries of a service in each window, over all nodes.
struct RetryLimitSettings {
  /// Retries allowed per request that callers send to the service.
  double fleet_share = 0.2;
  /// Retries allowed in each window in addition to `fleet_share`, so that the streams of one lost
  /// engine can resume at once. The default allows 50 on each of 13 nodes.
  double fleet_burst = 650;
  common::Duration window = std::chrono::seconds(10);
};

/// \return the fraction of RetryLimitSettings::fleet_burst that this node may use, from 0 to 1
using LocalShareFunction = std::function<double()>;

/// The retry budget of one service. If a request is sent to back ends several times, each time
/// after the first counts as one retry.
class RetryBudget {
 public:
  RetryBudget(const common::ServiceName& service, const RetryLimitSettings& settings,
              const api::ProcessContext& context, LocalShareFunction local_share);
  /// Credits the budget for one request from a caller.
  void recordRequest();
  /// \return true if the budget covers this many retries now
  bool available(std::uint32_t retries = 1) const;
  /// \return false, without taking anything, if the budget does not cover this many retries
  bool withdraw(std::uint32_t retries = 1);

  const common::ServiceName& service() const { return service_; }
  common::Duration window() const { return settings_.window; }
  /// \return retries made in the last window
  double used() const;
  /// \return retries that the budget covers now
  double left() const;
  /// \return calls of withdraw() that were refused since the start
  std::uint64_t totalRefused() const { return total_refused_; }

 private:
  void refused();
  void granted(std::uint32_t retries);

  const common::ServiceName service_;
  const RetryLimitSettings settings_;
  const api::ProcessContext& context_;
  const LocalShareFunction local_share_;
  SlidingWindowCounter window_counter_;
  /// True from the first refusal until retries are granted again.
  bool exhausted_ = false;
  common::MonotonicTime last_refused_at_{};
  /// Refused calls of withdraw() since the budget was exhausted; logged when it has recovered.
  std::uint64_t refusals_ = 0;
  std::uint64_t total_refused_ = 0;
  common::Counter& granted_count_;
  common::Counter& refused_count_;
  common::Counter& left_gauge_;
};

/// The budgets of all services, each created when it is first requested.
class RetryBudgets {
 public:
  RetryBudgets(const RetryLimitSettings& settings, const api::ProcessContext& context,
               LocalShareFunction local_share);
  RetryBudget& of(const common::ServiceName& service);
  const std::map<common::ServiceName, std::unique_ptr<RetryBudget>>& all() const {
    return budgets_;
  }

 private:
  const RetryLimitSettings settings_;
  const api::ProcessContext& context_;
  const LocalShareFunction local_share_;
  std::map<common::ServiceName, std::unique_ptr<RetryBudget>> budgets_;
};

}  // namespace cypresswall::fleet_limits
