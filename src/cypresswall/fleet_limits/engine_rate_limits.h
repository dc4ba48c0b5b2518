/// Enforces the rate limits that engines and back ends announce. A limit applies to the requests of
/// all nodes together, so the nodes of a zone enforce it jointly.
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
  /// False: limits are recorded and disseminated but not enforced.
  bool enforced = true;
  RateLimitTableSettings table;
  PermitAccountSettings accounts;
  AccountKeeperSettings keepers;
  /// A permit request that the keeper does not answer within this time counts as refused.
  common::Duration permit_timeout = std::chrono::milliseconds(100);
  /// How long a server's limit counts as used up after its keeper did not answer a permit request.
  common::Duration unresponsive_keeper_pause = std::chrono::milliseconds(500);
  /// Interval at which a node sends the limits that it knows to two other nodes, to make up for
  /// lost updates.
  common::Duration anti_entropy_interval = std::chrono::seconds(1);
  /// Shortest Retry-After time given to a refused caller.
  common::Duration minimum_retry_after = std::chrono::milliseconds(200);
  /// Longest Retry-After time given to a refused caller.
  common::Duration maximum_retry_after = std::chrono::seconds(10);
};

/// State of one server's limit, for operators.
struct RateLimitRow {
  std::string server;
  double requests_per_second = 0;
  /// Time since a response last named the limit.
  common::Duration age{0};
  common::NodeId keeper;
  /// Permits that this node granted and refused as the keeper.
  PermitCounts counts;
};

/// When a server's response names a limit, the node that received it sends the limit to all nodes
/// at once. From then on each request to the server needs a permit from the server's keeper (see
/// AccountKeepers). The total of all nodes thus equals the limit for any number of nodes, even if
/// an equal share per node would be less than one request. A permit costs one round trip before
/// each request to a limited server; requests to other servers need none.
/// docs/design/shared-limits.md compares alternatives.
class EngineRateLimits final : public RateLimiter {
 public:
  /// Registers the message handlers. \pre all references outlive this object
  EngineRateLimits(const RateLimitSettings& settings,
                   const membership::NeighbourSettings& neighbours,
                   const api::ProcessContext& context, membership::MembershipView& membership);
  EngineRateLimits(const EngineRateLimits&) = delete;
  EngineRateLimits& operator=(const EngineRateLimits&) = delete;

  /// \return the limits of all servers that name one, or did so recently
  const RateLimitTable& table() const { return table_; }

  /// Starts anti-entropy.
  void start() { runAntiEntropy(); }
  void setOwnerLookup(OwnerLookup find) { keepers_.setOwnerLookup(std::move(find)); }

  void answered(const std::string& server, const common::RateLimitNotice& notice,
                common::MonotonicTime sent_at) override;
  bool limited(const std::string& server) const override;
  void acquire(const std::string& server, PermitCallback done) override;
  std::vector<std::string> exhausted() override;
  common::Duration retryAfter(const std::string& resource, const std::vector<std::string>& servers,
                              std::size_t refusing_nodes) override;

  /// \return all servers with an active limit
  std::vector<RateLimitRow> rows();

 private:
  /// A permit requested from another node that has not answered yet.
  struct PendingPermit {
    std::string server;
    PermitCallback done;
    common::TimerId timer = 0;
  };

  /// If this node has just started or returned from a partition, requests the known limits from
  /// other nodes, so that it need not learn them from responses to its own requests.
  void membersChanged();
  void onSyncRequest(const common::NodeId& sender);
  void onUpdate(const RateLimitUpdate& update);
  void onPermitRequest(const common::NodeId& sender, const PermitRequest& request);
  void onPermitAnswer(const PermitAnswer& answer);
  void onPermitTimeout(std::uint64_t request_id);
  void requestPermit(const common::NodeId& keeper, const std::string& server,
                     const RateLimit& limit, PermitCallback done);
  /// \pre this node is the server's keeper
  Permit take(const std::string& server);
  void setRefusedUntil(const std::string& server, common::MonotonicTime time);
  bool isExhausted(const std::string& server, const RateLimit& limit);

  RateLimitRecord toMessage(const std::string& server, const RateLimit& limit) const;
  /// Merges a limit received from another node. \return true if it changed the table
  bool merge(const RateLimitRecord& record, const char* source);
  /// Updates metrics, accounts and the log after a server's limit has changed.
  void changed(const std::string& server, const char* source);
  void runAntiEntropy();
  /// \return the limits of the next servers in round-robin order
  RateLimitUpdate nextUpdate();
  /// Removes limits that have not been confirmed for the retention time.
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
  /// By server: time until which this node treats the limit as used up, because the keeper refused
  /// a permit or did not answer.
  std::map<std::string, common::MonotonicTime> refused_until_;
  /// By resource: time at which the most recently refused caller was told to retry, without the
  /// random extension. The next refused caller gets a later time.
  std::map<std::string, common::MonotonicTime> last_retry_at_;
  /// Position in the table at which the next update starts.
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
