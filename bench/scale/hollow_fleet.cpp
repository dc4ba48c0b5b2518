#include "bench/scale/hollow_fleet.h"

#include <algorithm>
#include <sstream>

#include "cypresswall/configuration/object_codec.h"

namespace cypresswall::bench {
namespace {

using configuration::ObjectChange;
using configuration::ObjectKind;
using configuration::setObject;

/// Addresses of this many nodes of a zone are given to others as seeds.
constexpr std::uint32_t kSeedsPerZone = 3;

std::string regionName(const ScaleSettings& settings, std::uint32_t zone) {
  return "region-" + std::to_string(zone % std::max(settings.regions, 1U));
}

std::string modelName(std::uint32_t model) { return "model-" + std::to_string(model); }

std::vector<common::Address> seedAddresses(const ScaleSettings& settings, std::uint32_t zone) {
  std::vector<common::Address> seeds;
  for (std::uint32_t node = 0; node < std::min(kSeedsPerZone, settings.nodes_per_zone); ++node) {
    seeds.push_back(scaleNodeAddress(settings, zone, node));
  }
  return seeds;
}

/// An address that nothing listens on: hollow engines are asked in their own process.
common::Address runnerAddress(std::uint32_t zone, std::uint32_t runner) {
  constexpr std::uint32_t kRunnersPerHost = 200;
  constexpr std::uint32_t kFirstPort = 20000;
  std::ostringstream address;
  address << "127.2." << zone << "." << 1 + runner / kRunnersPerHost << ":"
          << kFirstPort + runner % kRunnersPerHost;
  return address.str();
}

void addZone(const ScaleSettings& settings, std::uint32_t zone,
             std::vector<ObjectChange>& objects) {
  const auto name = scaleZoneName(zone);
  objects.push_back(setObject(ObjectKind::kZone, name,
                              configuration::ZoneDeclaration{name, regionName(settings, zone)}));
  for (std::uint32_t runner = 0; runner < settings.runners_per_zone; ++runner) {
    configuration::EngineDeclaration engine;
    engine.name = name + "-runner-" + std::to_string(runner);
    engine.zone = name;
    engine.machine = name + "-machine-" + std::to_string(runner / 2);
    engine.address = runnerAddress(zone, runner);
    engine.model = modelName(runner % settings.models);
    objects.push_back(setObject(ObjectKind::kEngine, engine.name, engine));
  }
}

}  // namespace

common::ZoneName scaleZoneName(std::uint32_t zone) { return "zone-" + std::to_string(zone); }

common::Address scaleNodeAddress(const ScaleSettings& settings, std::uint32_t zone,
                                 std::uint32_t node) {
  std::ostringstream address;
  address << "127.1." << zone << "." << node + 1 << ":" << settings.port;
  return address.str();
}

std::vector<ObjectChange> scaleObjects(const ScaleSettings& settings) {
  std::vector<ObjectChange> objects;
  for (std::uint32_t model = 0; model < settings.models; ++model) {
    configuration::ModelDeclaration declaration;
    declaration.name = modelName(model);
    declaration.version = "1";
    declaration.weights_uri = "weights://" + declaration.name;
    objects.push_back(setObject(ObjectKind::kModel, declaration.name, declaration));
  }
  for (std::uint32_t zone = 0; zone < settings.zones; ++zone) {
    addZone(settings, zone, objects);
  }
  for (std::uint32_t tenant = 0; tenant < settings.tenants; ++tenant) {
    configuration::TenantDeclaration declaration;
    declaration.name = "tenant-" + std::to_string(tenant);
    declaration.api_key = "key-" + std::to_string(tenant);
    declaration.requests_per_second = 100;
    objects.push_back(setObject(ObjectKind::kTenant, declaration.name, declaration));
  }
  configuration::PlanningPolicy planning;
  planning.automatic_roles = false;
  objects.push_back(setObject(ObjectKind::kPlanning, "planning", planning));
  return objects;
}

HollowFleet::HollowFleet(asio::io_context& context, const ScaleSettings& settings)
    : settings_(settings),
      scheduler_(context),
      curl_(context),
      object_store_(curl_, counters_, platform::HttpObjectStoreSettings{settings.platform}),
      machine_list_(curl_, platform::HttpMachineListSettings{settings.platform}),
      services_(curl_) {
  const HollowEnvironment environment{context,       clock_,    object_store_,
                                      machine_list_, services_, common::nullLogSink()};
  for (std::uint32_t zone = 0; zone < settings_.zones; ++zone) {
    const std::uint32_t first = zone == 0 ? settings_.real_nodes : 0;
    for (std::uint32_t node = first; node < settings_.nodes_per_zone; ++node) {
      nodes_.push_back(std::make_unique<HollowNode>(
          environment, scaleNodeAddress(settings_, zone, node), scaleZoneName(zone),
          nodeSettings(zone), settings_.models, settings_.seed * 100000 + zone * 1000 + node));
    }
  }
  for (auto& node : nodes_) {
    node->start();
  }
}

node::NodeSettings HollowFleet::nodeSettings(std::uint32_t zone) const {
  node::NodeSettings settings;
  settings.membership.region = regionName(settings_, zone);
  settings.membership.seeds = seedAddresses(settings_, zone);
  for (std::uint32_t other = 0; other < settings_.zones; ++other) {
    if (other != zone) {
      settings.membership.other_zones.push_back(membership::ZoneSeed{
          scaleZoneName(other), regionName(settings_, other), seedAddresses(settings_, other)});
    }
  }
  return settings;
}

}  // namespace cypresswall::bench
