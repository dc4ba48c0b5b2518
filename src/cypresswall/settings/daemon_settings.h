/// Settings of cypresswalld, put together from the settings of its parts. Defaults are those of the
/// parts; docs/settings.md lists every key.
#pragma once

#include "cypresswall/common/event_log.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/engines/http_engine_client.h"
#include "cypresswall/gateway/session.h"
#include "cypresswall/http/server.h"
#include "cypresswall/node/node_settings.h"
#include "cypresswall/platform/http_machine_list.h"
#include "cypresswall/platform/http_object_store.h"
#include "cypresswall/runtime/fault_switch.h"
#include "cypresswall/runtime/transport_settings.h"
#include "cypresswall/services/http_service_client.h"

namespace cypresswall::settings {

struct DaemonSettings {
  common::ZoneName zone;
  common::LogLevel log_level = common::LogLevel::kInfo;
  node::NodeSettings node;
  runtime::TransportSettings transport;
  http::ServerSettings server;
  gateway::GatewaySettings gateway;
  engines::HttpEngineSettings engines;
  services::HttpServiceSettings services;
  platform::HttpObjectStoreSettings object_store;
  platform::HttpMachineListSettings machine_list;
  /// Used only in builds with fault switches.
  runtime::BlockedPeers blocked_peers;
};

}  // namespace cypresswall::settings
