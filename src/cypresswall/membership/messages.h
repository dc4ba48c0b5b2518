/// Membership messages between the nodes of a zone, and gossip messages between zones.
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

/// Sent to the neighbours each heartbeat interval. Larger data is sent only when it changes.
struct Heartbeat {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 0);
  /// Version of the sender's NodeDetails; a receiver with an older version requests them.
  std::uint32_t details_version = 0;
  /// Hash over the sender's members and the versions of their details; a receiver with a different
  /// hash compares its list with the sender's.
  std::uint32_t members_hash = 0;
  std::uint64_t machines_version = 0;
  /// Number of successful reads of the machine list by the sender.
  std::uint32_t machine_reads = 0;
  MSGPACK_DEFINE(details_version, members_hash, machines_version, machine_reads)
};

/// Properties that a node announces about itself.
struct NodeDetails {
  common::ZoneName zone;
  common::MachineName machine;
  common::Address gateway_address;
  bool leaving = false;
  /// Incremented with each change of the fields above, and to refute a wrong departure.
  std::uint32_t version = 0;
  std::map<std::uint16_t, std::uint64_t> digests;
  /// Incremented with each change of the digests.
  std::uint32_t digests_version = 0;
  MSGPACK_DEFINE(zone, machine, gateway_address, leaving, version, digests, digests_version)
};

/// Carries the sender's own details: sent on change, on request, and to join.
struct Introduction {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 1);
  NodeDetails details;
  /// True if the sender asks for the receiver's member list, because the sender is joining or does
  /// not know the receiver yet.
  bool wants_members = false;
  MSGPACK_DEFINE(details, wants_members)
};

struct DetailsRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 2);
  std::uint8_t unused = 0;
  MSGPACK_DEFINE(unused)
};

/// A member and its details, as known to the sender.
struct MemberRecord {
  common::NodeId node;
  NodeDetails details;
  MSGPACK_DEFINE(node, details)
};

/// A member stopped or was declared dead. Details with a higher version override it.
struct Departure {
  common::NodeId node;
  std::uint32_t details_version = 0;
  MSGPACK_DEFINE(node, details_version)
};

/// Membership changes that the sender learnt of, or its complete member list.
struct MembershipUpdate {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 3);
  /// List of MemberRecord encoded by packMembers(); empty if there are none.
  std::string packed_records;
  std::vector<Departure> departures;
  /// True for the reply to an Introduction, which holds all members known to the sender.
  bool complete = false;
  MSGPACK_DEFINE(packed_records, departures, complete)
};

/// The sender is stopping and is to be treated as dead from now on.
struct ShutdownNotice {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 4);
  std::uint8_t unused = 0;
  MSGPACK_DEFINE(unused)
};

/// A member and the sender's version of its details.
struct MemberVersion {
  common::NodeId node;
  std::uint32_t details_version = 0;
  MSGPACK_DEFINE(node, details_version)
};

/// All members known to the sender. The receiver replies with the updates that the sender lacks.
struct MemberVersions {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 5);
  std::vector<MemberVersion> members;
  /// Asks the receiver to send its own MemberVersions in turn if it finds that it lacks members or
  /// details that the sender has.
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

/// Machines that changed between the versions `base` and `version` of the list, or all machines if
/// `base` is zero.
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

/// A zone's value for a topic. A higher version replaces a lower one.
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

/// Announces a higher version of a zone's value whose payload is unchanged. This shows that the
/// zone is still alive.
struct GossipRefresh {
  common::ZoneName zone;
  std::uint16_t topic = 0;
  std::uint64_t version = 0;
  std::uint32_t payload_hash = 0;
  MSGPACK_DEFINE(zone, topic, version, payload_hash)
};

/// A receiver that holds another payload or a newer version replies with its GossipVersions, so
/// that the two nodes exchange the entries that either lacks.
struct GossipRefreshes {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 23);
  common::ZoneName sender_zone;
  std::vector<GossipRefresh> entries;
  MSGPACK_DEFINE(sender_zone, entries)
};

/// Hash over the payloads of the sender's whole table; a receiver with a different hash replies
/// with its GossipVersions.
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

/// The versions of all entries that the sender holds. The receiver replies with the entries of
/// which it holds a newer version and, if `answer_wanted`, with its own versions.
struct GossipVersions {
  static constexpr auto kType = api::messageType(api::MessageType::kMembershipFirst, 22);
  common::ZoneName sender_zone;
  std::vector<GossipVersion> versions;
  bool answer_wanted = false;
  MSGPACK_DEFINE(sender_zone, versions, answer_wanted)
};

}  // namespace cypresswall::membership
