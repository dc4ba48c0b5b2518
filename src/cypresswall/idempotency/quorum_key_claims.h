/// KeyClaims through the lease holder of the zone that owns the key, which replicates every claim
/// to a quorum of its zone's voters. A claim on a key of another zone is sent to a node there,
/// which forwards it to the holder; the holder answers the claimer directly.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/idempotency/claim_settings.h"
#include "cypresswall/idempotency/claim_table.h"
#include "cypresswall/idempotency/key_claims.h"
#include "cypresswall/idempotency/key_ownership.h"
#include "cypresswall/idempotency/messages.h"
#include "cypresswall/membership/zone_gossip.h"

namespace cypresswall::idempotency {

/// Modules of the same node that QuorumKeyClaims depends on. All of these modules must outlive the
/// QuorumKeyClaims object.
struct ClaimInterfaces {
  lease::AuthorityView& authority;
  lease::QuorumLog& log;
  membership::MembershipView& membership;
  const membership::ZoneGossip& gossip;
  configuration::ConfigurationView& configuration;
};

class QuorumKeyClaims final : public KeyClaims {
 public:
  QuorumKeyClaims(ClaimSettings settings, const api::ProcessContext& context,
                  const ClaimInterfaces& interfaces);
  QuorumKeyClaims(const QuorumKeyClaims&) = delete;
  QuorumKeyClaims& operator=(const QuorumKeyClaims&) = delete;

  void start() { table_.start(); }
  void claim(const std::string& key, std::uint64_t digest,
             std::function<void(ClaimAnswer)> callback) override;
  void complete(const std::string& key, std::string answer) override;
  void release(const std::string& key) override;
  /// \return true if a report of this node is not yet acknowledged; a planned stop waits for it.
  bool reportsPending() const { return !reports_.empty(); }

 private:
  /// A claim without an answer yet.
  struct Waiting {
    ClaimRequest request;
    /// Zone that owned the key when the key was claimed. Later configuration changes do not affect
    /// it.
    common::ZoneName owner;
    common::MonotonicTime deadline;
    std::function<void(ClaimAnswer)> callback;
    std::size_t sent = 0;
  };
  /// A granted claim that is neither completed nor released.
  struct Running {
    ClaimId claim;
    std::uint64_t digest = 0;
    common::ZoneName owner;
  };
  /// A claim that timed out or was released. If it is granted late, this node releases it.
  struct Abandoned {
    ClaimRequest request;
    common::ZoneName owner;
  };
  struct Report {
    ClaimReport report;
    common::ZoneName owner;
    common::MonotonicTime deadline;
    std::size_t sent = 0;
  };

  template <typename Message>
  void deliver(const common::NodeId& node, const Message& message);
  template <typename Message>
  void sendToOwner(const common::ZoneName& owner, const Message& message, std::size_t attempt);
  template <typename Message>
  bool forwardToHolder(const Message& message);
  void handle(const common::NodeId& sender, const ClaimRequest& request);
  void handle(const common::NodeId& sender, const ClaimReply& reply);
  void handle(const common::NodeId& sender, const ClaimReport& report);
  void handle(const common::NodeId& sender, const ClaimReportReply& reply);
  void sendClaim(std::uint64_t number);
  void sendReport(std::uint64_t number);
  void startReport(ClaimReport report, const common::ZoneName& owner);
  void rememberAbandoned(Abandoned abandoned);
  void finish(std::uint64_t number, ClaimAnswer answer);
  void end(const std::string& key, bool completed, std::string answer);
  void releaseAbandoned(const ClaimReply& reply);

  ClaimSettings settings_;
  api::ProcessContext context_;
  lease::AuthorityView& authority_;
  const membership::ZoneGossip& gossip_;
  KeyOwnership ownership_;
  ClaimTable table_;
  std::uint64_t next_number_ = 0;
  std::map<std::uint64_t, Waiting> waiting_;
  std::map<std::string, Running> running_;
  std::map<std::uint64_t, Report> reports_;
  std::map<std::uint64_t, Abandoned> abandoned_;
  common::Counter& unavailable_count_;
  common::Counter& resent_count_;
  common::Counter& late_count_;
  common::Counter& forwarded_count_;
  common::Counter& report_lost_count_;
};

}  // namespace cypresswall::idempotency
