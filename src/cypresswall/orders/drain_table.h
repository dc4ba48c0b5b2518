/// The holder's drain table: which engines are to be idle for a planned change, and which nodes
/// have said that they give them no new work.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cypresswall/api/process_context.h"
#include "cypresswall/membership/membership_view.h"
#include "cypresswall/orders/drain_follower.h"
#include "cypresswall/orders/messages.h"
#include "cypresswall/orders/settings.h"
#include "cypresswall/routing/engine_groups.h"

namespace cypresswall::orders {

class DrainTable {
 public:
  /// Registers the handler of DrainAck.
  DrainTable(const DrainSettings& settings, const api::ProcessContext& context,
             const membership::MembershipView& membership, const routing::EngineGroups& groups,
             DrainFollower& own_follower);

  /// Begins an empty table of a new epoch and announces it, which ends the drains of every earlier
  /// holder.
  void begin(const common::Epoch& epoch);
  void add(const common::EngineName& engine);
  void remove(const common::EngineName& engine);
  bool contains(const common::EngineName& engine) const { return added_at_.count(engine) != 0; }
  /// \return true if every live node that gives engines work gives this one none.
  bool acknowledged(const common::EngineName& engine) const;
  /// Announces the table again if that is due; called often while the lease is held.
  void renewIfDue();

 private:
  void announce();
  /// \return the members, without those that give no engine any work
  std::vector<membership::Member> workGivers() const;
  /// \return true if the table is empty and the node has said so of its own: an empty table does
  ///   not expire, so it needs no renewal.
  bool holdsEmptyTable(const common::NodeId& node) const;

  DrainSettings settings_;
  const api::ProcessContext& context_;
  const membership::MembershipView& membership_;
  const routing::EngineGroups& groups_;
  DrainFollower& own_follower_;
  std::optional<common::Epoch> epoch_;
  std::uint64_t version_ = 0;
  /// Version of the table that first had the engine.
  std::map<common::EngineName, std::uint64_t> added_at_;
  std::map<common::NodeId, std::uint64_t> acknowledged_;
  common::MonotonicTime announced_at_{};
  common::Counter& announcements_;
};

}  // namespace cypresswall::orders
