/// Determines the keeper of each rate-limited server: the one node that grants permits to send
/// requests to the server. Also determines what fraction of the server's limit the keeper may
/// grant.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/fleet_limits/fleet_size_history.h"
#include "cypresswall/membership/membership_view.h"

namespace cypresswall::fleet_limits {

/// \return the node that already makes other decisions about the server, as the owner of an engine
///   does; empty if there is no such node
using OwnerLookup = std::function<common::NodeId(const std::string& server)>;

struct AccountKeeperSettings {
  /// Time after which all nodes are assumed to know that a node joined, left or was partitioned.
  common::Duration settling_time = std::chrono::seconds(5);
};

/// A server's keeper is its owner if it has one that is alive, otherwise a node chosen by
/// rendezvous hashing over the members. While the member lists of nodes differ, two nodes may both
/// act as the keeper of a server. A keeper therefore grants only half of the limit in two cases:
/// until its member list has been unchanged for AccountKeeperSettings::settling_time, and while it
/// sees only a minority of the fleet (see FleetSizeHistory).
class AccountKeepers {
 public:
  AccountKeepers(const AccountKeeperSettings& settings, const api::ProcessContext& context,
                 membership::MembershipView& membership,
                 api::MessageSet messages = api::MessageSet::kRateLimits);
  AccountKeepers(const AccountKeepers&) = delete;
  AccountKeepers& operator=(const AccountKeepers&) = delete;

  void setOwnerLookup(OwnerLookup find) { owner_lookup_ = std::move(find); }
  /// \return the keeper of the server's account; this node if no member is alive and supports the
  ///   rate limit messages
  common::NodeId keeperOf(const std::string& server);
  /// \return the fraction of a limit that this node may grant as the keeper, up to 1
  double share() const;
  /// \return the fraction of a limit that this node may grant as the keeper if short-lived second
  ///   keepers are acceptable: less than 1 only while this node sees a minority of the fleet
  double visibleShare() const;

 private:
  void membersChanged();
  /// \return the members that are alive and support the messages given to the constructor
  const std::vector<common::NodeId>& candidates();

  const AccountKeeperSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const api::MessageSet messages_;
  OwnerLookup owner_lookup_;
  std::vector<common::NodeId> candidates_;
  /// True if the members have changed since `candidates_` was computed.
  bool stale_ = true;
  /// Cache of rendezvous hashing results by server; cleared when the candidates change.
  std::unordered_map<std::string, common::NodeId> rendezvous_cache_;
  std::size_t member_count_ = 0;
  FleetSizeHistory size_history_;
  common::MonotonicTime changed_at_;
};

}  // namespace cypresswall::fleet_limits
