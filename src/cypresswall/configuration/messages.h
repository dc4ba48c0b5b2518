/// Messages between nodes for replicating the configuration. Changes and snapshots are encoded as
/// in change_encoding.h.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"

namespace cypresswall::configuration {

/// Requests the changes after a version. The receiver answers with Changes, or with Snapshot if it
/// no longer retains those changes.
struct PullRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kConfigurationFirst, 0);
  std::uint64_t after_version = 0;
  /// The sender's digest at after_version, by which the receiver detects a diverging history.
  std::uint64_t digest = 0;
  /// False if the sender has no configuration yet and requests a snapshot.
  bool ready = false;
  MSGPACK_DEFINE(after_version, digest, ready)
};

/// Consecutive changes, as an answer to PullRequest or sent unasked. In an answer, the list is
/// empty if the sender has no newer changes.
struct Changes {
  static constexpr auto kType = api::messageType(api::MessageType::kConfigurationFirst, 1);
  /// Newest version of the sender.
  std::uint64_t newest_version = 0;
  /// False if the sender itself has no configuration yet.
  bool ready = false;
  /// True if the receiver should forward new changes to the nodes of its zone.
  bool relay = false;
  std::vector<std::string> changes;
  MSGPACK_DEFINE(newest_version, ready, relay, changes)
};

struct Snapshot {
  static constexpr auto kType = api::messageType(api::MessageType::kConfigurationFirst, 2);
  std::string snapshot;
  MSGPACK_DEFINE(snapshot)
};

/// Asks a zone to approve a change before it is committed.
struct ApprovalRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kConfigurationFirst, 3);
  std::uint64_t query = 0;
  /// The change as it will be committed, encoded with its digests.
  std::string change;
  MSGPACK_DEFINE(query, change)
};

enum class ApprovalVerdict : std::uint8_t {
  kApproved,
  kRefused,  ///< the zone can't apply the change, for the given `reason`
  kNewer,    ///< the zone's version is newer than the version that the change is based on
  kFork,     ///< the zone's history diverges
};

}  // namespace cypresswall::configuration

MSGPACK_ADD_ENUM(cypresswall::configuration::ApprovalVerdict)

namespace cypresswall::configuration {

struct ApprovalReply {
  static constexpr auto kType = api::messageType(api::MessageType::kConfigurationFirst, 4);
  std::uint64_t query = 0;
  std::string zone;
  ApprovalVerdict verdict = ApprovalVerdict::kApproved;
  std::string reason;
  /// Newest version in the zone.
  std::uint64_t version = 0;
  MSGPACK_DEFINE(query, zone, verdict, reason, version)
};

/// Versions that a zone publishes to other zones by gossip.
struct ZoneVersions {
  /// Newest version known in the zone.
  std::uint64_t newest = 0;
  /// Lowest version held by a ready node of the zone: all of them have applied it.
  std::uint64_t in_force = 0;
  MSGPACK_DEFINE(newest, in_force)
};

}  // namespace cypresswall::configuration
