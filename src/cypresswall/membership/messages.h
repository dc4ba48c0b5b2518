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

/// Sent to the neighbours each heartbeat interval; everything larger is sent on change only.
struct Heartbeat {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 0);
  /// Version of the sender's NodeDetails; a receiver that lacks it asks for them.
  std::uint32_t details_version = 0;
  /// Hash over the members that the sender sees and the versions of their details; a receiver that
  /// sees others compares its list with the sender's.
  std::uint32_t members_hash = 0;
  std::uint64_t machines_version = 0;
  /// Number of successful reads of the machine list by the sender itself.
  std::uint32_t machine_reads = 0;
  MSGPACK_DEFINE(details_version, members_hash, machines_version, machine_reads)
};

/// What a node says of itself.
struct NodeDetails {
  common::ZoneName zone;
  common::MachineName machine;
  common::Address gateway_address;
  bool leaving = false;
  /// Rises with each change of the fields above, and when the node was wrongly taken for dead.
  std::uint32_t version = 0;
  std::map<std::uint16_t, std::uint64_t> digests;
  /// Rises with each change of the digests.
  std::uint32_t digests_version = 0;
  MSGPACK_DEFINE(zone, machine, gateway_address, leaving, version, digests, digests_version)
};

/// A node tells a peer of itself: on change, on request, and to be let in.
struct Introduction {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 1);
  NodeDetails details;
  /// The sender doesn't know the receiver, and wants its list of members.
  bool wants_members = false;
  MSGPACK_DEFINE(details, wants_members)
};

struct DetailsRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 2);
  std::uint8_t unused = 0;
  MSGPACK_DEFINE(unused)
};

/// One member as a peer tells of it.
struct MemberRecord {
  common::NodeId node;
  NodeDetails details;
  MSGPACK_DEFINE(node, details)
};

/// A member ended or fell silent. Details of a higher version undo it.
struct Departure {
  common::NodeId node;
  std::uint32_t details_version = 0;
  MSGPACK_DEFINE(node, details_version)
};

/// What the sender learnt of members, or all that it knows of them.
struct MembershipUpdate {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 3);
  /// A list of MemberRecord, as packMembers() writes it; empty for none.
  std::string packed_records;
  std::vector<Departure> departures;
  /// The answer to an Introduction: all members that the sender sees.
  bool complete = false;
  MSGPACK_DEFINE(packed_records, departures, complete)
};

/// The sender is about to end; it is dead from now on.
struct ShutdownNotice {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 4);
  std::uint8_t unused = 0;
  MSGPACK_DEFINE(unused)
};

/// One member and the version that the sender has of its details.
struct MemberVersion {
  common::NodeId node;
  std::uint32_t details_version = 0;
  MSGPACK_DEFINE(node, details_version)
};

/// All members that the sender sees. The receiver answers with news of those that the sender lacks.
struct MemberVersions {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 5);
  std::vector<MemberVersion> members;
  /// The receiver is to send its own versions if it lacks something itself.
  bool answer_wanted = false;
  MSGPACK_DEFINE(members, answer_wanted)
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
