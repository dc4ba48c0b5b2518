/// Composes the modules of one daemon without I/O: clock, timers, transport and clients are
/// injected, so that the same object runs in cypresswalld and in the simulator.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "cypresswall/admission/fair_shares.h"
#include "cypresswall/admission/observed_router.h"
#include "cypresswall/admission/zone_admission_controller.h"
#include "cypresswall/answer_builds/fleet_answer_builds.h"
#include "cypresswall/api/process_context.h"
#include "cypresswall/api/server_connections.h"
#include "cypresswall/autoscaling/controller.h"
#include "cypresswall/availability/announced_availability.h"
#include "cypresswall/checkpoint/checkpoint_reader.h"
#include "cypresswall/checkpoint/checkpoint_writer.h"
#include "cypresswall/configuration/configuration_replica.h"
#include "cypresswall/duties/fleet_duties.h"
#include "cypresswall/engines/engine_client.h"
#include "cypresswall/execution/engine_model_executor.h"
#include "cypresswall/execution/http_service_executor.h"
#include "cypresswall/fleet_limits/connection_shares.h"
#include "cypresswall/fleet_limits/engine_rate_limits.h"
#include "cypresswall/fleet_limits/fair_share_accounts.h"
#include "cypresswall/fleet_limits/local_share.h"
#include "cypresswall/fleet_limits/retry_budgets.h"
#include "cypresswall/fleet_limits/tenant_accounts.h"
#include "cypresswall/forwarding/forwarder.h"
#include "cypresswall/forwarding/forwarding_model_executor.h"
#include "cypresswall/forwarding/forwarding_server.h"
#include "cypresswall/forwarding/forwarding_service_executor.h"
#include "cypresswall/idempotency/quorum_key_claims.h"
#include "cypresswall/lease/store_lease.h"
#include "cypresswall/lease/zone_authority.h"
#include "cypresswall/membership/membership.h"
#include "cypresswall/membership/zone_gossip.h"
#include "cypresswall/node/node_settings.h"
#include "cypresswall/node/node_state.h"
#include "cypresswall/object_store/machine_list.h"
#include "cypresswall/object_store/object_store.h"
#include "cypresswall/operators/command_service.h"
#include "cypresswall/orders/demand_part.h"
#include "cypresswall/orders/zone_controller.h"
#include "cypresswall/quarantine/fleet_quarantine.h"
#include "cypresswall/reachability/path_monitor.h"
#include "cypresswall/routing/cost_router.h"
#include "cypresswall/routing/engine_directory.h"
#include "cypresswall/routing/permit_router.h"
#include "cypresswall/routing/placement_router.h"
#include "cypresswall/routing/placement_service.h"
#include "cypresswall/services/service_client.h"

namespace cypresswall::node {

/// Clients through which a node uses external systems. All must outlive the node.
struct NodeClients {
  object_store::ObjectStore& object_store;
  object_store::MachineList& machine_list;
  engines::EngineClient& engines;
  services::ServiceClient& services;
  /// Set if the platform declares the fleet. The node then uses this configuration instead of the
  /// replicated one, and operators can't change the configuration.
  configuration::ConfigurationView* declared = nullptr;
  /// Set if the platform assigns fleet-wide duties to a single node.
  duties::DutyPlatform* duties = nullptr;
  /// Wall-clock time, required for usage reports, checkpoints and stored crashes; may be empty if
  /// the node writes none.
  common::TimeOfDay time_of_day = {};
  /// Reports and probes connections to engines and back ends. Without it, the node doesn't notice
  /// that it has lost its links to all of them.
  api::ServerConnections* connections = nullptr;
};

class Node {
 public:
  /// Builds the modules; nothing is sent before start().
  Node(NodeSettings settings, const api::ProcessContext& context, const NodeClients& clients);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// Joins the zone and starts all modules.
  void start();
  /// \return true if the node has a configuration by which it can admit and route requests, and is
  ///   not draining.
  bool ready() const { return hasConfiguration() && !draining_; }

  /// Graceful shutdown: accepts no new requests, resigns the lease and the voter role, and calls
  /// `done` once no work would be interrupted by the end of the process, or after
  /// NodeSettings::stop_limit. A second call replaces `done`.
  void beginStop(std::function<void()> done);
  bool draining() const { return draining_; }

  membership::Membership& membership() { return membership_; }
  membership::ZoneGossip& gossip() { return gossip_; }
  lease::ZoneAuthority& authority() { return authority_; }
  /// The replicated configuration. If the platform declares the fleet, it is not started and stays
  /// empty.
  configuration::ConfigurationReplica& configuration() { return configuration_; }
  /// The configuration in force: the one that the platform declares, or else the replicated one.
  configuration::ConfigurationView& configurationView() { return configuration_view_; }
  routing::EngineDirectory& engines() { return engines_; }
  orders::ZoneController& controller() { return controller_; }
  idempotency::KeyClaims& keyClaims() { return key_claims_; }
  operators::CommandService& commands() { return commands_; }
  admission::ZoneAdmissionController& admission() { return admission_; }
  /// Records of the model requests that this node executed, also for other nodes.
  const execution::RequestJournal& modelJournal() const { return model_executor_.journal(); }
  execution::ModelExecutor& modelExecutor() { return forwarding_models_; }
  duties::FleetDuties& duties() { return duties_; }
  const fleet_limits::ConnectionShares& connectionShares() const { return connection_shares_; }
  execution::ServiceExecutor& serviceExecutor() { return forwarding_services_; }

 private:
  bool hasConfiguration() const;
  /// Publishes the version of the platform's declaration that this node has applied to the other
  /// nodes, in the digest that membership messages carry.
  void publishDeclaredVersion();
  /// Stops accepting work; requests in flight continue.
  void drain();
  lease::AuthorityView& makeOrdersAuthority(object_store::ObjectStore& store);
  void startAuthority();
  void startCheckpoint();
  /// Connects the clients and the modules with the monitor of this node's path to servers.
  void watchServerPath();
  /// Connects the records of which software build began an answer with the engines declared and
  /// with the requests.
  void recordAnswerBuilds();
  void checkStop();
  bool mayStop() const;

  NodeSettings settings_;
  api::ProcessContext context_;
  NodeClients clients_;
  membership::Membership membership_;
  membership::ZoneGossip gossip_;
  /// Lease of the zone that a quorum of its nodes grants. Not started if the lease for orders is in
  /// the platform's store.
  lease::ZoneAuthority authority_;
  std::optional<lease::StoreLease> store_lease_;
  lease::AuthorityView& orders_authority_;
  configuration::ConfigurationReplica configuration_;
  configuration::ConfigurationView* declared_;
  configuration::ConfigurationView& configuration_view_;
  availability::AnnouncedAvailability announced_;
  reachability::PathMonitor server_path_;
  routing::EngineDirectory engines_;
  std::unique_ptr<routing::Router> router_;
  fleet_limits::EngineRateLimits rate_limits_;
  routing::PermitRouter permit_router_;
  routing::PlacementService placement_service_;
  routing::PlacementRouter placement_router_;
  orders::ZoneController controller_;
  admission::FairShares fair_shares_;
  fleet_limits::FairShareAccounts fair_share_accounts_;
  orders::DemandPart demand_part_;
  checkpoint::CheckpointReader checkpoint_reader_;
  checkpoint::CheckpointWriter checkpoint_writer_;
  admission::ObservedRouter observed_router_;
  admission::ZoneAdmissionController admission_;
  idempotency::QuorumKeyClaims key_claims_;
  fleet_limits::TenantAccounts tenant_accounts_;
  fleet_limits::LocalShare local_share_;
  fleet_limits::RetryBudgets retries_;
  fleet_limits::LocalShare connection_part_;
  fleet_limits::ConnectionShares connection_shares_;
  quarantine::FleetQuarantine quarantine_;
  answer_builds::FleetAnswerBuilds answer_builds_;
  duties::FleetDuties duties_;
  autoscaling::Controller autoscaling_;
  execution::EngineModelExecutor model_executor_;
  execution::HttpServiceExecutor service_executor_;
  forwarding::Forwarder forwarder_;
  forwarding::ForwardingModelExecutor forwarding_models_;
  forwarding::ForwardingServiceExecutor forwarding_services_;
  forwarding::ForwardingServer forwarding_server_;
  NodeState state_;
  operators::CommandService commands_;
  bool draining_ = false;
  std::function<void()> on_stopped_;
  common::MonotonicTime stop_deadline_;
};

}  // namespace cypresswall::node
