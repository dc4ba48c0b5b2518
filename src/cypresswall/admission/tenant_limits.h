/// Zone-wide tenant limits without a central counter: each node enforces its share of a tenant's
/// limit and, when a tenant has used up that share, requests unused allowance from a peer.
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

/// A node's share is the limit divided by the number of nodes that serve callers, recomputed when
/// that number changes. Transferred allowance is taken from the donor's bucket before it is sent,
/// and each grant is accepted only once, so a lost or duplicate message can only reduce the total
/// allowance. During a network partition each side divides the full limit among its own nodes.
class TenantLimits {
 public:
  TenantLimits(const api::ProcessContext& process,
               const configuration::ConfigurationView& configuration,
               membership::MembershipView& membership, const AdmissionSettings& settings);

  /// Takes one request and its tokens from the tenant's share.
  /// \return a refusal if the share does not suffice, in which case nothing is taken
  std::optional<Refusal> take(const AdmissionRequest& request);

 private:
  struct Buckets {
    TokenBucket requests;
    TokenBucket tokens;
    /// Sequence number of the pending allowance request, zero if there is none.
    std::uint64_t pending_sequence = 0;
    std::optional<common::MonotonicTime> requested_at;
  };

  Buckets& bucketsOf(const common::TenantName& tenant);
  void configure(Buckets& buckets, const common::TenantName& tenant);
  void recomputeShares();
  Refusal refuse(RefusalReason reason, TokenBucket& bucket, double cost,
                 const common::TenantName& tenant);
  void requestAllowance(const common::TenantName& tenant, Buckets& buckets);
  void onAllowanceRequest(const common::NodeId& sender, const AllowanceRequest& request);
  void onAllowanceGrant(const AllowanceGrant& grant);

  const api::ProcessContext& process_;
  const configuration::ConfigurationView& configuration_;
  const membership::MembershipView& membership_;
  const AdmissionSettings settings_;
  std::map<common::TenantName, Buckets> buckets_;
  /// The other nodes that serve callers.
  std::vector<common::NodeId> peers_;
  std::uint64_t next_sequence_ = 1;
  common::Counter& allowance_requests_;
  common::Counter& grants_given_;
  common::Counter& grants_received_;
  common::Counter& grants_dropped_;
};

}  // namespace cypresswall::admission
