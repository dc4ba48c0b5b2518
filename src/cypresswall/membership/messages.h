/// Messages between the nodes of one zone about each other and about machines.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"
#include "cypresswall/object_store/machine_list.h"

MSGPACK_ADD_ENUM(cypresswall::object_store::MachineState)

namespace cypresswall::membership {

/// Sent to every peer each heartbeat interval; everything larger is sent on change only.
struct Heartbeat {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 0);
  /// Version of the sender's NodeDetails; a receiver that lacks it asks for them.
  std::uint32_t details_version = 0;
  /// Hash over the members that the sender sees; a receiver that sees others sends its peer list.
  std::uint32_t members_hash = 0;
  std::uint64_t machines_version = 0;
  /// Number of successful reads of the machine list by the sender itself.
  std::uint32_t machine_reads = 0;
  MSGPACK_DEFINE(details_version, members_hash, machines_version, machine_reads)
};

/// What a node says of itself; sent on change and on request.
struct NodeDetails {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 1);
  common::ZoneName zone;
  common::MachineName machine;
  common::Address gateway_address;
  bool leaving = false;
  std::uint32_t version = 0;
  std::map<std::uint16_t, std::uint64_t> digests;
  MSGPACK_DEFINE(zone, machine, gateway_address, leaving, version, digests)
};

struct DetailsRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 2);
  std::uint8_t unused = 0;
  MSGPACK_DEFINE(unused)
};

/// The members that the sender sees; receivers introduce themselves to those they lack.
struct PeerList {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 3);
  std::vector<common::NodeId> members;
  MSGPACK_DEFINE(members)
};

/// The sender is about to end; it is dead from now on.
struct Goodbye {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 4);
  std::uint8_t unused = 0;
  MSGPACK_DEFINE(unused)
};

struct MachineEntry {
  common::MachineName name;
  object_store::MachineState state = object_store::MachineState::kLive;
  std::vector<std::string> addresses;

  bool operator==(const MachineEntry&) const = default;
  MSGPACK_DEFINE(name, state, addresses)
};

/// Machines that changed between two versions, or all of them if `base` is zero.
struct MachinesUpdate {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 10);
  std::uint64_t base = 0;
  std::uint64_t version = 0;
  std::vector<MachineEntry> machines;
  MSGPACK_DEFINE(base, version, machines)
};

struct MachinesRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 11);
  std::uint64_t known_version = 0;
  MSGPACK_DEFINE(known_version)
};

/// One zone's value of one topic. A higher version replaces a lower one.
struct GossipEntry {
  common::ZoneName zone;
  std::uint16_t topic = 0;
  std::uint64_t version = 0;
  std::string payload;
  MSGPACK_DEFINE(zone, topic, version, payload)
};

struct GossipEntries {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 20);
  common::ZoneName sender_zone;
  std::vector<GossipEntry> entries;
  MSGPACK_DEFINE(sender_zone, entries)
};

/// A higher version of a value whose payload did not change: a sign of life.
struct GossipRefresh {
  common::ZoneName zone;
  std::uint16_t topic = 0;
  std::uint64_t version = 0;
  std::uint32_t payload_hash = 0;
  MSGPACK_DEFINE(zone, topic, version, payload_hash)
};

/// A receiver that holds another payload asks for what it lacks.
struct GossipRefreshes {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 23);
  common::ZoneName sender_zone;
  std::vector<GossipRefresh> entries;
  MSGPACK_DEFINE(sender_zone, entries)
};

/// Hash of the payloads of the sender's whole table; a receiver with another hash answers with its
/// versions.
struct GossipDigest {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 21);
  common::ZoneName sender_zone;
  std::uint64_t hash = 0;
  MSGPACK_DEFINE(sender_zone, hash)
};

struct GossipVersion {
  common::ZoneName zone;
  std::uint16_t topic = 0;
  std::uint64_t version = 0;
  MSGPACK_DEFINE(zone, topic, version)
};

/// The sender's versions; the receiver sends what is newer and, if asked, its own versions.
struct GossipVersions {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 22);
  common::ZoneName sender_zone;
  std::vector<GossipVersion> versions;
  bool answer_wanted = false;
  MSGPACK_DEFINE(sender_zone, versions, answer_wanted)
};

}  // namespace cypresswall::membership
