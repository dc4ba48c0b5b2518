/// KeyClaims by way of the zone's lease holder, which keeps every claim on a quorum of the voters.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "cypresswall/api/process_context.h"
#include "cypresswall/idempotency/claim_settings.h"
#include "cypresswall/idempotency/claim_table.h"
#include "cypresswall/idempotency/key_claims.h"
#include "cypresswall/idempotency/messages.h"

namespace cypresswall::idempotency {

class QuorumKeyClaims final : public KeyClaims {
 public:
  QuorumKeyClaims(ClaimSettings settings, const api::ProcessContext& context,
                  lease::AuthorityView& authority, lease::QuorumLog& log,
                  membership::MembershipView& membership);
  QuorumKeyClaims(const QuorumKeyClaims&) = delete;
  QuorumKeyClaims& operator=(const QuorumKeyClaims&) = delete;

  void start() { table_.start(); }
  void claim(const std::string& key, std::uint64_t digest,
             std::function<void(ClaimAnswer)> callback) override;
  void complete(const std::string& key, std::string answer) override;
  void release(const std::string& key) override;
  /// \return true if a report of this node is not yet kept by a quorum; a planned stop waits for
  /// it.
  bool reportsPending() const { return !reports_.empty(); }

 private:
  /// A claim without an answer yet.
  struct Waiting {
    ClaimRequest request;
    common::MonotonicTime deadline;
    std::function<void(ClaimAnswer)> callback;
  };
  /// A claim that was granted and has not ended.
  struct Running {
    ClaimId claim;
    std::uint64_t digest = 0;
  };
  struct Report {
    ClaimReport report;
    common::MonotonicTime deadline;
  };

  template <typename Message>
  void deliver(const common::NodeId& node, const Message& message);
  void handle(const common::NodeId& sender, const ClaimRequest& request);
  void handle(const common::NodeId& sender, const ClaimReply& reply);
  void handle(const common::NodeId& sender, const ClaimReport& report);
  void handle(const common::NodeId& sender, const ClaimReportReply& reply);
  void sendClaim(std::uint64_t number);
  void sendReport(std::uint64_t number);
  void finish(std::uint64_t number, ClaimAnswer answer);
  void end(const std::string& key, bool completed, std::string answer);
  void giveBackAbandoned(const ClaimReply& reply);

  ClaimSettings settings_;
  api::ProcessContext context_;
  lease::AuthorityView& authority_;
  ClaimTable table_;
  std::uint64_t next_number_ = 0;
  std::map<std::uint64_t, Waiting> waiting_;
  std::map<std::string, Running> running_;
  std::map<std::uint64_t, Report> reports_;
  /// Claims that were given up before their answer; a late grant of one is given back.
  std::map<std::uint64_t, ClaimRequest> abandoned_;
  common::Counter& unavailable_count_;
  common::Counter& resent_count_;
  common::Counter& late_count_;
  common::Counter& report_lost_count_;
};

}  // namespace cypresswall::idempotency
