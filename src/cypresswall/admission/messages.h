/// Messages for transferring unused tenant allowance between the nodes of a zone.
#pragma once

#include <cstdint>

#include "cypresswall/api/envelope.h"

namespace cypresswall::admission {

/// Requests unused allowance from a peer because the tenant has used up the sender's share of its
/// limit. A peer whose buckets for the tenant are less than half full does not answer.
struct AllowanceRequest {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kAdmissionFirst, 0);
  std::uint64_t sequence = 0;
  common::TenantName tenant;
  MSGPACK_DEFINE(sequence, tenant)
};

/// Answers an AllowanceRequest: allowance that the sender has taken out of its own buckets, in
/// requests and in tokens.
struct AllowanceGrant {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kAdmissionFirst, 1);
  std::uint64_t sequence = 0;
  common::TenantName tenant;
  double requests = 0;
  double tokens = 0;
  MSGPACK_DEFINE(sequence, tenant, requests, tokens)
};

}  // namespace cypresswall::admission
