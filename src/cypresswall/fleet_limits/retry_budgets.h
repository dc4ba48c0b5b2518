/// How often the requests of each service may be repeated by this node, so that all nodes together
/// stay within what the service's operators allow.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/fleet_limits/sliding_window_counter.h"

namespace cypresswall::fleet_limits {

/// What operators allow a service in each window, over all nodes.
struct RetryLimitSettings {
  /// Repeats for each request sent to the service.
  double fleet_share = 0.2;
  /// Repeats beyond the share, so that the streams of one lost engine can resume at once: 50 on
  /// each of 13 nodes, unless operators name their figure.
  double fleet_burst = 650;
  common::Duration window = std::chrono::seconds(10);
};

/// \return the part of the fleet's burst that this node may use, from 0 to 1
using LocalShareFunction = std::function<double()>;

/// The account of one service. Whatever arrives at a back end beyond the first arrival of its
/// request is one repeat.
class RetryBudget {
 public:
  RetryBudget(const common::ServiceName& service, const RetryLimitSettings& settings,
              const api::ProcessContext& context, LocalShareFunction local_share);
  /// Pays in for one request that a caller sent.
  void recordRequest();
  /// \return true if so many repeats could be paid for now
  bool available(std::uint32_t repeats = 1) const;
  /// \return false, taking nothing, if the account doesn't hold so many repeats
  bool withdraw(std::uint32_t repeats = 1);

  const common::ServiceName& service() const { return service_; }
  /// \return repeats of the last window
  double used() const;
  /// \return repeats that can be paid for now
  double left() const;
  /// \return repeats that were not paid for since the start
  std::uint64_t totalRefused() const { return total_refused_; }

 private:
  void refused();
  void paid(std::uint32_t repeats);

  const common::ServiceName service_;
  const RetryLimitSettings settings_;
  const api::ProcessContext& context_;
  const LocalShareFunction local_share_;
  SlidingWindowCounter window_counter_;
  /// Set from the first refusal until repeats are paid for again.
  bool exhausted_ = false;
  common::MonotonicTime last_refused_at_{};
  /// Since the account was found empty.
  std::uint64_t refusals_ = 0;
  std::uint64_t total_refused_ = 0;
  common::Counter& granted_count_;
  common::Counter& refused_count_;
  common::Counter& left_gauge_;
};

/// The accounts of all services, one each, made when a service is first asked for.
class RetryBudgets {
 public:
  RetryBudgets(const RetryLimitSettings& settings, const api::ProcessContext& context,
               LocalShareFunction local_share);
  RetryBudget& of(const common::ServiceName& service);
  const std::map<common::ServiceName, std::unique_ptr<RetryBudget>>& all() const {
    return accounts_;
  }

 private:
  const RetryLimitSettings settings_;
  const api::ProcessContext& context_;
  const LocalShareFunction local_share_;
  std::map<common::ServiceName, std::unique_ptr<RetryBudget>> accounts_;
};

}  // namespace cypresswall::fleet_limits
