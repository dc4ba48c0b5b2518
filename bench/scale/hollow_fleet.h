/// All hollow nodes of a scale run, by zone.
#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <vector>

#include "bench/scale/hollow_node.h"
#include "bench/scale/scale_run.h"
#include "cypresswall/configuration/fleet.h"
#include "cypresswall/platform/http_machine_list.h"
#include "cypresswall/platform/http_object_store.h"
#include "cypresswall/runtime/curl_multi.h"
#include "cypresswall/services/http_service_client.h"

namespace cypresswall::bench {

/// \return name of the zone with that number.
common::ZoneName scaleZoneName(std::uint32_t zone);
/// \return address of a node, both numbers from 0.
common::Address scaleNodeAddress(const ScaleSettings& settings, std::uint32_t zone,
                                 std::uint32_t node);
/// \return the declared objects of the fleet: zones, models, engines, services and tenants.
std::vector<configuration::ObjectChange> scaleObjects(const ScaleSettings& settings);

class HollowFleet {
 public:
  /// Builds and starts all nodes that real daemons do not provide.
  HollowFleet(asio::io_context& context, const ScaleSettings& settings);

  /// \return the nodes that run, ordered by zone.
  std::vector<std::unique_ptr<HollowNode>>& nodes() { return nodes_; }
  common::Scheduler& scheduler() { return scheduler_; }
  const common::Clock& clock() const { return clock_; }

 private:
  node::NodeSettings nodeSettings(std::uint32_t zone) const;

  ScaleSettings settings_;
  runtime::AsioClock clock_;
  runtime::AsioScheduler scheduler_;
  runtime::CurlMulti curl_;
  common::CounterRegistry counters_;
  platform::HttpObjectStore object_store_;
  platform::HttpMachineList machine_list_;
  services::HttpServiceClient services_;
  std::vector<std::unique_ptr<HollowNode>> nodes_;
};

}  // namespace cypresswall::bench
