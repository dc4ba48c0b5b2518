/// Settings of cypresswalld, put together from the settings of its parts. Defaults are those of the
/// parts; docs/settings.md lists every key.
#pragma once

#include <cstdint>

#include "cypresswall/common/event_log.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/engines/http_engine_client.h"
#include "cypresswall/gateway/session.h"
#include "cypresswall/http/server.h"
#include "cypresswall/node/node_settings.h"
#include "cypresswall/object_store/http_machine_list.h"
#include "cypresswall/object_store/http_object_store.h"
#include "cypresswall/planning/disaggregated_planner.h"
#include "cypresswall/runtime/fault_switch.h"
#include "cypresswall/runtime/transport_settings.h"
#include "cypresswall/services/http_service_client.h"

namespace cypresswall::settings {

/// Which protocol the platform around the daemon speaks.
enum class PlatformProtocol : std::uint8_t {
  kCypresswall,  ///< the project's own (docs/protocols.md)
  kObjects,      ///< that of the folder platform/
};

struct DaemonSettings {
  common::ZoneName zone;
  common::LogLevel log_level = common::LogLevel::kInfo;
  node::NodeSettings node;
  PlatformProtocol platform_protocol = PlatformProtocol::kCypresswall;
  /// Policy of planning where the platform declares the fleet, but no policy.
  configuration::PlanningPolicy planning;
  /// The planner of roles where engines have only the roles "prefill" and "decode".
  planning::DisaggregatedPlannerSettings disaggregated_planner;
  /// Cached prefixes are copied where the platform's engines can do that.
  bool copied_prefixes = true;
  /// Where the daemon serves its own paths; empty serves them with the callers'.
  common::Address readiness_address;
  /// A planned stop takes requests for so long after the node has said that it isn't ready.
  common::Duration stop_lame_duck{0};
  runtime::TransportSettings transport;
  http::ServerSettings server;
  gateway::GatewaySettings gateway;
  engines::HttpEngineSettings engines;
  services::HttpServiceSettings services;
  object_store::HttpObjectStoreSettings object_store;
  object_store::HttpMachineListSettings machine_list;
  /// Where the platform takes the calls that are the duty of one node of the fleet; empty if it has
  /// none.
  common::Address duty_api;
  /// Used only in builds with fault switches.
  runtime::BlockedPeers blocked_peers;
};

}  // namespace cypresswall::settings
