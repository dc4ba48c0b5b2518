/// The limits that engines and back ends name on requests from the whole fleet, kept by the nodes
/// of a zone together.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/fleet_limits/account_keepers.h"
#include "cypresswall/fleet_limits/permit_accounts.h"
#include "cypresswall/fleet_limits/rate_limit_messages.h"
#include "cypresswall/fleet_limits/rate_limit_table.h"
#include "cypresswall/fleet_limits/rate_limiter.h"
#include "cypresswall/membership/dissemination_peers.h"

namespace cypresswall::fleet_limits {

struct RateLimitSettings {
  /// Off: limits are noticed and told of, but not kept.
  bool enforced = true;
  RateLimitTableSettings table;
  PermitAccountSettings accounts;
  AccountKeeperSettings keepers;
  /// A permit that takes longer is not waited for.
  common::Duration permit_timeout = std::chrono::milliseconds(100);
  /// For so long a server whose keeper did not answer counts as exhausted.
  common::Duration unresponsive_keeper_pause = std::chrono::milliseconds(500);
  /// How often what is known is repeated to two other nodes.
  common::Duration anti_entropy_interval = std::chrono::seconds(1);
  /// Bounds of what callers are told to wait.
  common::Duration minimum_retry_after = std::chrono::milliseconds(200);
  common::Duration maximum_retry_after = std::chrono::seconds(10);
};

/// What is known of one server, for operators.
struct RateLimitRow {
  std::string server;
  double requests_per_second = 0;
  /// Since an answer last named the limit.
  common::Duration age{0};
  common::NodeId keeper;
  /// Permits granted and refused by this node as the keeper.
  PermitCounts counts;
};

/// A limit that one answer names is told to all nodes at once. From then on a request needs a
/// permit of the one node that keeps the server's account, so that the sum is exact whatever the
/// number of nodes, also where a node's even part would be less than one request. Costs one round
/// trip before a request to a server that stands under a limit, and nothing for all others.
/// docs/design/shared-limits.md weighs other ways.
class EngineRateLimits final : public RateLimiter {
 public:
  /// Registers the handlers of the messages. \pre all references outlive this object
  EngineRateLimits(const RateLimitSettings& settings,
                   const membership::NeighbourSettings& neighbours,
                   const api::ProcessContext& context, membership::MembershipView& membership);
  EngineRateLimits(const EngineRateLimits&) = delete;
  EngineRateLimits& operator=(const EngineRateLimits&) = delete;

  /// \return what is known of all servers that name a limit, or did so lately
  const RateLimitTable& table() const { return table_; }

  /// Begins to repeat what is known.
  void start() { runAntiEntropy(); }
  void setOwnerLookup(OwnerLookup find) { keepers_.setOwnerLookup(std::move(find)); }

  void answered(const std::string& server, const common::RateLimitNotice& notice,
                common::MonotonicTime sent_at) override;
  bool limited(const std::string& server) const override;
  void acquire(const std::string& server, PermitCallback done) override;
  std::vector<std::string> exhausted() override;
  common::Duration retryAfter(const std::string& resource, const std::vector<std::string>& servers,
                              std::size_t refusing_nodes) override;

  /// \return all servers that stand under a limit
  std::vector<RateLimitRow> rows();

 private:
  /// A permit that another node was asked for.
  struct PendingPermit {
    std::string server;
    PermitCallback done;
    common::TimerId timer = 0;
  };

  /// A node that starts, or comes back from a cut, asks others what they know before its requests
  /// would teach it.
  void membersChanged();
  void onSyncRequest(const common::NodeId& sender);
  void onUpdate(const RateLimitUpdate& update);
  void onPermitRequest(const common::NodeId& sender, const PermitRequest& request);
  void onPermitAnswer(const PermitAnswer& answer);
  void onPermitTimeout(std::uint64_t request_id);
  void requestPermit(const common::NodeId& keeper, const std::string& server,
                     const RateLimit& limit, PermitCallback done);
  /// \pre this node keeps the server's account
  Permit take(const std::string& server);
  void setRefusedUntil(const std::string& server, common::MonotonicTime time);
  bool isExhausted(const std::string& server, const RateLimit& limit);

  RateLimitRecord toMessage(const std::string& server, const RateLimit& limit) const;
  /// Takes in what another node knows. \return true if it was news
  bool merge(const RateLimitRecord& record, const char* source);
  /// The limit of a server is another than before.
  void changed(const std::string& server, const char* source);
  void runAntiEntropy();
  /// \return what is known of the next servers in turn
  RateLimitUpdate nextUpdate();
  /// Forgets servers of which nothing was heard for long.
  void expire();
  common::Counter& limitGauge(const std::string& server);

  const RateLimitSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const membership::DisseminationPeers peers_;
  RateLimitTable table_;
  AccountKeepers keepers_;
  PermitAccounts accounts_;
  std::unordered_map<std::uint64_t, PendingPermit> pending_permits_;
  std::uint64_t next_request_id_ = 1;
  /// By server: no permit is to be had before.
  std::map<std::string, common::MonotonicTime> refused_until_;
  /// By demand: the time at which the last caller that was refused is to return.
  std::map<std::string, common::MonotonicTime> last_retry_at_;
  /// Where in the table the next repetition begins.
  std::size_t next_server_ = 0;
  std::size_t labelled_servers_ = 0;
  std::size_t member_count_ = 0;
  common::Counter& named_;
  common::Counter& unreadable_;
  common::Counter& active_gauge_;
  common::Counter& granted_;
  common::Counter& refused_;
  common::Counter& silent_;
  common::Counter& not_keeper_;
};

}  // namespace cypresswall::fleet_limits
