/// Settings of cypresswalld. They consist mostly of the settings of its components, which define
/// the defaults. docs/settings.md lists every key.
#pragma once

#include <cstdint>
#include <map>
#include <string>

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
#include "cypresswall/runtime/connection_pool.h"
#include "cypresswall/runtime/fault_switch.h"
#include "cypresswall/runtime/transport_settings.h"
#include "cypresswall/services/http_service_client.h"

namespace cypresswall::settings {

/// Protocol of the platform that the daemon runs on.
enum class PlatformProtocol : std::uint8_t {
  kCypresswall,  ///< this project's protocol (docs/protocols.md)
  kObjects,      ///< the protocol implemented in platform/
};

struct DaemonSettings {
  common::ZoneName zone;
  common::LogLevel log_level = common::LogLevel::kInfo;
  node::NodeSettings node;
  PlatformProtocol platform_protocol = PlatformProtocol::kCypresswall;
  /// Region of each of the platform's zones; may be empty if the platform has one region.
  std::map<std::string, std::string> platform_zone_regions;
  /// Planning policy that applies if the platform declares the fleet: its declaration contains no
  /// policy.
  configuration::PlanningPolicy planning;
  /// Settings of the role planner for engines that have only the roles "prefill" and "decode".
  planning::DisaggregatedPlannerSettings disaggregated_planner;
  /// If true, cached prefixes of prompts are copied between engines. Ignored unless the platform's
  /// engines support such copies.
  bool copied_prefixes = true;
  /// Address at which the daemon serves its own paths, such as /readyz; if empty, it serves them at
  /// the gateway address.
  common::Address readiness_address;
  /// On a planned stop, the node first reports that it is not ready, and still accepts requests for
  /// this long, so that load balancers can notice.
  common::Duration stop_lame_duck{0};
  runtime::TransportSettings transport;
  runtime::ConnectionPoolSettings connections;
  http::ServerSettings server;
  /// Memory that the process may use, in units of 10^6 bytes; zero for all that the system reports.
  double machine_megabytes = 0;
  /// Memory for requests and answers of callers, in bytes. Zero in a settings file selects a share
  /// of the machine's memory.
  std::size_t caller_memory_bytes = 0;
  /// Memory for responses of servers that are still arriving, in bytes; derived from the machine's
  /// memory.
  std::size_t collected_response_bytes = 0;
  /// Connections at the readiness address.
  std::size_t management_connections = 256;
  gateway::GatewaySettings gateway;
  engines::HttpEngineSettings engines;
  services::HttpServiceSettings services;
  object_store::HttpObjectStoreSettings object_store;
  object_store::HttpMachineListSettings machine_list;
  /// Address of the platform API for calls that a single node makes for the whole fleet (usage
  /// reports and autoscaling); empty if the platform has no such API.
  common::Address duty_api;
  /// Used only in builds with fault injection.
  runtime::BlockedPeers blocked_peers;
};

}  // namespace cypresswall::settings
