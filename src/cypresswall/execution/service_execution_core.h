/// State and dependencies shared by all service requests of a node.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

#include "cypresswall/admission/admission.h"
#include "cypresswall/admission/fair_shares.h"
#include "cypresswall/api/process_context.h"
#include "cypresswall/api/server_path.h"
#include "cypresswall/availability/announced_availability.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/duties/usage_recorder.h"
#include "cypresswall/execution/deferred_destruction.h"
#include "cypresswall/execution/execution_settings.h"
#include "cypresswall/execution/request_journal.h"
#include "cypresswall/fleet_limits/rate_limiter.h"
#include "cypresswall/fleet_limits/retry_budgets.h"
#include "cypresswall/idempotency/key_claims.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/quarantine/request_quarantine.h"
#include "cypresswall/services/service_client.h"

namespace cypresswall::execution {

class ServiceRun;

/// Dependencies of service requests. All referenced objects must outlive the executor.
struct ServiceInterfaces {
  const configuration::ConfigurationView& configuration;
  const membership::MembershipView& membership;
  admission::AdmissionController& admission;
  services::ServiceClient& client;
  idempotency::KeyClaims& claims;
  fleet_limits::RetryBudgets& retries;
  fleet_limits::RateLimiter& rate_limiter;
  quarantine::RequestQuarantine& quarantine;
  duties::UsageRecorder& usage;
  const availability::AnnouncedAvailability& announced;
  /// Told how back ends answer; null if their room is not divided.
  admission::FairShares* fair_shares = nullptr;
  /// Whether this node reaches back ends; null if that is not known.
  const api::ServerPath* server_path = nullptr;
};

/// Counters of service requests.
struct ServiceRequestCounters {
  explicit ServiceRequestCounters(common::CounterRegistry& registry);
  common::Counter& started;
  common::Counter& done;
  common::Counter& failed_not_run;
  common::Counter& failed_unknown;
  common::Counter& abandoned;
  common::Counter& attempts;
  common::Counter& retries_after_run;
  common::Counter& retries_after_no_run;
  common::Counter& retry_budget_exhausted;
  common::Counter& misdirected;   ///< attempts that reached another server than the chosen one
  common::Counter& late_answers;  ///< answers ignored because their attempt had ended
  common::Counter& late_grants;   ///< key claims not used: granted after claim_use_limit
  common::Counter& finished_after_abandon;  ///< operations completed after the caller disconnected
};

/// Owns the running requests. The callers' handles do not, because a non-repeatable request
/// continues after its caller has disconnected.
class ServiceExecutionCore {
 public:
  ServiceExecutionCore(const api::ProcessContext& process_context,
                       const ServiceInterfaces& service_interfaces,
                       const ExecutionSettings& execution_settings);

  void add(std::shared_ptr<ServiceRun> run);
  void remove(const ServiceRun& run) { runs_.erase(&run); }
  std::size_t running() const { return runs_.size(); }

  const api::ProcessContext& process;
  const ServiceInterfaces interfaces;
  const ExecutionSettings settings;
  ServiceRequestCounters counters;
  RequestJournal journal;
  DeferredDestruction<services::ServiceCall> ended_calls;

 private:
  /// Used only for lookup: the order of the addresses differs between runs, so iterating would not
  /// be deterministic.
  std::map<const ServiceRun*, std::shared_ptr<ServiceRun>> runs_;
};

}  // namespace cypresswall::execution
