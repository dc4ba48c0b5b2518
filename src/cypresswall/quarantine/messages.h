/// Messages by which the nodes of a zone tell each other of requests that end engines.
#pragma once

#include <cstdint>
#include <vector>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/request_fingerprint.h"

namespace cypresswall::quarantine {

/// An engine that ended under a request.
struct EngineCrash {
  /// Hash of the engine's name.
  std::uint64_t engine = 0;
  std::uint32_t age_milliseconds = 0;
  MSGPACK_DEFINE(engine, age_milliseconds)
};

/// Told to the two nodes that count the crashes of a request, by a node that saw one: all that it
/// saw itself, so that a node that has begun to count only now knows the earlier ones.
struct CrashReport {
  static constexpr auto kType = api::messageType(api::MessageType::kQuarantineFirst, 0);
  common::RequestFingerprint request = 0;
  /// Empty: the request was answered to its end, and the sender's earlier reports mean nothing.
  std::vector<EngineCrash> crashes;
  MSGPACK_DEFINE(request, crashes)
};

/// A request that is kept from engines, or is so no more.
struct QuarantinedRequest {
  common::RequestFingerprint request = 0;
  /// Zero: it was answered, so that engines end for another reason. That goes before all that
  /// others say of it.
  std::uint32_t milliseconds_left = 0;
  MSGPACK_DEFINE(request, milliseconds_left)
};

/// Told to others at once when a request is to be kept away, and repeated to a few now and then.
struct KeptAwayNotice {
  static constexpr auto kType = api::messageType(api::MessageType::kQuarantineFirst, 1);
  std::vector<QuarantinedRequest> requests;
  MSGPACK_DEFINE(requests)
};

}  // namespace cypresswall::quarantine
