/// Messages between nodes about the configuration. Changes and snapshots travel as the texts of
/// change_encoding.h.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "cypresswall/api/envelope.h"

namespace cypresswall::configuration {

/// Asks for the changes after a version; answered by Changes, or by Snapshot if they are not
/// retained.
struct PullRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kConfigurationFirst, 0);
  std::uint64_t after_version = 0;
  /// Digest at after_version, by which the receiver sees a history other than its own.
  std::uint64_t digest = 0;
  /// False while the sender holds nothing yet and asks for any snapshot.
  bool ready = false;
  MSGPACK_DEFINE(after_version, digest, ready)
};

/// Consecutive changes; empty if the receiver of a PullRequest has nothing newer.
struct Changes {
  static constexpr auto kType = api::messageType(api::MessageType::kConfigurationFirst, 1);
  /// Newest version of the sender.
  std::uint64_t newest_version = 0;
  /// False if the sender itself has no configuration yet.
  bool ready = false;
  /// True asks the receiver to pass new changes on to the nodes of its zone.
  bool spread = false;
  std::vector<std::string> changes;
  MSGPACK_DEFINE(newest_version, ready, spread, changes)
};

struct Snapshot {
  static constexpr auto kType = api::messageType(api::MessageType::kConfigurationFirst, 2);
  std::string snapshot;
  MSGPACK_DEFINE(snapshot)
};

/// Asks a zone, before a change is committed, whether it can take it.
struct ApprovalRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kConfigurationFirst, 3);
  std::uint64_t query = 0;
  /// The change as it will be committed, encoded with its place in the chain.
  std::string change;
  MSGPACK_DEFINE(query, change)
};

enum class ApprovalVerdict : std::uint8_t {
  kApproved,
  kRefused,  ///< the zone can't take the change; `reason` says why
  kNewer,    ///< the zone has a newer configuration than the change builds on
  kFork,     ///< the zone's history differs
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

/// What a zone publishes to the others by gossip.
struct ZoneVersions {
  /// Newest version that the zone's reader holds.
  std::uint64_t newest = 0;
  /// Version that every ready node of the zone holds at least.
  std::uint64_t in_force = 0;
  MSGPACK_DEFINE(newest, in_force)
};

}  // namespace cypresswall::configuration
