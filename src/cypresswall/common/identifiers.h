/// Identifiers shared by several subsystems.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <msgpack.hpp>
#include <string>

namespace cypresswall::common {

/// Name of a zone (one data-centre hall), as declared by the operators.
using ZoneName = std::string;
/// Name of an engine (a process that runs a model), unique in the fleet.
using EngineName = std::string;
/// Name of a build of the engines' software. The outputs of different builds must not be joined in
/// one answer. Empty if unknown.
using BuildName = std::string;
/// Name of a model, unique in the fleet.
using ModelName = std::string;
/// Name of a service, unique in the fleet.
using ServiceName = std::string;
/// Name of a tenant, unique in the fleet.
using TenantName = std::string;
/// Name of a machine in the platform's machine list.
using MachineName = std::string;
/// "IP:port" of a TCP endpoint.
using Address = std::string;

/// One incarnation of a daemon process. A process that is restarted at the same address has a new
/// incarnation and counts as a different node: promises that the earlier process made to other
/// nodes don't bind it.
struct NodeId {
  Address address;
  std::uint64_t incarnation = 0;

  auto operator<=>(const NodeId&) const = default;  // NOLINT(modernize-use-nullptr): false positive
  bool empty() const { return address.empty(); }
  /// \return "address#incarnation", for logs.
  std::string toString() const { return address + "#" + std::to_string(incarnation); }

  MSGPACK_DEFINE(address, incarnation)
};

/// Identifies one tenure of a zone's lease, whose holder may give orders to the zone's engines.
/// Epochs are ordered by generation, then by term. A later holder always has a higher epoch, so
/// that engines can reject delayed orders of earlier holders.
struct Epoch {
  /// Generation of the voters that grant the lease; zero if the platform's store decides it.
  std::uint32_t generation = 0;
  /// Number of the tenure within the generation; increases with each tenure.
  std::uint32_t term = 0;

  auto operator<=>(const Epoch&) const = default;  // NOLINT(modernize-use-nullptr): false positive
  std::string toString() const { return std::to_string(generation) + "." + std::to_string(term); }

  MSGPACK_DEFINE(generation, term)
};

}  // namespace cypresswall::common

template <>
struct std::hash<cypresswall::common::NodeId> {
  std::size_t operator()(const cypresswall::common::NodeId& node) const noexcept {
    return std::hash<std::string>{}(node.address) ^ (node.incarnation * 0x9E3779B97F4A7C15ULL);
  }
};
