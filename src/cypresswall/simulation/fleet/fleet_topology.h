/// Zones, machines and declared objects of a simulated fleet.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/common/identifiers.h"
#include "cypresswall/configuration/fleet.h"

namespace cypresswall::simulation {

/// Sizes of a generated fleet. Names and addresses of nodes, engines and back ends are derived from
/// their zone and their number within the zone.
struct FleetTopology {
  std::uint32_t zones = 2;
  std::uint32_t nodes_per_zone = 3;
  std::uint32_t engines_per_zone = 2;
  std::uint32_t backends_per_zone = 1;
};

/// Names of the objects that every generated fleet declares.
inline constexpr const char* kModelName = "assistant-lm";
inline constexpr const char* kModelVersion = "2026-12";
inline constexpr const char* kModelServiceName = "assistant";
inline constexpr const char* kHttpServiceName = "booking";
/// Paths of the operations of the HTTP service. Polls (kRepeatablePath) are idempotent; bookings
/// (kOncePath) are not and must run at most once.
inline constexpr const char* kRepeatablePath = "/slots";
inline constexpr const char* kOncePath = "/bookings";

common::ZoneName zoneName(std::uint32_t zone);
/// \return the address of a node for messages from its peers. `generation` is the number of times
///   the node was replaced under a new address.
common::Address nodeAddress(std::uint32_t zone, std::uint32_t node, std::uint32_t generation = 0);
common::MachineName nodeMachine(std::uint32_t zone, std::uint32_t node,
                                std::uint32_t generation = 0);
common::EngineName engineName(std::uint32_t zone, std::uint32_t engine);
common::Address engineAddress(std::uint32_t zone, std::uint32_t engine);
common::MachineName engineMachine(std::uint32_t zone, std::uint32_t engine);
common::Address backendAddress(std::uint32_t zone, std::uint32_t backend);
common::MachineName backendMachine(std::uint32_t zone, std::uint32_t backend);

/// \return the IP address in `address`, which has the form "IP:port".
std::string ipOf(const common::Address& address);

/// \return the object changes that declare the whole fleet, for the first change of its
///   configuration.
std::vector<configuration::ObjectChange> declarations(const FleetTopology& topology);

}  // namespace cypresswall::simulation
