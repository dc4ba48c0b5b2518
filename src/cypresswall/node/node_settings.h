/// Settings of all modules of one node.
#pragma once

#include <functional>
#include <memory>

#include "cypresswall/admission/admission_settings.h"
#include "cypresswall/admission/fair_shares.h"
#include "cypresswall/answer_builds/settings.h"
#include "cypresswall/autoscaling/settings.h"
#include "cypresswall/availability/announced_availability.h"
#include "cypresswall/checkpoint/settings.h"
#include "cypresswall/configuration/configuration_settings.h"
#include "cypresswall/duties/fleet_duties.h"
#include "cypresswall/execution/execution_settings.h"
#include "cypresswall/fleet_limits/connection_shares.h"
#include "cypresswall/fleet_limits/engine_rate_limits.h"
#include "cypresswall/fleet_limits/fair_share_accounts.h"
#include "cypresswall/fleet_limits/local_share.h"
#include "cypresswall/fleet_limits/retry_budgets.h"
#include "cypresswall/fleet_limits/tenant_accounts.h"
#include "cypresswall/forwarding/forwarding_settings.h"
#include "cypresswall/idempotency/claim_settings.h"
#include "cypresswall/lease/lease_settings.h"
#include "cypresswall/lease/store_lease.h"
#include "cypresswall/membership/membership_settings.h"
#include "cypresswall/orders/settings.h"
#include "cypresswall/planning/planner.h"
#include "cypresswall/quarantine/quarantine_settings.h"
#include "cypresswall/reachability/reachability_settings.h"
#include "cypresswall/routing/engine_directory.h"
#include "cypresswall/routing/router.h"
#include "cypresswall/routing/settings.h"

namespace cypresswall::node {

struct NodeSettings {
  /// In a zone of at most this many nodes, every node exchanges messages with all others and makes
  /// decisions for all engines. Overrides the corresponding limits in `membership.neighbours`,
  /// `directory.groups` and the settings of the store relay.
  std::size_t shared_zone_nodes = 24;
  membership::MembershipSettings membership;
  lease::LeaseSettings lease;
  /// If true, the lease that authorizes orders to engines is an object in the platform's store. If
  /// false, a quorum of the zone's nodes grants it. Idempotency keys always use the quorum lease,
  /// which is not started if this is true.
  bool lease_in_store = false;
  lease::StoreLeaseSettings store_lease;
  idempotency::ClaimSettings claims;
  configuration::ConfigurationSettings configuration;
  routing::DirectorySettings directory;
  routing::RouterSettings router;
  routing::PlacementSettings placement;
  orders::ControllerSettings controller;
  /// Creates the role planner; if empty, the cost-based planner is used.
  std::function<std::unique_ptr<planning::Planner>()> make_planner = {};
  /// Creates the router; if empty, the cost-based router is used. Only set in experiments.
  std::function<std::unique_ptr<routing::Router>(const api::ProcessContext&,
                                                 routing::EngineDirectory&)>
      make_router = {};
  admission::SheddingSettings shedding;
  admission::AdmissionSettings admission;
  execution::ExecutionSettings execution;
  fleet_limits::RetryLimitSettings retries;
  fleet_limits::LocalShareSettings local_share;
  fleet_limits::ConnectionLimitSettings connections;
  fleet_limits::LocalShareSettings connection_share;
  /// Maximum number of engines that the zone's nodes use unless the load needs more; zero uses all.
  /// The others are in reserve: nodes know nothing of them.
  std::size_t working_engines = 1024;
  /// Maximum number of back ends of a plain HTTP service that this node uses; zero uses all.
  std::size_t backends_per_node = 16;
  fleet_limits::TenantAccountSettings tenant_accounts;
  admission::FairShareSettings fair_shares;
  /// `enabled` follows from `fair_shares`.
  fleet_limits::FairShareAccountSettings fair_share_accounts;
  fleet_limits::RateLimitSettings rate_limits;
  availability::AnnouncedAvailabilitySettings announced;
  quarantine::QuarantineSettings quarantine;
  answer_builds::AnswerBuildSettings answer_builds;
  reachability::ReachabilitySettings reachability;
  forwarding::ForwardingSettings forwarding;
  checkpoint::CheckpointSettings checkpoint;
  duties::DutySettings duties;
  autoscaling::AutoscalingSettings autoscaling;
  /// Maximum time that a graceful shutdown waits for requests in flight.
  common::Duration stop_limit = std::chrono::minutes(10);
  /// Interval at which a graceful shutdown checks for remaining work.
  common::Duration stop_check_interval = std::chrono::milliseconds(20);
};

}  // namespace cypresswall::node
