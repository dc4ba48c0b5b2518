/// Messages by which the nodes of a zone pass on unused allowance of a tenant.
#pragma once

#include <cstdint>

#include "cypresswall/api/envelope.h"

namespace cypresswall::admission {

/// "This tenant has used up its share here; give away some of yours."
struct AllowanceAsk {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kAdmissionFirst, 0);
  std::uint64_t sequence = 0;
  common::TenantName tenant;
  MSGPACK_DEFINE(sequence, tenant)
};

/// What the asked node took out of its own buckets.
struct AllowanceGrant {
  static constexpr api::MessageType kType = api::messageType(api::MessageType::kAdmissionFirst, 1);
  std::uint64_t sequence = 0;
  common::TenantName tenant;
  double requests = 0;
  double tokens = 0;
  MSGPACK_DEFINE(sequence, tenant, requests, tokens)
};

}  // namespace cypresswall::admission
