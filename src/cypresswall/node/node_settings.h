/// Settings of all modules of one node.
#pragma once

#include <functional>
#include <memory>

#include "cypresswall/admission/admission_settings.h"
#include "cypresswall/autoscaling/settings.h"
#include "cypresswall/configuration/configuration_settings.h"
#include "cypresswall/duties/fleet_duties.h"
#include "cypresswall/execution/execution_settings.h"
#include "cypresswall/fleet_limits/engine_rate_limits.h"
#include "cypresswall/fleet_limits/local_share.h"
#include "cypresswall/fleet_limits/retry_budgets.h"
#include "cypresswall/idempotency/claim_settings.h"
#include "cypresswall/lease/lease_settings.h"
#include "cypresswall/lease/store_lease.h"
#include "cypresswall/membership/membership_settings.h"
#include "cypresswall/orders/settings.h"
#include "cypresswall/planning/planner.h"
#include "cypresswall/quarantine/quarantine_settings.h"
#include "cypresswall/routing/engine_directory.h"
#include "cypresswall/routing/router.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::node {

struct NodeSettings {
  /// Nodes of a zone up to which all hear all and decide about all engines. Put into
  /// `membership.neighbours`, `directory.groups` and the relay of the store.
  std::size_t shared_zone_nodes = 24;
  membership::MembershipSettings membership;
  lease::LeaseSettings lease;
  /// The lease for orders is an object of the platform's store; otherwise, and for idempotency
  /// keys always, a quorum of the zone's nodes grants it.
  bool lease_in_store = false;
  lease::StoreLeaseSettings store_lease;
  idempotency::ClaimSettings claims;
  configuration::ConfigurationSettings configuration;
  routing::DirectorySettings directory;
  routing::RouterSettings router;
  routing::PlacementSettings placement;
  orders::ControllerSettings controller;
  /// Makes the planner of roles; empty takes the cost-based one.
  std::function<std::unique_ptr<planning::Planner>()> make_planner = {};
  /// Makes the router; empty takes the cost-based one. Set by experiments only.
  std::function<std::unique_ptr<routing::Router>(const api::ProcessContext&,
                                                 routing::EngineDirectory&)>
      make_router = {};
  admission::SheddingSettings shedding;
  admission::AdmissionSettings admission;
  execution::ExecutionSettings execution;
  fleet_limits::RetryLimitSettings retries;
  fleet_limits::LocalShareSettings local_share;
  fleet_limits::RateLimitSettings rate_limits;
  quarantine::QuarantineSettings quarantine;
  duties::DutySettings duties;
  autoscaling::AutoscalingSettings autoscaling;
  /// A planned stop waits no longer than this for requests that run.
  common::Duration stop_limit = std::chrono::minutes(10);
  /// How often a planned stop looks whether anything still runs.
  common::Duration stop_check_interval = std::chrono::milliseconds(20);
};

}  // namespace cypresswall::node
