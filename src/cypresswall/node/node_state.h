/// State that one node shows in answers to operator queries: engines, nodes and lease of its zone,
/// its own requests and limits, and the reasons for the zone controller's decisions.
#pragma once

#include <string>
#include <vector>

#include "cypresswall/admission/fair_shares.h"
#include "cypresswall/autoscaling/controller.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/duties/fleet_duties.h"
#include "cypresswall/execution/request_journal.h"
#include "cypresswall/fleet_limits/engine_rate_limits.h"
#include "cypresswall/fleet_limits/local_share.h"
#include "cypresswall/fleet_limits/retry_budgets.h"
#include "cypresswall/lease/authority_view.h"
#include "cypresswall/membership/membership.h"
#include "cypresswall/operators/state_providers.h"
#include "cypresswall/orders/zone_controller.h"
#include "cypresswall/quarantine/fleet_quarantine.h"
#include "cypresswall/routing/engine_directory.h"
#include "cypresswall/routing/router.h"

namespace cypresswall::node {

/// The modules whose state NodeState reads. All must outlive NodeState.
struct NodeStateSources {
  const common::Clock& clock;
  const membership::Membership& membership;
  const lease::AuthorityView& authority;
  const configuration::ConfigurationView& configuration;
  const routing::EngineDirectory& engines;
  const routing::Router& router;
  const orders::ZoneController& controller;
  const execution::RequestJournal& model_requests;
  const execution::RequestJournal& service_requests;
  const fleet_limits::RetryBudgets& retries;
  const admission::FairShares& fair_shares;
  const fleet_limits::LocalShare& local_share;
  fleet_limits::EngineRateLimits& rate_limits;
  const quarantine::FleetQuarantine& quarantine;
  const duties::FleetDuties& duties;
  const autoscaling::Controller& autoscaling;
};

class NodeState final : public operators::StateProviders {
 public:
  explicit NodeState(const NodeStateSources& sources) : sources_(sources) {}

  std::vector<operators::EngineRow> engines() const override;
  std::vector<operators::RequestRow> requests() const override;
  std::vector<operators::LeaseRow> leases() const override;
  std::vector<operators::NodeRow> nodes() const override;
  std::vector<operators::RetryRow> retries() const override;
  std::vector<operators::QuarantineRow> quarantine() const override;
  std::vector<operators::RateLimitRow> limits() const override;
  std::vector<operators::TenantShareRow> tenantShares() const override;
  std::vector<operators::UsageRow> usage() const override;
  std::vector<operators::CapacityRow> capacity() const override;
  std::vector<operators::Explanation> explainEngine(const common::EngineName& name) const override;

  std::vector<operators::Explanation> explainRequest(const std::string& id) const override;

 private:
  void addRequests(const execution::RequestJournal& journal,
                   std::vector<operators::RequestRow>& rows) const;
  void explainLimit(const common::EngineName& name,
                    std::vector<operators::Explanation>& lines) const;
  void explainView(const common::EngineName& name,
                   std::vector<operators::Explanation>& lines) const;
  void explainChanges(const common::EngineName& name,
                      std::vector<operators::Explanation>& lines) const;
  void explainPlan(const common::EngineName& name,
                   std::vector<operators::Explanation>& lines) const;

  NodeStateSources sources_;
};

}  // namespace cypresswall::node
