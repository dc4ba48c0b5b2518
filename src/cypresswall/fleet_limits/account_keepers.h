/// Which node keeps the account of a server that names a limit, and how much of the limit it may
/// give out.
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

/// \return the node that decides about a server anyway, such as the owner of an engine; empty for
///   one that no single node decides about
using OwnerLookup = std::function<common::NodeId(const std::string& server)>;

struct AccountKeeperSettings {
  /// Until the last node knows that another one came, went, or was cut off.
  common::Duration settling_time = std::chrono::seconds(5);
};

/// A server's account lies at the node that decides about it, or at one found by rendezvous hashing
/// over the members. While lists of members differ two nodes may take themselves for the keeper:
/// each gives out half of the limit until its list has not changed for the settling time, and as
/// long as it sees no more than half of the members of the last minutes.
class AccountKeepers {
 public:
  AccountKeepers(const AccountKeeperSettings& settings, const api::ProcessContext& context,
                 membership::MembershipView& membership);
  AccountKeepers(const AccountKeepers&) = delete;
  AccountKeepers& operator=(const AccountKeepers&) = delete;

  void setOwnerLookup(OwnerLookup find) { owner_lookup_ = std::move(find); }
  /// \return the node that keeps the account; this node if it knows no other
  common::NodeId keeperOf(const std::string& server);
  /// \return the part of a limit that this node may give out as the keeper, up to 1
  double share() const;

 private:
  void membersChanged();
  /// Members that are alive and handle the messages about permits.
  const std::vector<common::NodeId>& candidates();

  const AccountKeeperSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  OwnerLookup owner_lookup_;
  std::vector<common::NodeId> candidates_;
  /// Set by each change of the members until the candidates are asked for.
  bool stale_ = true;
  /// By server, found by hashing; emptied when the candidates change.
  std::unordered_map<std::string, common::NodeId> rendezvous_cache_;
  std::size_t member_count_ = 0;
  FleetSizeHistory size_history_;
  common::MonotonicTime changed_at_;
};

}  // namespace cypresswall::fleet_limits
