/// Tenants' limits over a zone without a central counter: each node holds its share of a limit, and
/// a node that runs short asks a peer for allowance that it does not use.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cypresswall/admission/admission.h"
#include "cypresswall/admission/admission_settings.h"
#include "cypresswall/admission/messages.h"
#include "cypresswall/admission/token_bucket.h"
#include "cypresswall/api/process_context.h"
#include "cypresswall/configuration/configuration_view.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::admission {

/// The share is the limit over the number of nodes that serve callers, divided anew whenever that
/// changes. Allowance that is passed on leaves one bucket before it enters another, so lost or
/// doubled messages can only lose some of it. While a zone is split, each part divides the whole
/// limit among its own nodes.
class TenantLimits {
 public:
  TenantLimits(const api::ProcessContext& process,
               const configuration::ConfigurationView& configuration,
               membership::MembershipView& membership, const AdmissionSettings& settings);

  /// Takes one request and its tokens out of the tenant's share.
  /// \return the refusal if the share does not suffice; nothing is taken then
  std::optional<Refusal> take(const AdmissionRequest& request);

 private:
  struct Buckets {
    TokenBucket requests;
    TokenBucket tokens;
    /// Sequence number of the ask that waits for its answer, zero if none does.
    std::uint64_t asked = 0;
    std::optional<common::MonotonicTime> asked_at;
  };

  Buckets& bucketsOf(const common::TenantName& tenant);
  void configure(Buckets& buckets, const common::TenantName& tenant);
  void divideAnew();
  Refusal refuse(RefusalReason reason, TokenBucket& bucket, double cost,
                 const common::TenantName& tenant);
  void askPeer(const common::TenantName& tenant, Buckets& buckets);
  void onAsk(const common::NodeId& sender, const AllowanceAsk& ask);
  void onGrant(const AllowanceGrant& grant);

  const api::ProcessContext& process_;
  const configuration::ConfigurationView& configuration_;
  const membership::MembershipView& membership_;
  const AdmissionSettings settings_;
  std::map<common::TenantName, Buckets> buckets_;
  /// Other nodes that serve callers.
  std::vector<common::NodeId> peers_;
  std::uint64_t next_sequence_ = 1;
  common::Counter& asks_;
  common::Counter& grants_given_;
  common::Counter& grants_received_;
  common::Counter& grants_dropped_;
};

}  // namespace cypresswall::admission
