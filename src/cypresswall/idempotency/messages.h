/// Messages between a gateway node and a lease holder about claims on idempotency keys. A node of
/// the key's zone that does not hold the lease forwards messages from other zones once, to the
/// holder.
#pragma once

#include <cstdint>
#include <string>

#include "cypresswall/api/envelope.h"
#include "cypresswall/common/identifiers.h"

namespace cypresswall::idempotency {

/// Identifies one call of claim() on one node.
struct ClaimId {
  common::NodeId node;
  std::uint64_t number = 0;

  bool operator==(const ClaimId&) const = default;
  MSGPACK_DEFINE(node, number)
};

struct ClaimRequest {
  static constexpr auto kType = api::messageType(api::MessageType::kIdempotencyFirst, 0);
  ClaimId claim;
  std::string key;
  std::uint64_t digest = 0;
  /// Zone of the claimer.
  common::ZoneName zone = {};
  /// Version of the zone set by which the claimer determined the owner.
  std::uint64_t zones_version = 0;
  bool forwarded = false;
  MSGPACK_DEFINE(claim, key, digest, zone, zones_version, forwarded)
};

enum class HolderVerdict : std::uint8_t {
  kGranted,
  kCompleted,
  kInProgress,
  kDifferentBody,
  kUncertain,
  kFull,
  /// The receiver does not hold its zone's lease, or is not sure that its zone owns the key.
  kNotHolder,
};

}  // namespace cypresswall::idempotency

MSGPACK_ADD_ENUM(cypresswall::idempotency::HolderVerdict)

namespace cypresswall::idempotency {

struct ClaimReply {
  static constexpr auto kType = api::messageType(api::MessageType::kIdempotencyFirst, 1);
  ClaimId claim;
  HolderVerdict verdict = HolderVerdict::kNotHolder;
  std::string recorded_answer;
  std::uint64_t retry_after_us = 0;
  MSGPACK_DEFINE(claim, verdict, recorded_answer, retry_after_us)
};

/// Reports the outcome of a granted claim.
struct ClaimReport {
  static constexpr auto kType = api::messageType(api::MessageType::kIdempotencyFirst, 2);
  ClaimId claim;
  std::string key;
  std::uint64_t digest = 0;
  /// True if the request ran and returned `answer`, false if it certainly did not run.
  bool completed = false;
  std::string answer;
  /// Zone of the claimer.
  common::ZoneName zone = {};
  bool forwarded = false;
  MSGPACK_DEFINE(claim, key, digest, completed, answer, zone, forwarded)
};

struct ClaimReportReply {
  static constexpr auto kType = api::messageType(api::MessageType::kIdempotencyFirst, 3);
  ClaimId claim;
  MSGPACK_DEFINE(claim)
};

}  // namespace cypresswall::idempotency
