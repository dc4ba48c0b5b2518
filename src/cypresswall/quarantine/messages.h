/// Messages between the nodes of a zone about requests that crash engines.
#pragma once

#include <cstdint>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/request_fingerprint.h"

namespace cypresswall::quarantine {

/// A crash of an engine while it ran a request.
struct EngineCrash {
  /// Hash of the engine's name.
  std::uint64_t engine = 0;
  std::uint32_t age_milliseconds = 0;
  MSGPACK_DEFINE(engine, age_milliseconds)
};

/// Sent to the two nodes that count the crashes of a request. Contains all recent crashes that the
/// sender observed, so that a node that has only just become a counting node gets the earlier ones.
struct CrashReport {
  static constexpr auto kType = api::messageType(api::MessageType::kQuarantineFirst, 0);
  common::RequestFingerprint request = 0;
  /// Empty if the request was answered completely; the receiver then forgets the crashes reported
  /// earlier.
  std::vector<EngineCrash> crashes;
  MSGPACK_DEFINE(request, crashes)
};

/// A quarantined request, or one that has been released.
struct QuarantinedRequest {
  common::RequestFingerprint request = 0;
  /// Time until the quarantine ends. Zero if the request is released because it was answered, which
  /// means that the engines crashed for another reason. A release takes precedence over quarantine
  /// notices from other nodes.
  std::uint32_t milliseconds_left = 0;
  MSGPACK_DEFINE(request, milliseconds_left)
};

/// Gossiped when a request is quarantined or released, and announced periodically to a few nodes.
struct QuarantineNotice {
  static constexpr auto kType = api::messageType(api::MessageType::kQuarantineFirst, 1);
  std::vector<QuarantinedRequest> requests;
  MSGPACK_DEFINE(requests)
};

}  // namespace cypresswall::quarantine
